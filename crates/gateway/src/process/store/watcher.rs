//! Follows the configuration and the endpoints in the platform's store.

use crate::process::{Count, Gateway};
use sorrellock_core::process::store_watch::{WatchSchedule, WatchTimes};
use sorrellock_platform::{Change, Kind, Listing, Store, StoreError, StoredObject};
use sorrellock_routing::process::{Revision, StoreEra};
use spdlog::{error, info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often a gateway that relies on others looks whether it still may.
const RELY_TICK: Duration = Duration::from_millis(400);
/// How often it is looked whether what is known has grown too old.
const AGE_TICK: Duration = Duration::from_millis(100);

/// Follows one kind of objects for ever.
pub(crate) async fn follow(gateway: Rc<Gateway>, store: Store, kind: Kind) {
    let schedule = WatchSchedule::new(times(&gateway, kind));
    let mut watcher = Watcher {
        gateway,
        store,
        kind,
        at: None,
        listed_era: None,
        schedule,
        asked: Instant::now(),
        lost_since: None,
        is_left_to_others: false,
    };
    loop {
        if kind == Kind::Endpoints && watcher.leaves_it_to_others() {
            sleep(RELY_TICK).await;
            continue;
        }
        watcher.schedule.set_times(times(&watcher.gateway, kind));
        watcher.wait_for_turn().await;
        let res = watcher.step().await;
        watcher.on_step(res).await;
    }
}

/// The times for news of a kind: they are to be acted upon within the operator's bounds.
fn times(gateway: &Gateway, kind: Kind) -> WatchTimes {
    let bounds = gateway.bounds.get();
    WatchTimes::new(match kind {
        Kind::Endpoints => bounds.leave_within,
        Kind::Configuration | Kind::Gateways | Kind::Leads => bounds.in_force_within,
    })
}

/// Follows one kind of objects.
pub(super) struct Watcher {
    pub(super) gateway: Rc<Gateway>,
    store: Store,
    pub(super) kind: Kind,
    /// Where to watch on from; none: list first.
    pub(super) at: Option<Revision>,
    /// The era of the store that was listed last; none before the first list.
    listed_era: Option<StoreEra>,
    /// What to ask next.
    schedule: WatchSchedule,
    /// When the call under way was sent.
    asked: Instant,
    /// Since when the store doesn't answer.
    pub(super) lost_since: Option<Instant>,
    /// Other gateways tell of the endpoints.
    pub(super) is_left_to_others: bool,
}

impl Watcher {
    /// Where a new era of the store has begun, waits until it is this gateway's turn to list anew: a count that is known says nothing in
    /// it, also where the store would go on from there.
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
        self.gateway.counters.add(Count::StoreCalls);
        self.asked = Instant::now();
        let store = self.store.with_head_limit(self.schedule.answer_timeout());
        let Some(at) = self.at else {
            let listing = store.list(self.kind).await?;
            self.gateway.counters.store_call.record(self.asked.elapsed());
            self.schedule.on_answer();
            return self.on_listing(listing).await;
        };
        let wait = self.schedule.wait(self.rank());
        let changes = tokio::select! {
            changes = store.watch(self.kind, at, wait) => changes?,
            () = self.doubted(), if !wait.is_zero() => {
                self.gateway.counters.add(Count::WatchesDoubted);
                self.schedule.on_suspicion();
                return Ok(());
            }
            () = self.gateway.newer_era(at.era) => return Ok(()),
        };
        let has_news = !changes.changes.is_empty() || !changes.nameless.is_empty();
        self.schedule.on_answer();
        self.at = Some(changes.at.max(at));
        self.on_answer();
        if !has_news {
            self.note_heard(changes.at.era);
            return Ok(());
        }
        self.gateway.refuse_nameless(&changes.nameless, &format!("{:?}", self.kind));
        match self.kind {
            Kind::Endpoints => self.gateway.take_endpoint_changes(changes.changes),
            Kind::Configuration => self.on_configurations(changes.changes),
            Kind::Gateways | Kind::Leads => {}
        }
        self.note_heard(changes.at.era);
        self.on_endpoints_known(changes.at, "watch");
        sleep(self.pause()).await;
        Ok(())
    }

    /// Ends once the watch under way may wait in vain: another call had no answer, or no gateway
    /// that is heard was told of the store's state for too long.
    async fn doubted(&self) {
        tokio::select! {
            () = self.gateway.store_heard.doubted(self.kind) => {}
            () = self.grown_old() => {}
        }
    }

    async fn grown_old(&self) {
        while !self.is_too_old() {
            sleep(AGE_TICK).await;
        }
    }

    /// Whether what all gateways that are heard know of the store is too old to rely on.
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
                self.gateway.take_endpoint_list(listing.objects, listing.at, after_outage);
            }
            Kind::Configuration => {
                listing.objects.iter().for_each(|object| self.on_configuration(object, "list"));
            }
            Kind::Gateways | Kind::Leads => {}
        }
        self.note_heard(listing.at.era);
        self.on_endpoints_known(listing.at, "list");
        Ok(())
    }

    /// All that the store told is taken in.
    fn note_heard(&self, era: StoreEra) {
        self.gateway.store_heard.set(self.kind, era, Instant::now());
    }

    fn on_endpoints_known(&self, at: Revision, source: &str) {
        if self.kind == Kind::Endpoints {
            self.gateway.judge_starts(source);
            self.gateway.knowledge.borrow_mut().advance(at);
            self.gateway.refresh_paths();
        }
    }

    fn on_configurations(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Written(object) => self.on_configuration(&object, "watch"),
                // The one in force stays.
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
            // What can't be read of the history would come again with it; a list tells the present.
            self.at = None;
        }
        self.schedule.on_failure();
        self.gateway.on_store_failed(&err);
        if self.lost_since.is_none() {
            let (kind, text) = (format!("{:?}", self.kind), err.to_string());
            let asked_ms = self.asked.elapsed().as_millis() as u64;
            let heard_ms = self.gateway.store_heard.age_ms(self.kind, Instant::now());
            warn!("store lost", kv: {
                kind = kind.as_str(), err = text.as_str(), asked_ms, heard_ms:?
            });
            self.lost_since = Some(Instant::now());
        }
        let age = self.gateway.knowledge_age(self.kind, Instant::now());
        sleep(self.schedule.retry_in(self.rank(), age)).await;
    }
}
