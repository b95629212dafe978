//! How old this gateway's knowledge of the store is, and what casts doubt on it.

use crate::process::{Count, Gateway};
use sorrellock_platform::{Kind, StoreError};
use sorrellock_routing::process::{Known, Revision, StoreEra};
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What is heard of the store, for the kinds that are watched.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    configuration: KindHeard,
    endpoints: KindHeard,
}

#[derive(Debug, Default)]
struct KindHeard {
    /// When the store last told this gateway all that it had, and in which era.
    at: Cell<Option<(StoreEra, Instant)>>,
    /// Wakes a watch that waits for news: it may wait in vain.
    suspect_watch: Notify,
}

impl StoreContact {
    /// The store told all that it has of a kind, in an era.
    pub(crate) fn set(&self, kind: Kind, era: StoreEra, at: Instant) {
        if let Some(of_kind) = self.of(kind) {
            of_kind.at.set(Some((era, at)));
        }
    }

    /// Forgets what the store told before an era.
    pub(crate) fn forget_before(&self, era: StoreEra) {
        for of_kind in [&self.configuration, &self.endpoints] {
            if of_kind.at.get().is_some_and(|(heard_in, _)| heard_in < era) {
                of_kind.at.set(None);
            }
        }
    }

    /// How long ago it did so; nothing if it never did.
    pub(crate) fn age(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let (_, at) = self.of(kind)?.at.get()?;
        Some(now - at)
    }

    /// The same in ms.
    pub(crate) fn age_ms(&self, kind: Kind, now: Instant) -> Option<u64> {
        self.age(kind, now).map(|age| age.as_millis() as u64)
    }

    /// A watch of a kind may wait in vain.
    pub(crate) fn suspect_watch(&self, kind: Kind) {
        if let Some(of_kind) = self.of(kind) {
            of_kind.suspect_watch.notify_waiters();
        }
    }

    /// Another call of the store had no answer: all watches may wait in vain.
    pub(crate) fn suspect_watches(&self) {
        self.configuration.suspect_watch.notify_waiters();
        self.endpoints.suspect_watch.notify_waiters();
    }

    /// Ends once something casts doubt on a watch of a kind.
    pub(crate) async fn doubted(&self, kind: Kind) {
        match self.of(kind) {
            Some(of_kind) => of_kind.suspect_watch.notified().await,
            None => std::future::pending().await,
        }
    }

    fn of(&self, kind: Kind) -> Option<&KindHeard> {
        match kind {
            Kind::Configuration => Some(&self.configuration),
            Kind::Endpoints => Some(&self.endpoints),
            Kind::Gateways | Kind::Leads => None,
        }
    }
}

/// What a choice among the endpoints rests on, for log lines.
pub(crate) struct EndpointsKnown {
    /// The store's revision up to which they are known.
    pub(crate) at: Revision,
    /// How old that knowledge is, in ms; nothing if no gateway that is heard knows.
    pub(crate) age_ms: Option<u64>,
}

impl Gateway {
    /// What a choice among the endpoints rests on right now.
    pub(crate) fn endpoints_known(&self) -> EndpointsKnown {
        let age = self.knowledge_age(Kind::Endpoints, Instant::now());
        EndpointsKnown {
            at: self.knowledge.borrow().endpoints_at(),
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }

    /// How old this gateway's knowledge of a kind is: the time since the store told all that it had to this one, or to
    /// another one that is heard and knows nothing that this one doesn't.
    pub(crate) fn knowledge_age(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let beliefs = self.beliefs.borrow();
        let (era, known) = (self.eras.known(), self.knowledge.borrow().known());
        let peers = beliefs.live_peers(now).filter(|peer| {
            peer.message.store_era == era && !is_ahead(kind, &peer.message.known, &known)
        });
        let told = peers.filter_map(|peer| peer.store_contact(kind, now));
        told.chain(self.store_contact.age(kind, now)).min()
    }

    /// A call of the store failed.
    pub(crate) fn on_store_failed(&self, err: &StoreError) {
        self.counters.add(Count::StoreFailures);
        self.store_failed.set(Some(Instant::now()));
        if err.is_silence() {
            self.store_contact.suspect_watches();
        }
    }
}

/// Whether one gateway knows something of a kind that another one doesn't.
fn is_ahead(kind: Kind, one: &Known, other: &Known) -> bool {
    match kind {
        Kind::Configuration => one.config > other.config,
        Kind::Endpoints => one.endpoints_at > other.endpoints_at,
        Kind::Gateways | Kind::Leads => false,
    }
}
