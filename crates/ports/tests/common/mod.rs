//! A store in memory whose faults a test chooses.

use sorrellock_core::id::Revision;
use sorrellock_ports::api::{Listing, Object, ObjectMeta, ObjectStore, Precondition, StoreError};
use sorrellock_ports::config::ConfigStore;
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// What happens to a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It takes effect and is answered.
    None,
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// It has no effect, and there is no answer.
    CallLost,
    /// It takes effect after the next read, and there is no answer.
    Delayed,
    /// The store is down.
    Down,
}

#[derive(Default)]
struct Inner {
    revision: Revision,
    objects: BTreeMap<String, (Revision, Vec<u8>)>,
    old_copy: Option<BTreeMap<String, (Revision, Vec<u8>)>>,
    stale_gets: u32,
    faults: VecDeque<Fault>,
    delayed: Vec<(String, Vec<u8>, Precondition)>,
    puts: u32,
}

type Hook = Box<dyn FnOnce() + Send>;

/// A store in memory; clones share it.
#[derive(Clone, Default)]
pub struct MemoryStore {
    inner: Arc<Mutex<Inner>>,
    before_put: Arc<Mutex<VecDeque<Hook>>>,
    after_put: Arc<Mutex<VecDeque<Hook>>>,
}

impl MemoryStore {
    /// An empty store.
    pub fn new() -> MemoryStore {
        MemoryStore::default()
    }

    /// Chooses what happens to the next puts.
    pub fn fail(&self, faults: &[Fault]) {
        self.inner().faults.extend(faults);
    }

    /// Runs something just before the next put that has no such hook yet.
    pub fn before_put(&self, hook: impl FnOnce() + Send + 'static) {
        self.before_put.lock().unwrap().push_back(Box::new(hook));
    }

    /// Runs something just after the next put that has no such hook yet, before its answer.
    pub fn after_put(&self, hook: impl FnOnce() + Send + 'static) {
        self.after_put.lock().unwrap().push_back(Box::new(hook));
    }

    /// Keeps a copy of the present state for [`answer_stale`](MemoryStore::answer_stale).
    pub fn keep_copy(&self) {
        let mut inner = self.inner();
        inner.old_copy = Some(inner.objects.clone());
    }

    /// Answers the next gets from the copy that was kept.
    pub fn answer_stale(&self, gets: u32) {
        self.inner().stale_gets = gets;
    }

    /// Writes without a condition.
    pub fn write(&self, key: &str, value: &[u8]) {
        let mut inner = self.inner();
        inner.revision += 1;
        let stored = (inner.revision, value.to_vec());
        inner.objects.insert(key.to_owned(), stored);
    }

    /// How many puts there were.
    pub fn puts(&self) -> u32 {
        self.inner().puts
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }
}

impl Inner {
    fn put(&mut self, key: &str, value: &[u8], when: Precondition) -> Result<Revision, StoreError> {
        let found = self.objects.get(key).map_or(0, |(version, _)| *version);
        let wanted = match when {
            Precondition::Absent => 0,
            Precondition::Version(version) => version,
        };
        if found != wanted {
            return Err(StoreError::Conflict { found });
        }
        self.revision += 1;
        self.objects.insert(key.to_owned(), (self.revision, value.to_vec()));
        Ok(self.revision)
    }
}

impl Inner {
    fn faulty_put(
        &mut self,
        key: &str,
        value: &[u8],
        when: Precondition,
    ) -> Result<Revision, StoreError> {
        self.puts += 1;
        let no_answer = || StoreError::NoAnswer { detail: "put".into() };
        match self.faults.pop_front().unwrap_or(Fault::None) {
            Fault::None => self.put(key, value, when),
            Fault::AnswerLost => self.put(key, value, when).and_then(|_| Err(no_answer())),
            Fault::CallLost => Err(no_answer()),
            Fault::Delayed => {
                self.delayed.push((key.to_owned(), value.to_vec(), when));
                Err(no_answer())
            }
            Fault::Down => Err(StoreError::Unavailable { detail: "put".into() }),
        }
    }
}

fn run_next(hooks: &Mutex<VecDeque<Hook>>) {
    let hook = hooks.lock().unwrap().pop_front();
    if let Some(hook) = hook {
        hook();
    }
}

impl ObjectStore for MemoryStore {
    fn with_call_limit(&self, _: Duration) -> MemoryStore {
        self.clone()
    }

    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let mut inner = self.inner();
        let stale = inner.stale_gets > 0;
        inner.stale_gets = inner.stale_gets.saturating_sub(1);
        let objects = inner.old_copy.as_ref().filter(|_| stale).unwrap_or(&inner.objects);
        let object = objects.get(key).map(|(version, value)| Object {
            key: key.to_owned(),
            version: *version,
            value: value.clone(),
        });
        for (key, value, when) in std::mem::take(&mut inner.delayed) {
            let _ = inner.put(&key, &value, when);
        }
        Ok(object)
    }

    fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let inner = self.inner();
        let under = inner.objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let meta = |(key, (version, _)): (&String, &(Revision, Vec<u8>))| ObjectMeta {
            key: key.clone(),
            version: *version,
        };
        Ok(Listing { revision: inner.revision, objects: under.map(meta).collect() })
    }

    fn put(&self, key: &str, value: &[u8], when: Precondition) -> Result<Revision, StoreError> {
        run_next(&self.before_put);
        let result = self.inner().faulty_put(key, value, when);
        run_next(&self.after_put);
        result
    }

    fn delete(&self, _key: &str, _version: Revision) -> Result<(), StoreError> {
        unreachable!("the configuration deletes no object")
    }

    fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Listing, StoreError> {
        unreachable!("operators don't watch")
    }
}

/// The configuration of a store, without waits between tries.
pub fn operator(store: &MemoryStore, by: &str) -> ConfigStore<MemoryStore> {
    ConfigStore::new(store.clone(), by).with_retries(4, Duration::ZERO)
}
