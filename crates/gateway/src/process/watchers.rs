//! Follows the configuration and the endpoints in the platform's store.

use crate::process::{Count, EntryState, Gateway, ReadEntry, check_unlisted, note_starts};
use sorrellock_core::process::store_watch::{Turn, WatchSchedule, WatchTimes};
use sorrellock_platform::{Change, Kind, Listing, Revision, Store, StoreError, StoredObject};
use sorrellock_routing::process::{Endpoint, EndpointId};
use spdlog::{error, info, warn};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Changes that come within this time are fetched together: a call each would cost more than
/// their delay.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// The same for changes of endpoints, per gateway: all watch, and the lead tells the others what
/// matters of engines at once.
const WATCH_PAUSE_PER_GATEWAY: Duration = Duration::from_millis(30);
/// The longest such pause.
const WATCH_PAUSE_MOST: Duration = Duration::from_millis(900);
/// Share of the time within which an endpoint that leaves may get requests that a pause may take.
const WATCH_PAUSE_SHARE: f64 = 0.45;
/// From so many gateways on, most of them learn of endpoints from others: each change would cost a
/// call of each.
const MANY_GATEWAYS: usize = 12;
/// Gateways, first in order of name, that watch the store themselves; the lead does besides.
const WATCHERS: u32 = 4;
/// The fewest of them that must have heard the store of late for others to rely on them.
const WATCHERS_LEAST: usize = 2;
/// How late they may have heard it: a watch without news in turn, and a retry.
const WATCHER_FRESH: Duration = Duration::from_secs(10);
/// How often a gateway that relies on others looks whether it still may.
const RELY_TICK: Duration = Duration::from_millis(400);
/// How often it is looked whether what is known has grown too old.
const AGE_TICK: Duration = Duration::from_millis(100);
/// For so long after a failed call of the store a removed entry may only have lapsed: what the
/// store did meanwhile comes with the first watch that it answers.
const LAPSE_DOUBT: Duration = Duration::from_secs(3);
/// Endpoints that vanish at once, unsaid, from which on a lapse is likelier than their deaths: at
/// least so many, and this share of all.
const LEAST_LAPSES: usize = 3;
const LAPSES_SHARE: f64 = 0.2;
/// How often missing entries are looked at.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Follows one kind of objects for ever.
pub(crate) async fn follow(gateway: Rc<Gateway>, store: Store, kind: Kind) {
    let schedule = WatchSchedule::new(times(&gateway, kind));
    let mut watcher = Watcher {
        gateway,
        store,
        kind,
        at: None,
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

/// Gives up endpoints whose entries stay missing or can't be used for too long.
pub(crate) async fn expire_entries(gateway: Rc<Gateway>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        let gone = gateway.knowledge.borrow_mut().expire(Instant::now());
        for (id, entry) in &gone {
            let why = match entry {
                EntryState::UnusableSince(..) => "its entry can't be used",
                _ => "missing after an outage of the store",
            };
            gateway.endpoint_gone(id, why);
        }
        if !gone.is_empty() {
            gateway.refresh_paths();
        }
    }
}

struct Watcher {
    gateway: Rc<Gateway>,
    store: Store,
    kind: Kind,
    /// Where to watch on from; none: list first.
    at: Option<Revision>,
    /// What to ask next.
    schedule: WatchSchedule,
    /// When the call under way was sent.
    asked: Instant,
    /// Since when the store doesn't answer.
    lost_since: Option<Instant>,
    /// Other gateways tell of the endpoints.
    is_left_to_others: bool,
}

impl Watcher {
    async fn step(&mut self) -> Result<(), StoreError> {
        self.gateway.counters.add(Count::StoreCalls);
        self.asked = Instant::now();
        let store = self.store.with_head_limit(self.schedule.patience());
        let Some(at) = self.at else {
            let listing = store.list(self.kind).await?;
            self.gateway.counters.store_call.record(self.asked.elapsed());
            self.schedule.on_answer();
            return self.on_listing(listing).await;
        };
        let wait = self.schedule.wait(self.turn());
        let changes = tokio::select! {
            changes = store.watch(self.kind, at, wait) => changes?,
            () = self.doubted(), if !wait.is_zero() => {
                self.gateway.counters.add(Count::WatchesDoubted);
                self.schedule.on_doubt();
                return Ok(());
            }
        };
        let has_news = !changes.changes.is_empty() || !changes.nameless.is_empty();
        self.schedule.on_answer();
        self.at = Some(changes.at.max(at));
        self.on_answer();
        if !has_news {
            self.note_heard();
            return Ok(());
        }
        self.gateway.refuse_nameless(&changes.nameless, &format!("{:?}", self.kind));
        match self.kind {
            Kind::Endpoints => self.on_endpoint_changes(changes.changes),
            Kind::Configuration => self.on_configurations(changes.changes),
            Kind::Gateways | Kind::Leads => {}
        }
        self.note_heard();
        self.on_endpoints_known(changes.at, "watch");
        sleep(self.pause()).await;
        Ok(())
    }

    /// Ends once the watch under way may wait in vain: another call had no answer, or no gateway that is heard
    /// was told of the store's state for too long.
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
    fn is_too_old(&self) -> bool {
        let age = self.gateway.knowledge_age(self.kind, Instant::now());
        age.is_none_or(|age| age > self.schedule.oldest(self.turn()))
    }

    /// This gateway among those that are heard and watch the same.
    fn turn(&self) -> Turn {
        let now = Instant::now();
        let beliefs = self.gateway.beliefs.borrow();
        let count = beliefs.live_peers(now).count() + 1;
        let is_shared = self.kind == Kind::Endpoints && count >= MANY_GATEWAYS;
        let watching = if is_shared { WATCHERS + 1 } else { count as u32 };
        Turn::new(beliefs.rank(&self.gateway.settings.instance, now), watching)
    }

    /// Whether other gateways tell of the endpoints, and this one needs no watch of its own. A
    /// later watch goes on from what they told.
    fn leaves_it_to_others(&mut self) -> bool {
        let at = self.gateway.knowledge.borrow().endpoints_at();
        let (is_left, watchers) = self.may_leave_it(at);
        if is_left != std::mem::replace(&mut self.is_left_to_others, is_left) {
            info!("watch of endpoints", kv: { left_to_others = is_left, watchers, at });
        }
        if is_left {
            self.at = Some(at);
            self.lost_since = None;
        }
        is_left
    }

    /// Whether others watch in its place, and how many do.
    fn may_leave_it(&self, at: Revision) -> (bool, usize) {
        let now = Instant::now();
        let gateway = &self.gateway;
        let beliefs = gateway.beliefs.borrow();
        let watchers = beliefs.watchers(WATCHER_FRESH, now);
        let may_leave = at > 0
            && !gateway.leads.get()
            && beliefs.gateways(now) >= MANY_GATEWAYS
            && beliefs.rank(&gateway.settings.instance, now) >= WATCHERS
            && watchers >= WATCHERS_LEAST
            && !self.is_too_old();
        (may_leave, watchers)
    }

    fn pause(&self) -> Duration {
        if self.kind != Kind::Endpoints || self.gateway.leads.get() {
            return WATCH_PAUSE;
        }
        let gateways = self.gateway.beliefs.borrow().gateways(Instant::now());
        let most = self.gateway.bounds.get().leave_within.mul_f64(WATCH_PAUSE_SHARE);
        let most = most.clamp(WATCH_PAUSE, WATCH_PAUSE_MOST);
        (WATCH_PAUSE_PER_GATEWAY * gateways as u32).clamp(WATCH_PAUSE, most)
    }

    async fn on_listing(&mut self, listing: Listing) -> Result<(), StoreError> {
        let after_outage = self.lost_since.is_some();
        self.on_answer();
        self.at = Some(listing.at);
        self.gateway.refuse_nameless(&listing.nameless, &format!("{:?}", self.kind));
        match self.kind {
            Kind::Endpoints => {
                let listed = listing.objects.iter().map(|object| object.name.clone()).collect();
                self.on_listed(listing.objects);
                self.on_unlisted(&listed, after_outage);
            }
            Kind::Configuration => {
                listing.objects.iter().for_each(|object| self.on_configuration(object, "list"));
            }
            Kind::Gateways | Kind::Leads => {}
        }
        self.note_heard();
        self.on_endpoints_known(listing.at, "list");
        Ok(())
    }

    /// All that the store told is taken in.
    fn note_heard(&self) {
        self.gateway.store_heard.set(self.kind, Instant::now());
    }

    fn on_unlisted(&self, listed: &HashSet<EndpointId>, after_outage: bool) {
        if after_outage {
            self.gateway.knowledge.borrow_mut().mark_unlisted(listed, Instant::now());
            return;
        }
        let missing = self.gateway.knowledge.borrow().unlisted(listed);
        for id in missing {
            self.on_removed(&id, false);
        }
    }

    fn on_endpoints_known(&self, at: Revision, source: &str) {
        if self.kind == Kind::Endpoints {
            self.gateway.judge_starts(source);
            self.gateway.knowledge.borrow_mut().advance(at);
            self.gateway.refresh_paths();
        }
    }

    fn on_listed(&self, objects: Vec<StoredObject>) {
        let entries: Vec<ReadEntry> = objects.into_iter().map(ReadEntry::from).collect();
        note_starts(&self.gateway, entries.iter());
        for entry in entries {
            self.gateway.apply_entry(entry, "list");
        }
    }

    fn on_endpoint_changes(&self, changes: Vec<Change>) {
        let may_have_lapsed = self.may_have_lapsed(&changes);
        let read = |change| match change {
            Change::Written(object) => Ok(ReadEntry::from(object)),
            Change::Removed(name) => Err(name),
        };
        let read: Vec<Result<ReadEntry, EndpointId>> = changes.into_iter().map(read).collect();
        note_starts(&self.gateway, read.iter().filter_map(|change| change.as_ref().ok()));
        for change in read {
            match change {
                Ok(entry) => self.gateway.apply_entry(entry, "watch"),
                Err(removed) => self.on_removed(&removed, may_have_lapsed),
            }
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
        match object.configuration() {
            Some(Ok(cfg)) => self.gateway.apply_configuration(cfg, source),
            Some(Err(err)) => {
                self.gateway.counters.add(Count::ConfigurationsRefused);
                let revision = object.revision;
                error!("configuration refused", kv: { err = err.as_str(), revision });
            }
            None => {}
        }
    }

    /// Whether entries that were removed may only have lapsed: after an outage, or where many go
    /// at once that did not say so, as an outage can pass unseen by a watch that waits.
    fn may_have_lapsed(&self, changes: &[Change]) -> bool {
        let failed = self.gateway.store_failed.get();
        if failed.is_some_and(|failed| failed.elapsed() < LAPSE_DOUBT) {
            return true;
        }
        let knowledge = self.gateway.knowledge.borrow();
        let is_unsaid = |change: &&Change| match change {
            Change::Removed(name) => knowledge.endpoint(name).is_some_and(|e| !e.is_leaving),
            Change::Written(_) => false,
        };
        let share = (knowledge.endpoints().count() as f64 * LAPSES_SHARE).ceil() as usize;
        changes.iter().filter(is_unsaid).count() >= share.max(LEAST_LAPSES)
    }

    /// An entry is gone: of an endpoint that left, with a word or without, that died, or that only
    /// doesn't reach the store. Whether it lives, its health tells.
    fn on_removed(&self, name: &str, may_have_lapsed: bool) {
        let gateway = &self.gateway;
        if gateway.knowledge.borrow().is_unusable(name) {
            // It goes in its time; its health does not speak for it.
            gateway.knowledge.borrow_mut().forget_refused(name);
            return;
        }
        let life = gateway.knowledge.borrow().endpoint(name).map(Endpoint::incarnation);
        let is_dead = life.is_some_and(|life| gateway.is_dead(&life)) && !may_have_lapsed;
        if is_dead || !gateway.knowledge.borrow_mut().mark_missing(name, Instant::now()) {
            gateway.remove_endpoint(name, "watch");
            return;
        }
        if may_have_lapsed {
            info!("entry of an endpoint missing after an outage", kv: { endpoint = name });
            return;
        }
        check_unlisted(gateway, name);
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
        sleep(self.schedule.retry_in(self.turn(), age)).await;
    }
}
