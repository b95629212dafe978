//! The fleet as this entry knows it: which endpoints take work, and what it has in flight there.

use sorrellock_core::id::{EndpointId, ModelId};
use sorrellock_core::process::{DaemonRole, EndpointFact, InstanceFact, Liveness, Role};
use sorrellock_core::request::{Candidate, Peer};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// An endpoint that takes work.
#[derive(Clone, Debug)]
pub struct KnownEndpoint {
    /// The daemon beside it.
    pub daemon: Peer,
    /// What its daemon told.
    pub fact: EndpointFact,
    /// What this entry has in flight there; fresher than any report.
    pub in_flight: Arc<AtomicU32>,
}

/// Counts as in flight at an endpoint until dropped.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicU32>);

impl InFlight {
    fn new(counter: &Arc<AtomicU32>) -> InFlight {
        counter.fetch_add(1, Ordering::Relaxed);
        InFlight(counter.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The fleet as this entry knows it.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    instances: HashMap<SocketAddr, InstanceFact>,
    endpoints: Vec<KnownEndpoint>,
}

impl FleetView {
    /// Takes what a daemon told of itself.
    pub fn learn(&mut self, fact: InstanceFact) {
        let known = self.instances.get(&fact.peer.addr);
        let older = |known: &InstanceFact| {
            known.peer.incarnation == fact.peer.incarnation && known.counter >= fact.counter
        };
        if known.is_some_and(older) {
            return;
        }
        self.instances.insert(fact.peer.addr, fact);
        self.index();
    }

    /// Forgets a daemon that can't be reached.
    pub fn forget(&mut self, addr: SocketAddr) -> bool {
        let known = self.instances.remove(&addr).is_some();
        if known {
            self.index();
        }
        known
    }

    /// All instances known.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceFact> {
        self.instances.values()
    }

    /// The engines that take work for a model.
    pub fn engines(&self, model: &ModelId) -> Vec<Candidate> {
        let candidate = |known: &KnownEndpoint| match &known.fact.role {
            Role::Engine { model: held, layers } if held == model => Some(Candidate {
                daemon: known.daemon,
                endpoint: known.fact.id.clone(),
                layers: *layers,
                load: known.in_flight.load(Ordering::Relaxed),
            }),
            _ => None,
        };
        self.endpoints.iter().filter_map(candidate).collect()
    }

    /// The instances of a plain service that take work, the least loaded first.
    pub fn services(&self, service: &str) -> Vec<&KnownEndpoint> {
        let serves = |known: &&KnownEndpoint| matches!(&known.fact.role, Role::Service { service: held } if held == service);
        let mut found: Vec<_> = self.endpoints.iter().filter(serves).collect();
        found.sort_by_key(|known| known.in_flight.load(Ordering::Relaxed));
        found
    }

    /// How much work the live endpoints take at a time that serve as `serves` tells.
    pub fn slots(&self, serves: impl Fn(&Role) -> bool) -> usize {
        let serving = self.endpoints.iter().filter(|known| serves(&known.fact.role));
        serving.map(|known| known.fact.slots as usize).sum()
    }

    /// The other entries that are live.
    pub fn other_entries(&self) -> usize {
        let entries = self.instances.values().filter(|fact| fact.role == DaemonRole::Entry);
        entries.filter(|fact| fact.liveness == Liveness::Live).count()
    }

    /// Counts work at an endpoint until the guard is dropped.
    pub fn count(&self, endpoint: &EndpointId) -> Option<InFlight> {
        let known = self.endpoints.iter().find(|known| known.fact.id == *endpoint)?;
        Some(InFlight::new(&known.in_flight))
    }

    fn index(&mut self) {
        let old = std::mem::take(&mut self.endpoints);
        let counters: HashMap<_, _> =
            old.into_iter().map(|known| (known.fact.id, known.in_flight)).collect();
        let live = self.instances.values().filter(|instance| instance.liveness == Liveness::Live);
        for instance in live {
            let known = instance.endpoints.iter().map(|fact| KnownEndpoint {
                daemon: instance.peer,
                fact: fact.clone(),
                in_flight: counters.get(&fact.id).cloned().unwrap_or_default(),
            });
            self.endpoints.extend(known);
        }
    }
}
