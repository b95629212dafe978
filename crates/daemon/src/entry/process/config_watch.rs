//! Keeps the configuration in force: reads all pages once, then watches for changes.

use crate::entry::version::ConfigView;
use crate::process::{Count, Counters, Journal};
use arc_swap::ArcSwap;
use sorrellock_core::id::Revision;
use sorrellock_core::version::{CONFIG_PREFIX, PageError, PageId};
use sorrellock_platform::api::{Listing, ObjectStore, StoreError};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// How long one watch waits at the store.
const WATCH: Duration = Duration::from_secs(10);
/// The wait after a failed call; the store gets no more than this from a daemon while it is down.
const RETRY: Duration = Duration::from_millis(250);

/// The configuration in force; readers never wait for the writer, which is one thread.
pub struct ConfigWatch {
    view: ArcSwap<ConfigView>,
    loaded: AtomicBool,
    counters: Arc<Counters>,
    journal: Arc<Journal>,
}

impl ConfigWatch {
    /// An empty configuration, and the thread that fills it.
    pub fn start<S: ObjectStore>(
        store: S,
        counters: Arc<Counters>,
        journal: Arc<Journal>,
    ) -> Arc<ConfigWatch> {
        let view = ArcSwap::default();
        let watch =
            Arc::new(ConfigWatch { view, loaded: AtomicBool::new(false), counters, journal });
        let writer = watch.clone();
        thread::Builder::new()
            .name("config-watch".into())
            .spawn(move || writer.run(&store))
            .expect("a thread can be started");
        watch
    }

    /// The configuration in force.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    /// Whether all pages were read once.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Acquire)
    }

    fn run<S: ObjectStore>(&self, store: &S) {
        let mut after = 0;
        loop {
            match self.follow(store, after) {
                Ok(revision) => after = revision,
                Err(_) => thread::sleep(RETRY),
            }
        }
    }

    /// One listing or watch, and the pages that it names.
    fn follow<S: ObjectStore>(&self, store: &S, after: Revision) -> Result<Revision, StoreError> {
        let listing = match after {
            0 => store.list(CONFIG_PREFIX)?,
            _ => store.watch(CONFIG_PREFIX, after, WATCH)?,
        };
        self.fetch(store, &listing)?;
        self.loaded.store(true, Ordering::Release);
        Ok(listing.revision.max(after))
    }

    fn fetch<S: ObjectStore>(&self, store: &S, listing: &Listing) -> Result<(), StoreError> {
        let mut view = ConfigView::clone(&self.view.load());
        for meta in &listing.objects {
            let Some(page) = PageId::parse(&meta.key) else { continue };
            let Some(object) = store.get(&meta.key)? else { continue };
            self.apply(&mut view, page, object.version, &object.value);
        }
        self.view.store(Arc::new(view));
        Ok(())
    }

    fn apply(&self, view: &mut ConfigView, page: PageId, revision: Revision, value: &[u8]) {
        match view.apply(page, revision, value) {
            Ok(()) => {
                self.counters.count(Count::PagesApplied);
                let cause = format!("{} at revision {revision}", page.key());
                self.journal.note("page applied", None, "configuration watch", cause);
            }
            Err(PageError::NotNewer { .. }) => {}
            Err(err) => {
                self.counters.count(Count::PagesRefused);
                let cause = format!("{} at revision {revision}: {err}", page.key());
                self.journal.note("page refused", None, "configuration watch", cause);
            }
        }
    }
}
