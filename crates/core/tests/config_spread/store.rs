//! A model of the store with outages, stale copies, lost and late writes, and racing operators.

use sorrellock_core::id::Revision;
use sorrellock_core::version::{CONFIG_PREFIX, PageId, PageListing};
use sorrellock_ports::api::{Listing, Object, ObjectMeta, ObjectStore, Precondition, StoreError};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// The fault that is injected into a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutFault {
    None,
    AnswerLost,
    CallLost,
    Late,
}

/// The result of a write in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    Good,
    Bad,
    Deleted,
}

#[derive(Clone, Default)]
struct Snapshot {
    revision: Revision,
    objects: BTreeMap<String, (Revision, Vec<u8>)>,
    deleted: BTreeMap<String, Revision>,
}

#[derive(Default)]
struct Inner {
    now: Snapshot,
    old: Option<Snapshot>,
    down: bool,
    faults: VecDeque<PutFault>,
    late: Vec<(String, Vec<u8>, Precondition)>,
    history: Vec<(Revision, PageId, Written)>,
}

type Hook = Box<dyn FnOnce() + Send>;

/// The model of the store; clones share its state.
#[derive(Clone, Default)]
pub struct ModelStore {
    inner: Arc<Mutex<Inner>>,
    before_put: Arc<Mutex<Option<Hook>>>,
}

impl ModelStore {
    pub fn set_down(&self, down: bool) {
        self.inner().down = down;
    }

    /// Starts (`true`) or stops (`false`) answering reads from a copy of the present state.
    pub fn set_old_copy(&self, old: bool) {
        let mut inner = self.inner();
        inner.old = old.then(|| inner.now.clone());
    }

    pub fn fail_put(&self, fault: PutFault) {
        self.inner().faults.push_back(fault);
    }

    /// Runs `hook` once just before the next put, as a concurrent operator.
    pub fn before_put(&self, hook: impl FnOnce() + Send + 'static) {
        *self.before_put.lock().unwrap() = Some(Box::new(hook));
    }

    pub fn clear_faults(&self) {
        self.before_put.lock().unwrap().take();
        let mut inner = self.inner();
        inner.faults.clear();
        inner.apply_late();
    }

    /// Writes a malformed page without the configuration tool.
    pub fn write_bad(&self, page: PageId) {
        let mut inner = self.inner();
        inner.write(&page.key(), b"{\"items\": [", Written::Bad);
    }

    /// Writes an object that isn't configuration: only the revision changes.
    pub fn write_other(&self) {
        self.inner().now.revision += 1;
    }

    /// Deletes a page without the configuration tool.
    pub fn delete_page(&self, page: PageId) {
        let mut inner = self.inner();
        if inner.now.objects.remove(&page.key()).is_none() {
            return;
        }
        inner.now.revision += 1;
        let revision = inner.now.revision;
        inner.now.deleted.insert(page.key(), revision);
        inner.history.push((revision, page, Written::Deleted));
    }

    /// Returns all writes to pages, in order.
    pub fn history(&self) -> Vec<(Revision, PageId, Written)> {
        self.inner().history.clone()
    }

    /// Returns the pages that were ever written or deleted without the configuration tool.
    pub fn tainted(&self) -> BTreeSet<PageId> {
        let inner = self.inner();
        let past_tool = inner.history.iter().filter(|(.., written)| *written != Written::Good);
        past_tool.map(|(_, page, _)| *page).collect()
    }

    /// Returns the present pages and their versions.
    pub fn pages(&self) -> BTreeMap<PageId, Revision> {
        let inner = self.inner();
        let objects = inner.now.objects.iter();
        objects.map(|(key, (version, _))| (PageId::parse(key).unwrap(), *version)).collect()
    }

    /// Returns the answer to a watch: `None` while nothing changed and the watch hasn't expired.
    pub fn watch_pages(&self, after: Revision, expired: bool) -> Option<Result<PageListing, ()>> {
        let inner = self.inner();
        if inner.down {
            return Some(Err(()));
        }
        let shown = inner.shown();
        let changed = shown.objects.iter().map(|(key, (version, _))| (key, *version, *version));
        let deleted = shown.deleted.iter().filter(|(key, _)| !shown.objects.contains_key(*key));
        let deleted = deleted.map(|(key, revision)| (key, 0, *revision));
        let pages: Vec<_> = changed
            .chain(deleted)
            .filter(|(.., revision)| *revision > after)
            .map(|(key, version, _)| (PageId::parse(key).unwrap(), version))
            .collect();
        let answers = expired || !pages.is_empty();
        answers.then_some(Ok(PageListing { revision: shown.revision, pages }))
    }

    pub fn list_pages(&self) -> Result<PageListing, ()> {
        let listing = self.list(CONFIG_PREFIX).map_err(|_| ())?;
        let page = |meta: ObjectMeta| (PageId::parse(&meta.key).unwrap(), meta.version);
        let pages = listing.objects.into_iter().map(page).collect();
        Ok(PageListing { revision: listing.revision, pages })
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }
}

impl Inner {
    fn shown(&self) -> &Snapshot {
        self.old.as_ref().unwrap_or(&self.now)
    }

    fn write(&mut self, key: &str, value: &[u8], written: Written) -> Revision {
        self.now.revision += 1;
        let revision = self.now.revision;
        self.now.objects.insert(key.to_owned(), (revision, value.to_vec()));
        self.history.push((revision, PageId::parse(key).unwrap(), written));
        revision
    }

    fn put(&mut self, key: &str, value: &[u8], when: Precondition) -> Result<Revision, StoreError> {
        let found = self.now.objects.get(key).map_or(0, |(version, _)| *version);
        let wanted = match when {
            Precondition::Absent => 0,
            Precondition::Version(version) => version,
        };
        if found != wanted {
            return Err(StoreError::Conflict { found });
        }
        Ok(self.write(key, value, Written::Good))
    }

    fn apply_late(&mut self) {
        for (key, value, when) in std::mem::take(&mut self.late) {
            let _ = self.put(&key, &value, when);
        }
    }
}

impl ObjectStore for ModelStore {
    fn with_call_limit(&self, _: Duration) -> ModelStore {
        self.clone()
    }

    fn get(&self, key: &str) -> Result<Option<Object>, StoreError> {
        let mut inner = self.inner();
        if inner.down {
            return Err(StoreError::Unavailable { detail: "get".into() });
        }
        let found = inner.shown().objects.get(key).cloned();
        let object = found.map(|(version, value)| Object { key: key.to_owned(), version, value });
        inner.apply_late();
        Ok(object)
    }

    fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        let inner = self.inner();
        if inner.down {
            return Err(StoreError::Unavailable { detail: "list".into() });
        }
        let under = inner.shown().objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let objects =
            under.map(|(key, (version, _))| ObjectMeta { key: key.clone(), version: *version });
        Ok(Listing { revision: inner.shown().revision, objects: objects.collect() })
    }

    fn put(&self, key: &str, value: &[u8], when: Precondition) -> Result<Revision, StoreError> {
        let hook = self.before_put.lock().unwrap().take();
        if let Some(hook) = hook {
            hook();
        }
        let mut inner = self.inner();
        if inner.down {
            return Err(StoreError::Unavailable { detail: "put".into() });
        }
        let no_answer = StoreError::NoAnswer { detail: "put".into() };
        match inner.faults.pop_front().unwrap_or(PutFault::None) {
            PutFault::None => inner.put(key, value, when),
            PutFault::AnswerLost => inner.put(key, value, when).and(Err(no_answer)),
            PutFault::CallLost => Err(no_answer),
            PutFault::Late => {
                inner.late.push((key.to_owned(), value.to_vec(), when));
                Err(no_answer)
            }
        }
    }

    fn delete(&self, _: &str, _: Revision) -> Result<(), StoreError> {
        unreachable!("the configuration deletes no object")
    }

    fn watch(&self, _: &str, _: Revision, _: Duration) -> Result<Listing, StoreError> {
        unreachable!("daemons watch by `watch_pages`")
    }
}
