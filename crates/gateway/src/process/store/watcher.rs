//! Watches the configuration and the endpoints in the platform's store.

use crate::process::{Count, FirstData, Gateway};
use sorrellock_core::process::store_watch::{WatchSchedule, WatchTimes};
use sorrellock_platform::{Change, Kind, Listing, Store, StoreError, StoredObject};
use sorrellock_routing::process::{Revision, StoreEra};
use spdlog::{error, info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often a gateway that relies on others checks whether it still may.
const RELY_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// How long a gateway that has listed waits for others that watch: several of their messages.
const RELY_WAIT: Duration = Duration::from_secs(1);
/// How often the age of what is known is checked during a watch.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Watches one kind of objects. Never returns.
pub(crate) async fn follow(gateway: Rc<Gateway>, store: Store, kind: Kind) {
    let schedule = WatchSchedule::new(times(&gateway, kind));
    let mut watcher = Watcher {
        gateway,
        store,
        kind,
        at: None,
        listed_era: None,
        schedule,
        sent_at: Instant::now(),
        lost_since: None,
    };
    FirstData::new(&watcher.gateway).await.wait(kind).await;
    watcher.continue_from_others().await;
    loop {
        if watcher.relies_on_others() {
            sleep(RELY_CHECK_INTERVAL).await;
            continue;
        }
        watcher.schedule.set_times(times(&watcher.gateway, kind));
        watcher.wait_for_turn().await;
        let res = watcher.step().await;
        watcher.on_step(res).await;
    }
}

/// Returns the watch times for a kind, so that changes take effect within the operator's bounds.
fn times(gateway: &Gateway, kind: Kind) -> WatchTimes {
    let bounds = gateway.bounds.get();
    WatchTimes::new(match kind {
        Kind::Endpoints => bounds.leave_within,
        Kind::Configuration
        | Kind::Gateways
        | Kind::Leads
        | Kind::HeldRequests
        | Kind::FirstGateways => bounds.in_force_within,
    })
}

/// State of the watch of one kind of objects.
pub(super) struct Watcher {
    pub(super) gateway: Rc<Gateway>,
    store: Store,
    pub(super) kind: Kind,
    /// Revision to watch from; `None` lists first.
    pub(super) at: Option<Revision>,
    /// The era of the newest list; `None` before the first one.
    listed_era: Option<StoreEra>,
    /// Decides when the next call is made, and how long it waits.
    schedule: WatchSchedule,
    /// When the newest call was sent.
    sent_at: Instant,
    /// Since when store calls fail.
    pub(super) lost_since: Option<Instant>,
}

impl Watcher {
    /// Waits for this gateway's turn to list again if a new era of the store has begun. Revision counts of an earlier era mean nothing
    /// in it, even if the store would continue a watch from them.
    async fn wait_for_turn(&mut self) {
        let era = self.gateway.eras.known();
        if self.listed_era.is_none_or(|listed| listed >= era) {
            return;
        }
        self.at = None;
        self.listed_era = Some(era);
        self.gateway.counters.add(Count::EraLists);
        sleep(self.gateway.list_turn()).await;
    }

    async fn step(&mut self) -> Result<(), StoreError> {
        self.sent_at = Instant::now();
        let store = self.store.with_head_limit(self.schedule.answer_timeout());
        let Some(at) = self.at else {
            let listing = store.list(self.kind).await?;
            self.gateway.counters.store_call.record(self.sent_at.elapsed());
            self.schedule.on_answer();
            self.on_listing(listing).await?;
            self.wait_to_rely().await;
            return Ok(());
        };
        let wait = self.schedule.wait(self.rank());
        let changes = tokio::select! {
            changes = store.watch(self.kind, at, wait) => changes?,
            () = self.watch_suspected(), if !wait.is_zero() => {
                self.gateway.counters.add(Count::WatchesDoubted);
                self.schedule.on_suspicion();
                return Ok(());
            }
            () = self.gateway.newer_era(at.era) => return Ok(()),
        };
        let has_changes = !changes.changes.is_empty() || !changes.nameless.is_empty();
        self.schedule.on_answer();
        self.at = Some(changes.at.max(at));
        self.on_answer();
        if !has_changes {
            self.note_contact(changes.at.era);
            return Ok(());
        }
        self.gateway.refuse_nameless(&changes.nameless, &format!("{:?}", self.kind));
        match self.kind {
            Kind::Endpoints => self.gateway.apply_endpoint_changes(changes.changes),
            Kind::Configuration => self.on_configurations(changes.changes),
            Kind::Gateways | Kind::Leads | Kind::HeldRequests | Kind::FirstGateways => {}
        }
        self.note_contact(changes.at.era);
        self.on_endpoints_known(changes.at, "watch");
        sleep(self.pause()).await;
        Ok(())
    }

    /// Continues from what other gateways handed over at the start, if anything.
    async fn continue_from_others(&mut self) {
        if self.gateway.has_data(self.kind) {
            self.at = self.revision_reported();
            self.wait_to_rely().await;
        }
    }

    /// Waits after a list until others are heard that this gateway may rely on, if there are many: a watch costs a call, and what
    /// changes meanwhile comes with the next one.
    async fn wait_to_rely(&mut self) {
        let began = Instant::now();
        while self.has_many_listed() && began.elapsed() < RELY_WAIT && !self.relies_on_others() {
            sleep(AGE_CHECK_INTERVAL).await;
        }
    }

    /// Waits until the current watch may have stalled: another call got no answer, or no live gateway
    /// has had contact with the store for too long.
    async fn watch_suspected(&self) {
        tokio::select! {
            () = self.gateway.store_contact.watch_suspected(self.kind) => {}
            () = self.became_too_old() => {}
        }
    }

    async fn became_too_old(&self) {
        while !self.is_too_old() {
            sleep(AGE_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether the knowledge of the store is too old to rely on, across all live gateways.
    pub(super) fn is_too_old(&self) -> bool {
        let age = self.gateway.knowledge_age(self.kind, Instant::now());
        age.is_none_or(|age| age > self.schedule.max_age(self.rank()))
    }

    async fn on_listing(&mut self, listing: Listing) -> Result<(), StoreError> {
        let after_outage = self.lost_since.is_some();
        self.on_answer();
        self.at = Some(listing.at);
        self.listed_era = Some(listing.at.era);
        self.gateway.refuse_nameless(&listing.nameless, &format!("{:?}", self.kind));
        match self.kind {
            Kind::Endpoints => {
                self.gateway.apply_endpoint_list(listing.objects, listing.at, after_outage);
            }
            Kind::Configuration => {
                listing.objects.iter().for_each(|object| self.on_configuration(object, "list"));
            }
            Kind::Gateways | Kind::Leads | Kind::HeldRequests | Kind::FirstGateways => {}
        }
        self.note_contact(listing.at.era);
        self.on_endpoints_known(listing.at, "list");
        Ok(())
    }

    /// Records that all changes that the store returned are applied.
    fn note_contact(&self, era: StoreEra) {
        self.gateway.store_contact.set(self.kind, era, Instant::now());
    }

    fn on_endpoints_known(&self, at: Revision, source: &str) {
        if self.kind == Kind::Endpoints {
            self.gateway.evaluate_starts(source);
            self.gateway.knowledge.borrow_mut().advance(at);
            self.gateway.refresh_paths();
            self.gateway.first_data.notify_waiters();
        }
    }

    fn on_configurations(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Written(object) => self.on_configuration(&object, "watch"),
                // The configuration in force stays.
                Change::Removed(_) => {}
            }
        }
    }

    fn on_configuration(&self, object: &StoredObject, source: &str) {
        let began = Instant::now();
        match object.configuration() {
            Some(Ok(cfg)) => self.gateway.apply_configuration(cfg, source, began.elapsed()),
            Some(Err(err)) => {
                self.gateway.counters.add(Count::ConfigurationsRefused);
                let Revision { era, count } = object.revision;
                error!("configuration refused", kv: {
                    err = err.as_str(), era, revision = count
                });
            }
            None => {}
        }
    }

    fn on_answer(&mut self) {
        if let Some(since) = self.lost_since.take() {
            let (kind, lost_ms) = (format!("{:?}", self.kind), since.elapsed().as_millis() as u64);
            info!("store regained", kv: { kind = kind.as_str(), lost_ms });
        }
    }

    async fn on_step(&mut self, res: Result<(), StoreError>) {
        let Err(err) = res else { return };
        if err == StoreError::HistoryGone {
            let kind = format!("{:?}", self.kind);
            info!("history of the store is gone, listing again", kv: { kind = kind.as_str() });
            self.at = None;
            return;
        }
        if matches!(err, StoreError::Unreadable { .. }) {
            // A watch would return the same unreadable history again; a list returns the current state.
            self.at = None;
        }
        self.schedule.on_failure();
        self.gateway.on_store_failed(&err);
        if self.lost_since.is_none() {
            let (kind, text) = (format!("{:?}", self.kind), err.to_string());
            let asked_ms = self.sent_at.elapsed().as_millis() as u64;
            let heard_ms = self.gateway.store_contact.age_ms(self.kind, Instant::now());
            warn!("store lost", kv: {
                kind = kind.as_str(), err = text.as_str(), asked_ms, heard_ms:?
            });
            self.lost_since = Some(Instant::now());
        }
        let age = self.gateway.knowledge_age(self.kind, Instant::now());
        sleep(self.schedule.retry_in(self.rank(), age)).await;
    }
}
