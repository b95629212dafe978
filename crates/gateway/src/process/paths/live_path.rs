//! A path in use, with what this gateway's streams do on it.

use sorrellock_routing::process::{Departure, FailureEvidence, PathHealth, PipelinePath};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// With few streams under way and no event on any for so long, the engines of a path are asked
/// whether they live. All streams of a path get an event with each pass of its engines, every 55 ms
/// or so, and a pass that reads prompts takes up to twice as long.
const PATH_QUIET: Duration = Duration::from_millis(85);
/// The same with some streams, which rarely all just begin or end.
const SOME_STREAMS_QUIET: Duration = Duration::from_millis(75);
/// Silence from which on an event is late; the lead's word then counts.
const EVENT_MISSED: Duration = Duration::from_millis(65);
/// With few streams under way and no event on any for so long, a path gets nothing new: three times
/// the longest pause that is on time. One that reads many prompts is quiet for half of that.
const PATH_SILENCE: Duration = Duration::from_millis(600);
/// The same with some streams.
const SOME_STREAMS_SILENCE: Duration = Duration::from_millis(300);
/// From so many streams on that holds.
const SOME_STREAMS: u32 = 4;

/// What becomes of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineFate {
    /// It stays.
    Stays,
    /// It finishes what it runs for a few seconds, and takes nothing new.
    Leaves,
    /// What it runs is lost.
    Dead,
}

/// A path with what this gateway's streams do on it.
pub(crate) struct LivePath {
    /// Its engines.
    pub(crate) path: PipelinePath,
    /// Share of its layers that another engine of its data centre holds too.
    pub(crate) redundancy: Cell<f64>,
    /// The log told of it.
    pub(crate) is_told: Cell<bool>,
    /// Requests that its first engine takes at once from all gateways.
    pub(crate) slots: u32,
    /// This gateway's streams under way.
    pub(crate) streams: Cell<u32>,
    /// Tokens reserved by them.
    pub(crate) tokens: Cell<f64>,
    /// When a stream last got an event, or the first of them began.
    pub(crate) last_event: Cell<Instant>,
    /// Gets nothing new until then.
    pub(crate) avoid_until: Cell<Option<Instant>>,
    /// When its engines were last asked whether they live.
    pub(crate) checked: Cell<Option<Instant>>,
    /// The same of its first engine alone.
    pub(crate) first_checked: Cell<Option<Instant>>,
    /// Better paths are in use: it takes nothing new.
    pub(crate) is_superseded: Cell<bool>,
    /// An engine of it leaves: its streams should go on over another path before it exits.
    departure: Cell<Option<Departure>>,
    health: Cell<PathHealth>,
    /// Wakes its streams when it breaks, and when an event shows that it works.
    changed: Notify,
}

impl LivePath {
    pub(crate) fn new(path: PipelinePath, slots: u32, now: Instant) -> LivePath {
        LivePath {
            path,
            slots,
            redundancy: Cell::new(0.0),
            is_told: Cell::new(false),
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

    /// Whether all its streams have been silent for so long that its engines should be asked.
    /// They are for `later` longer: other gateways ask first.
    pub(crate) fn is_quiet(&self, now: Instant, later: Duration) -> bool {
        let limit = self.limit(SOME_STREAMS_QUIET, PATH_QUIET) + later;
        self.streams.get() > 0 && now - self.last_event.get() > limit
    }

    /// Whether all its streams miss the event that is due.
    pub(crate) fn misses_events(&self, now: Instant) -> bool {
        self.streams.get() > 0 && now - self.last_event.get() > EVENT_MISSED
    }

    /// Whether all its streams have been silent for so long that it gets nothing new.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        let limit = self.limit(SOME_STREAMS_SILENCE, PATH_SILENCE);
        self.streams.get() > 0 && now - self.last_event.get() > limit
    }

    fn limit(&self, with_some: Duration, with_few: Duration) -> Duration {
        if self.streams.get() >= SOME_STREAMS { with_some } else { with_few }
    }

    /// A stream that reserves so many tokens begins on it.
    pub(crate) fn add_stream(&self, tokens: f64, now: Instant) {
        if self.streams.get() == 0 {
            self.last_event.set(now);
        }
        self.streams.set(self.streams.get() + 1);
        self.tokens.set(self.tokens.get() + tokens);
    }

    /// Such a stream ends, or goes on over another path.
    pub(crate) fn remove_stream(&self, tokens: f64) {
        self.streams.set(self.streams.get() - 1);
        self.tokens.set(self.tokens.get() - tokens);
    }

    /// Gives it nothing new until `until`.
    pub(crate) fn avoid(&self, until: Instant) {
        let until = self.avoid_until.get().map_or(until, |before| before.max(until));
        self.avoid_until.set(Some(until));
    }

    /// Takes whether an engine of it leaves, and for how long such an engine serves.
    pub(crate) fn set_leaving(&self, is_leaving: bool, serves_for: Duration, now: Instant) {
        let begun = self.departure.get();
        let departure = begun.unwrap_or_else(|| Departure::new(now.into_std(), serves_for));
        self.departure.set(is_leaving.then_some(departure));
    }

    /// An engine of it that leaves, if there is one.
    pub(crate) fn departure(&self) -> Option<Departure> {
        self.departure.get()
    }

    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.is_superseded.get()
            || self.is_broken()
            || self.avoid_until.get().is_some_and(|until| until > now)
    }

    /// Whether its streams count against the capacity of its engines. On a broken path their capacity is needed for the
    /// runs that replace them.
    pub(crate) fn takes_capacity(&self) -> bool {
        self.streams.get() > 0 && !self.is_broken()
    }

    /// An engine of it is judged to be dead, and its streams miss their events.
    pub(crate) fn is_broken(&self) -> bool {
        self.health.get().is_broken()
    }

    /// Takes whether an engine of it is judged to be dead.
    pub(crate) fn set_suspected(&self, is_dead: bool, now: Instant) {
        self.update(|health| health.set_suspected(is_dead));
        self.break_if_suspected(now);
    }

    /// Breaks it if an engine of it is judged to be dead and no stream gets events.
    pub(crate) fn break_if_suspected(&self, now: Instant) {
        let is_quiet = self.streams.get() == 0 || self.misses_events(now);
        if self.update(|health| health.break_if_suspected(is_quiet)) {
            self.changed.notify_waiters();
        }
    }

    /// Its streams look for other paths. They keep their runs until another one has begun.
    pub(crate) fn mark_broken(&self) {
        if self.update(PathHealth::mark_broken) {
            self.changed.notify_waiters();
        }
    }

    /// A stream got an event: all engines of the path live. Whether it was broken.
    pub(crate) fn on_event(&self, now: Instant) -> bool {
        self.last_event.set(now);
        let was_broken = self.update(|health| health.on_event(now.into_std()));
        if was_broken {
            self.changed.notify_waiters();
        }
        was_broken
    }

    /// Whether it breaks if another gateway reports that an engine of it is dead.
    pub(crate) fn breaks_by_report(&self, evidence: FailureEvidence, now: Instant) -> bool {
        let is_idle = self.streams.get() > 0 && now - self.last_event.get() > evidence.min_idle();
        let trusts = self.health.get().trusts_reports(now.into_std());
        !self.is_broken() && is_idle && (trusts || self.is_silent(now))
    }

    fn update<T>(&self, change: impl FnOnce(&mut PathHealth) -> T) -> T {
        let mut health = self.health.get();
        let res = change(&mut health);
        self.health.set(health);
        res
    }

    /// Ends when it is broken.
    pub(crate) async fn broken(&self) {
        self.wait_until(true).await;
    }

    /// Ends when it is not broken.
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
