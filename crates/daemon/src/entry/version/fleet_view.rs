//! The fleet as this entry knows it: which endpoints accept work, and how much it has in flight at each.

use sorrellock_core::id::{EndpointId, ModelId, Place};
use sorrellock_core::process::membership::{MembershipView, Standing};
use sorrellock_core::process::{DaemonRole, EndpointFact, InstanceFact, Role};
use sorrellock_core::request::{Candidate, LinkCosts, Peer, expected_load};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// An endpoint that accepts work.
#[derive(Clone, Debug)]
pub struct KnownEndpoint {
    /// Daemon that serves it.
    pub daemon: Peer,
    /// Endpoint state as reported by its daemon.
    pub fact: EndpointFact,
    /// Requests of this entry in flight there; more recent than any report.
    pub in_flight: Arc<AtomicU32>,
    /// Value of `in_flight` when the daemon last reported a different load.
    pub own_at_report: u32,
    /// Place of its daemon.
    pub place: Place,
}

impl KnownEndpoint {
    fn new(instance: &InstanceFact, fact: &EndpointFact, old: Option<&KnownEndpoint>) -> Self {
        let in_flight = old.map(|old| old.in_flight.clone()).unwrap_or_default();
        let own_at_report = match old {
            Some(old) if old.fact.load == fact.load => old.own_at_report,
            _ => in_flight.load(Ordering::Relaxed),
        };
        let (daemon, place) = (instance.peer, instance.place.clone());
        KnownEndpoint { daemon, fact: fact.clone(), in_flight, own_at_report, place }
    }

    /// Returns the work in progress there. Reports lag, so they count only for work that other entries may have sent.
    fn load(&self, other_entries: usize) -> u32 {
        let own = self.in_flight.load(Ordering::Relaxed);
        if other_entries == 0 {
            return own;
        }
        expected_load(self.fact.load, own, self.own_at_report)
    }
}

/// Guard that counts a request as in flight at an endpoint until dropped.
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
    /// Live daemons that serve endpoints.
    instances: Vec<InstanceFact>,
    endpoints: Vec<KnownEndpoint>,
    other_entries: usize,
    place: Place,
    links: LinkCosts,
}

impl FleetView {
    /// Collects the endpoints of the live members. Endpoints of members that are suspected, that the platform's list
    /// marks as leaving, or that are `avoided` are included only for roles that no other member serves.
    pub fn new(
        old: &FleetView,
        members: &MembershipView,
        avoided: &HashSet<SocketAddr>,
    ) -> FleetView {
        let live: Vec<&InstanceFact> = members.live_as(DaemonRole::Beside).collect();
        let is_preferred = |fact: &&&InstanceFact| {
            let incarnation = fact.peer.incarnation;
            let member = members.get(incarnation);
            let trusted = member.is_some_and(|member| member.standing == Standing::Trusted);
            let listed = members.is_listed_leaving(incarnation);
            trusted && !listed && !avoided.contains(&fact.peer.addr)
        };
        let (preferred, others): (Vec<_>, Vec<_>) =
            live.iter().partition(|fact| is_preferred(fact));
        let roles = |facts: &[&InstanceFact]| -> HashSet<Role> {
            facts.iter().flat_map(|f| f.endpoints.iter().map(|e| e.role.clone())).collect()
        };
        let served = roles(&preferred);
        let before: HashMap<_, _> =
            old.endpoints.iter().map(|known| (&known.fact.id, known)).collect();
        let known = |instance: &InstanceFact, fact: &EndpointFact| {
            KnownEndpoint::new(instance, fact, before.get(&fact.id).copied())
        };
        let all = |instances: &[&InstanceFact], but: &HashSet<Role>| -> Vec<KnownEndpoint> {
            let pairs = instances.iter().flat_map(|i| i.endpoints.iter().map(move |e| (i, e)));
            pairs.filter(|(_, e)| !but.contains(&e.role)).map(|(i, e)| known(i, e)).collect()
        };
        let mut endpoints = all(&preferred, &HashSet::new());
        endpoints.extend(all(&others, &served));
        let entries = members.live_as(DaemonRole::Entry);
        let other_entries = entries.filter(|fact| fact.peer != members.me).count();
        let mut links = LinkCosts::new();
        for fact in &live {
            let from = fact.peer.addr;
            fact.degraded.iter().for_each(|l| links.degrade(from, &l.to, f64::from(l.factor)));
        }
        let place = members.place.clone();
        let instances = live.into_iter().cloned().collect();
        FleetView { instances, endpoints, other_entries, place, links }
    }

    /// Returns whether any endpoint that accepts work is served by the daemon at an address.
    pub fn serves(&self, addr: SocketAddr) -> bool {
        self.endpoints.iter().any(|known| known.daemon.addr == addr)
    }

    /// Returns the place of this entry.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Returns the costs of links.
    pub fn links(&self) -> &LinkCosts {
        &self.links
    }

    /// Returns all live daemons that serve endpoints.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceFact> {
        self.instances.iter()
    }

    /// Returns the engines that accept work for a model.
    pub fn engines(&self, model: &ModelId) -> Vec<Candidate> {
        let candidate = |known: &KnownEndpoint| match &known.fact.role {
            Role::Engine { model: held, layers } if held == model => Some(Candidate {
                daemon: known.daemon,
                endpoint: known.fact.id.clone(),
                layers: *layers,
                place: known.place.clone(),
                load: known.load(self.other_entries),
                slots: known.fact.slots,
            }),
            _ => None,
        };
        self.endpoints.iter().filter_map(candidate).collect()
    }

    /// Returns the instances of a plain service that accept work, the one with the fewest requests of this entry
    /// first.
    pub fn services(&self, service: &str) -> Vec<&KnownEndpoint> {
        let serves = |known: &&KnownEndpoint| matches!(&known.fact.role, Role::Service { service: held } if held == service);
        let mut found: Vec<_> = self.endpoints.iter().filter(serves).collect();
        found.sort_by_key(|known| known.in_flight.load(Ordering::Relaxed));
        found
    }

    /// Returns the total number of slots of the endpoints whose role `serves` accepts.
    pub fn slots(&self, serves: impl Fn(&Role) -> bool) -> usize {
        let serving = self.endpoints.iter().filter(|known| serves(&known.fact.role));
        serving.map(|known| known.fact.slots as usize).sum()
    }

    /// Returns the number of other live entries.
    pub fn other_entries(&self) -> usize {
        self.other_entries
    }

    /// Counts a request as in flight at an endpoint until the returned guard is dropped.
    pub fn count(&self, endpoint: &EndpointId) -> Option<InFlight> {
        let known = self.endpoints.iter().find(|known| known.fact.id == *endpoint)?;
        Some(InFlight::new(&known.in_flight))
    }
}
