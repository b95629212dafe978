//! A path in use, with the state of this gateway's streams on it.

use sorrellock_routing::process::{Departure, FailureEvidence, PathHealth, PipelinePath};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without an event on any stream after which the engines of a path with few streams are probed. All streams
/// of a path get an event with each pass of its engines, about every 55 ms, and a pass that reads prompts takes up
/// to twice as long.
const PATH_IDLE_LIMIT: Duration = Duration::from_millis(85);
/// The same for a path with [`SOME_STREAMS`]: they rarely all begin or end at the same moment.
const SOME_STREAMS_IDLE_LIMIT: Duration = Duration::from_millis(75);
/// Time without an event after which one counts as late, so that a path breaks if the lead considers an engine dead.
const EVENT_LATE_AFTER: Duration = Duration::from_millis(65);
/// Time without an event on any stream after which a path with few streams gets no new requests: three times the
/// longest regular pause. A path that reads many prompts is silent for half of this.
const PATH_SILENT_LIMIT: Duration = Duration::from_millis(600);
/// The same for a path with [`SOME_STREAMS`].
const SOME_STREAMS_SILENT_LIMIT: Duration = Duration::from_millis(300);
/// Number of streams from which the shorter limits apply.
const SOME_STREAMS: u32 = 4;

/// Availability of an engine for running and new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineAvailability {
    /// Accepts new work.
    Available,
    /// Finishes its running work for a few seconds, and accepts nothing new.
    Leaving,
    /// Its running work is lost.
    Dead,
}

/// A path in use, with the state of this gateway's streams on it.
pub(crate) struct LivePath {
    /// The engines and their layers.
    pub(crate) path: PipelinePath,
    /// Share of its layers that another engine of its data centre also holds.
    pub(crate) redundancy: Cell<f64>,
    /// Whether it has been logged.
    pub(crate) is_logged: Cell<bool>,
    /// Number of concurrent requests that its first engine accepts from all gateways.
    pub(crate) slots: u32,
    /// Number of this gateway's running streams.
    pub(crate) streams: Cell<u32>,
    /// Number of tokens that they reserve.
    pub(crate) tokens: Cell<f64>,
    /// When a stream last got an event, or the first one began.
    pub(crate) last_event: Cell<Instant>,
    /// It gets no new requests until then.
    pub(crate) avoid_until: Cell<Option<Instant>>,
    /// When its engines were last probed.
    pub(crate) checked: Cell<Option<Instant>>,
    /// When its first engine alone was last probed.
    pub(crate) first_checked: Cell<Option<Instant>>,
    /// Whether better paths are in use, so that it gets no new requests.
    pub(crate) is_superseded: Cell<bool>,
    /// Set while one of its engines is leaving: its streams should continue over another path before that exits.
    departure: Cell<Option<Departure>>,
    health: Cell<PathHealth>,
    /// Wakes its streams when it breaks, and when an event shows that it works again.
    changed: Notify,
}

impl LivePath {
    pub(crate) fn new(path: PipelinePath, slots: u32, now: Instant) -> LivePath {
        LivePath {
            path,
            slots,
            redundancy: Cell::new(0.0),
            is_logged: Cell::new(false),
            streams: Cell::new(0),
            tokens: Cell::new(0.0),
            last_event: Cell::new(now),
            avoid_until: Cell::new(None),
            checked: Cell::new(None),
            first_checked: Cell::new(None),
            is_superseded: Cell::new(false),
            departure: Cell::new(None),
            health: Cell::default(),
            changed: Notify::new(),
        }
    }

    /// Returns whether no stream got an event for so long that its engines should be probed. `later` extends the
    /// limit, so that other gateways probe first.
    pub(crate) fn is_idle(&self, now: Instant, later: Duration) -> bool {
        let limit = self.limit(SOME_STREAMS_IDLE_LIMIT, PATH_IDLE_LIMIT) + later;
        self.streams.get() > 0 && now - self.last_event.get() > limit
    }

    /// Returns whether all its streams miss the event that is due.
    pub(crate) fn misses_events(&self, now: Instant) -> bool {
        self.streams.get() > 0 && now - self.last_event.get() > EVENT_LATE_AFTER
    }

    /// Returns whether no stream got an event for so long that it should get no new requests.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        let limit = self.limit(SOME_STREAMS_SILENT_LIMIT, PATH_SILENT_LIMIT);
        self.streams.get() > 0 && now - self.last_event.get() > limit
    }

    fn limit(&self, with_some: Duration, with_few: Duration) -> Duration {
        if self.streams.get() >= SOME_STREAMS { with_some } else { with_few }
    }

    /// Adds a stream that reserves `tokens`.
    pub(crate) fn add_stream(&self, tokens: f64, now: Instant) {
        if self.streams.get() == 0 {
            self.last_event.set(now);
        }
        self.streams.set(self.streams.get() + 1);
        self.tokens.set(self.tokens.get() + tokens);
    }

    /// Removes such a stream, which ended or continues over another path.
    pub(crate) fn remove_stream(&self, tokens: f64) {
        self.streams.set(self.streams.get() - 1);
        self.tokens.set(self.tokens.get() - tokens);
    }

    /// Keeps new requests off it until `until`.
    pub(crate) fn avoid(&self, until: Instant) {
        let until = self.avoid_until.get().map_or(until, |before| before.max(until));
        self.avoid_until.set(Some(until));
    }

    /// Sets whether one of its engines is leaving. Such an engine finishes running work for `serves_for`.
    pub(crate) fn set_leaving(&self, is_leaving: bool, serves_for: Duration, now: Instant) {
        let begun = self.departure.get();
        let departure = begun.unwrap_or_else(|| Departure::new(now.into_std(), serves_for));
        self.departure.set(is_leaving.then_some(departure));
    }

    /// Returns the departure of its leaving engine, if there is one.
    pub(crate) fn departure(&self) -> Option<Departure> {
        self.departure.get()
    }

    /// Returns whether it gets no new requests, silence aside.
    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.is_superseded.get()
            || self.is_broken()
            || self.avoid_until.get().is_some_and(|until| until > now)
    }

    /// Returns whether its streams count against the capacity of its engines. On a broken path that capacity is needed
    /// for the runs that replace them.
    pub(crate) fn takes_capacity(&self) -> bool {
        self.streams.get() > 0 && !self.is_broken()
    }

    /// Returns whether it is broken: one of its engines is considered dead, and its streams miss their events.
    pub(crate) fn is_broken(&self) -> bool {
        self.health.get().is_broken()
    }

    /// Sets whether one of its engines is considered dead.
    pub(crate) fn set_engine_dead(&self, is_dead: bool, now: Instant) {
        self.update(|health| health.set_suspected(is_dead));
        self.break_if_suspected(now);
    }

    /// Breaks it if one of its engines is considered dead and no stream gets events.
    pub(crate) fn break_if_suspected(&self, now: Instant) {
        let has_no_events = self.streams.get() == 0 || self.misses_events(now);
        if self.update(|health| health.break_if_suspected(has_no_events)) {
            self.changed.notify_waiters();
        }
    }

    /// Breaks it, so that its streams look for other paths. They keep their runs until another run has begun.
    pub(crate) fn mark_broken(&self) {
        if self.update(PathHealth::mark_broken) {
            self.changed.notify_waiters();
        }
    }

    /// Records an event on a stream, which shows that all its engines are alive. Returns whether it was broken.
    pub(crate) fn on_event(&self, now: Instant) -> bool {
        self.last_event.set(now);
        let was_broken = self.update(|health| health.on_event(now.into_std()));
        if was_broken {
            self.changed.notify_waiters();
        }
        was_broken
    }

    /// Returns whether another gateway's report that one of its engines failed breaks it.
    pub(crate) fn breaks_by_report(&self, evidence: FailureEvidence, now: Instant) -> bool {
        let exceeds_min_idle =
            self.streams.get() > 0 && now - self.last_event.get() > evidence.min_idle();
        let trusts = self.health.get().trusts_reports(now.into_std());
        !self.is_broken() && exceeds_min_idle && (trusts || self.is_silent(now))
    }

    fn update<T>(&self, change: impl FnOnce(&mut PathHealth) -> T) -> T {
        let mut health = self.health.get();
        let res = change(&mut health);
        self.health.set(health);
        res
    }

    /// Waits until it is broken.
    pub(crate) async fn broken(&self) {
        self.wait_until(true).await;
    }

    /// Waits until it is not broken.
    pub(crate) async fn restored(&self) {
        self.wait_until(false).await;
    }

    async fn wait_until(&self, is_broken: bool) {
        loop {
            let changed = self.changed.notified();
            if self.is_broken() == is_broken {
                return;
            }
            changed.await;
        }
    }
}
