//! Age of this gateway's knowledge of the store, and signals that a watch may have stalled.

use crate::process::{Count, Gateway};
use sorrellock_platform::{Kind, StoreError};
use sorrellock_routing::process::relays::StoreAges;
use sorrellock_routing::process::{Known, Revision, StoreEra};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Last contact with the store, for each kind that is watched.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    configuration: KindContact,
    endpoints: KindContact,
}

#[derive(Debug, Default)]
struct KindContact {
    /// When the store last sent this gateway everything up to the current state, and in which era.
    at: Cell<Option<(StoreEra, Instant)>>,
    /// Wakes a pending watch, which may have stalled.
    suspected: Notify,
    /// Until when its data is complete by the reports of other gateways, and in which era.
    confirmed: Cell<Option<(StoreEra, Instant)>>,
    /// Whether this gateway learns of changes from others, without a watch of its own.
    is_left_to_others: Cell<bool>,
}

impl StoreContact {
    /// Records that the store sent everything it has of a kind, in an era.
    pub(crate) fn set(&self, kind: Kind, era: StoreEra, at: Instant) {
        if let Some(of_kind) = self.of(kind) {
            of_kind.at.set(Some((era, at)));
        }
    }

    /// Records that the data of a kind is complete up to a time, by the reports of other gateways.
    pub(crate) fn confirm(&self, kind: Kind, era: StoreEra, at: Instant) {
        if let Some(of_kind) = self.of(kind) {
            let before = of_kind.confirmed.get();
            of_kind.confirmed.set(before.max(Some((era, at))));
        }
    }

    /// Returns the time up to which the data of a kind is complete by such reports, in an era.
    fn confirmed(&self, kind: Kind, era: StoreEra) -> Option<Instant> {
        let (confirmed_era, at) = self.of(kind)?.confirmed.get()?;
        (confirmed_era == era).then_some(at)
    }

    /// Forgets contacts before an era.
    pub(crate) fn forget_before(&self, era: StoreEra) {
        for of_kind in [&self.configuration, &self.endpoints] {
            if of_kind.at.get().is_some_and(|(contact_era, _)| contact_era < era) {
                of_kind.at.set(None);
            }
        }
    }

    /// Returns the time since the last contact for a kind; `None` without one.
    pub(crate) fn age(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let (_, at) = self.of(kind)?.at.get()?;
        Some(now - at)
    }

    /// Returns the same in ms.
    pub(crate) fn age_ms(&self, kind: Kind, now: Instant) -> Option<u64> {
        self.age(kind, now).map(|age| age.as_millis() as u64)
    }

    /// Sets whether this gateway learns of changes of a kind from others. Returns whether it did before.
    pub(crate) fn set_left_to_others(&self, kind: Kind, is_left: bool) -> bool {
        self.of(kind).is_some_and(|of_kind| of_kind.is_left_to_others.replace(is_left))
    }

    /// Returns whether this gateway learns of changes of a kind from others.
    pub(crate) fn is_left_to_others(&self, kind: Kind) -> bool {
        self.of(kind).is_some_and(|of_kind| of_kind.is_left_to_others.get())
    }

    /// Signals that the watch of a kind may have stalled.
    pub(crate) fn suspect_watch(&self, kind: Kind) {
        if let Some(of_kind) = self.of(kind) {
            of_kind.suspected.notify_waiters();
        }
    }

    /// Signals that all watches may have stalled, as another call of the store got no answer.
    pub(crate) fn suspect_watches(&self) {
        self.configuration.suspected.notify_waiters();
        self.endpoints.suspected.notify_waiters();
    }

    /// Waits for a signal that the watch of a kind may have stalled.
    pub(crate) async fn watch_suspected(&self, kind: Kind) {
        match self.of(kind) {
            Some(of_kind) => of_kind.suspected.notified().await,
            None => std::future::pending().await,
        }
    }

    fn of(&self, kind: Kind) -> Option<&KindContact> {
        match kind {
            Kind::Configuration => Some(&self.configuration),
            Kind::Endpoints => Some(&self.endpoints),
            Kind::Gateways | Kind::Leads | Kind::HeldRequests | Kind::FirstGateways => None,
        }
    }
}

/// Knowledge that a choice among the endpoints is based on, for log lines.
pub(crate) struct EndpointsKnown {
    /// Revision of the store up to which the endpoints are known.
    pub(crate) at: Revision,
    /// Age of that knowledge, in ms; `None` if no live gateway has it.
    pub(crate) age_ms: Option<u64>,
}

impl Gateway {
    /// Returns the knowledge that a choice among the endpoints is based on now.
    pub(crate) fn endpoints_known(&self) -> EndpointsKnown {
        let age = self.knowledge_age(Kind::Endpoints, Instant::now());
        EndpointsKnown {
            at: self.knowledge.borrow().endpoints_at(),
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }

    /// Returns the age of this gateway's knowledge of a kind: the time since the store sent everything to this gateway, or
    /// to another live one that is not ahead of it.
    pub(crate) fn knowledge_age(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let fleet_state = self.fleet_state.borrow();
        let (era, known) = (self.eras.known(), self.knowledge.borrow().known());
        let reports = fleet_state
            .reports(now)
            .into_iter()
            .filter(|report| report.store_era() == era && !is_ahead(kind, &report.known(), &known));
        let ages = reports.filter_map(|report| report.store_contact(kind, now));
        let confirmed = self.store_contact.confirmed(kind, era).map(|at| now - at);
        ages.chain(self.store_contact.age(kind, now)).chain(confirmed).min()
    }

    /// Returns the ages of this gateway's knowledge.
    pub(crate) fn knowledge_ages(&self, now: Instant) -> StoreAges {
        let age_ms = |kind| self.knowledge_age(kind, now).map(|age| age.as_millis() as u32);
        StoreAges {
            configuration_ms: age_ms(Kind::Configuration),
            endpoints_ms: age_ms(Kind::Endpoints),
        }
    }

    /// Records that this gateway's data is as complete as another one's was at `at`, by the ages that this one sent.
    pub(crate) fn confirm_ages(&self, ages: StoreAges, era: StoreEra, at: Instant) {
        if era != self.eras.known() {
            return;
        }
        let confirm = |kind, age_ms: Option<u32>| {
            let age = age_ms.map(|ms| Duration::from_millis(ms.into()));
            if let Some(complete) = age.and_then(|age| at.checked_sub(age)) {
                self.store_contact.confirm(kind, era, complete);
            }
        };
        confirm(Kind::Configuration, ages.configuration_ms);
        confirm(Kind::Endpoints, ages.endpoints_ms);
    }

    /// Handles a failed call of the store.
    pub(crate) fn on_store_failed(&self, err: &StoreError) {
        self.counters.add(Count::StoreFailures);
        self.store_failed.set(Some(Instant::now()));
        if err.is_silence() {
            self.store_contact.suspect_watches();
        }
    }
}

/// Returns whether one gateway knows a newer state of a kind than another one.
fn is_ahead(kind: Kind, known: &Known, other: &Known) -> bool {
    match kind {
        Kind::Configuration => known.config > other.config,
        Kind::Endpoints => known.endpoints_at > other.endpoints_at,
        Kind::Gateways | Kind::Leads | Kind::HeldRequests | Kind::FirstGateways => false,
    }
}
