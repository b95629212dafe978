//! The paths in use, and the load of this gateway's streams on them.

use crate::process::{EngineAvailability, LivePath};
use sorrellock_routing::process::{BestPaths, Holder, Incarnation, RankedPath, ReportedSuspect};
use sorrellock_routing::version::{ModelShape, ServiceName};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Capacity taken by streams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Number of tokens reserved.
    pub(crate) tokens: f64,
    /// Number of streams.
    pub(crate) streams: u32,
}

/// The paths of all services.
#[derive(Default)]
pub(crate) struct PathTable {
    paths: HashMap<ServiceName, Vec<Rc<LivePath>>>,
    best: HashMap<ServiceName, BestPaths>,
    /// Load of other gateways' streams, by the first engine of their path.
    peers: HashMap<Incarnation, Load>,
    /// KV cache capacity of each engine, in tokens times layers.
    pub(super) kv_capacities: HashMap<Incarnation, f64>,
    freed: Rc<Notify>,
}

impl PathTable {
    /// Sets the load of other gateways' streams, by the first engine of their path.
    pub(crate) fn set_peer_loads(&mut self, peers: HashMap<Incarnation, Load>) {
        self.peers = peers;
    }

    /// Adds a stream of another gateway to the load of its first engine.
    pub(crate) fn add_peer_load(&mut self, head: &Incarnation, tokens: f64) {
        let load = self.peers.entry(head.clone()).or_default();
        load.tokens += tokens;
        load.streams += 1;
    }

    /// Returns the tokens that streams of all gateways reserve on the paths of a service.
    pub(crate) fn reserved(&self, service: &str) -> f64 {
        let paths = self.paths(service).iter();
        let own: f64 = paths.clone().map(|live| live.tokens.get()).sum();
        let heads: BTreeSet<&Incarnation> =
            paths.map(|live| &live.path.first().incarnation).collect();
        let peers = heads.into_iter().filter_map(|head| self.peers.get(head));
        own + peers.map(|load| load.tokens).sum::<f64>()
    }

    /// Returns the first engines of a service's paths that get new requests, in an order that all gateways share.
    pub(crate) fn first_engines(&self, service: &str, now: Instant) -> Vec<Incarnation> {
        let open = self.paths(service).iter().filter(|live| !live.is_avoided(now));
        let firsts: BTreeSet<Incarnation> =
            open.map(|live| live.path.first().incarnation.clone()).collect();
        firsts.into_iter().collect()
    }

    /// Returns whether a path that takes new requests is left without these engines.
    pub(crate) fn serves_without<'a>(
        &self,
        service: &str,
        engines: impl Iterator<Item = &'a Incarnation> + Clone,
        now: Instant,
    ) -> bool {
        let mut open = self.paths(service).iter().filter(|live| !live.is_avoided(now));
        open.any(|live| !engines.clone().any(|engine| live.path.uses(engine)))
    }

    /// Returns the paths through the reported engine that another gateway's report breaks.
    pub(crate) fn breaking_by_report(
        &self,
        report: &ReportedSuspect,
        now: Instant,
    ) -> Vec<Rc<LivePath>> {
        let all = self.paths.values().flatten();
        let breaking = all.filter(|live| live.breaks_by_report(report.evidence, now));
        breaking.filter(|live| live.path.uses(&report.incarnation)).cloned().collect()
    }

    /// Returns the load of this gateway's streams, by the first engine of their path.
    pub(crate) fn own_loads(&self) -> HashMap<Incarnation, Load> {
        let mut loads: HashMap<Incarnation, Load> = HashMap::new();
        for live in self.paths.values().flatten().filter(|live| live.takes_capacity()) {
            let load = loads.entry(live.path.first().incarnation.clone()).or_default();
            load.tokens += live.tokens.get();
            load.streams += live.streams.get();
        }
        loads
    }

    /// Returns whether any gateway is known to have a running stream.
    pub(crate) fn is_in_use(&self) -> bool {
        let mut own = self.paths.values().flatten();
        own.any(|live| live.streams.get() > 0) || self.peers.values().any(|load| load.streams > 0)
    }

    /// Returns the number of streams of all gateways that begin at an engine.
    pub(super) fn head_streams(&self, service: &str, head: &Incarnation) -> u32 {
        let begins_there =
            |live: &&Rc<LivePath>| live.takes_capacity() && live.path.first().incarnation == *head;
        let own = self.paths(service).iter().filter(begins_there);
        let own: u32 = own.map(|live| live.streams.get()).sum();
        own + self.peers.get(head).map_or(0, |load| load.streams)
    }

    /// Returns the KV cache that streams of all gateways take at each engine, in tokens times layers. The load of
    /// other gateways' streams is assigned to the path in use that begins at their first engine.
    pub(super) fn kv_used(&self, service: &str) -> HashMap<&Incarnation, f64> {
        let mut used: HashMap<&Incarnation, f64> = HashMap::new();
        for live in self.paths(service).iter().filter(|live| !live.is_broken()) {
            let peers = self.peers.get(&live.path.first().incarnation);
            let peers = peers.filter(|_| !live.is_superseded.get()).map_or(0.0, |p| p.tokens);
            let tokens = live.tokens.get() + peers;
            for part in &live.path.parts {
                *used.entry(&part.incarnation).or_default() +=
                    tokens * f64::from(part.layers.len());
            }
        }
        used
    }

    /// Breaks paths with an engine that is considered dead and whose streams miss their events.
    pub(crate) fn break_suspected(&self, now: Instant) {
        self.paths.values().flatten().for_each(|live| live.break_if_suspected(now));
    }

    /// Returns the paths without events on any stream for so long that their engines should be probed.
    pub(crate) fn idle(&self, now: Instant) -> impl Iterator<Item = &Rc<LivePath>> {
        let all = self.paths.values().flatten();
        all.filter(move |live| !live.is_broken() && live.is_idle(now, Duration::ZERO))
    }

    /// Returns the signal that capacity was freed or the paths changed.
    pub(crate) fn freed(&self) -> Rc<Notify> {
        Rc::clone(&self.freed)
    }

    /// Returns the paths of a service.
    pub(crate) fn paths(&self, service: &str) -> &[Rc<LivePath>] {
        self.paths.get(service).map_or(&[], Vec::as_slice)
    }

    /// Recomputes the paths of a service. Returns whether they changed.
    pub(crate) fn rebuild(
        &mut self,
        service: &str,
        shape: &ModelShape,
        holders: &[Holder],
        availability: impl Fn(&Incarnation) -> EngineAvailability,
        leaving_serves_for: Duration,
        now: Instant,
    ) -> bool {
        self.kv_capacities
            .extend(holders.iter().map(|holder| (holder.incarnation.clone(), holder.kv_capacity)));
        let old = self.paths.remove(service).unwrap_or_default();
        for live in &old {
            let has = |wanted| {
                live.path.parts.iter().any(|part| availability(&part.incarnation) == wanted)
            };
            live.set_engine_dead(has(EngineAvailability::Dead), now);
            live.set_leaving(has(EngineAvailability::Leaving), leaving_serves_for, now);
        }
        let mut is_changed = false;
        let mut fresh = Vec::new();
        let best = self.best.entry(service.to_owned()).or_default();
        for RankedPath { path, redundancy } in best.update(holders, shape.layers) {
            let same = |live: &&Rc<LivePath>| !live.is_broken() && live.path.parts == path.parts;
            let live = match old.iter().find(same) {
                Some(live) => {
                    is_changed |= live.is_superseded.replace(false);
                    Rc::clone(live)
                }
                None => {
                    is_changed = true;
                    Rc::new(LivePath::new(path, shape.slots.max(1), now))
                }
            };
            live.redundancy.set(redundancy);
            fresh.push(live);
        }
        let was_in_use = |live: &&Rc<LivePath>| !live.is_superseded.get();
        is_changed |= fresh.len() != old.iter().filter(was_in_use).count();
        // An old path, even a broken one, is kept while a stream runs on it or an order to continue over it is in
        // progress: either holds a reference besides this table.
        let still_used = old.into_iter().filter(|live| {
            Rc::strong_count(live) > 1 && !fresh.iter().any(|other| Rc::ptr_eq(other, live))
        });
        for live in still_used.collect::<Vec<_>>() {
            live.is_superseded.set(true);
            fresh.push(live);
        }
        self.paths.insert(service.to_owned(), fresh);
        self.remove_unused_capacities();
        if is_changed {
            self.freed.notify_waiters();
        }
        is_changed
    }

    /// Removes the paths of services that are no longer served, unless a stream still runs on them.
    pub(crate) fn remove_services(&mut self, is_served: impl Fn(&str) -> bool) {
        let is_used = |paths: &[Rc<LivePath>]| paths.iter().any(|live| live.streams.get() > 0);
        self.paths.retain(|service, paths| is_served(service) || is_used(paths));
        self.best.retain(|service, _| self.paths.contains_key(service));
        self.remove_unused_capacities();
    }

    /// Removes the capacities of engines that are part of no path.
    fn remove_unused_capacities(&mut self) {
        let parts = self.paths.values().flatten().flat_map(|live| &live.path.parts);
        let incarnations: BTreeSet<&Incarnation> = parts.map(|part| &part.incarnation).collect();
        self.kv_capacities.retain(|incarnation, _| incarnations.contains(incarnation));
    }

    /// Returns the path that begins at an engine and takes new requests.
    pub(crate) fn open_path(
        &self,
        service: &str,
        head: &Incarnation,
        now: Instant,
    ) -> Option<Rc<LivePath>> {
        let mut open = self.paths(service).iter().filter(|live| !live.is_avoided(now));
        open.find(|live| live.path.first().incarnation == *head).cloned()
    }

    /// Returns a path over which the requests of path `of` can continue. Engines accept such an order only where the
    /// first one runs the same layers as before.
    pub(crate) fn successor(
        &mut self,
        service: &str,
        of: &Rc<LivePath>,
        now: Instant,
    ) -> Option<Rc<LivePath>> {
        let fits = |live: &&Rc<LivePath>| {
            !Rc::ptr_eq(live, of)
                && !live.is_broken()
                && live.departure().is_none()
                && !live.is_avoided(now)
                && live.path.first() == of.path.first()
        };
        let in_use = self.paths(service).iter().find(fits).cloned();
        in_use.or_else(|| self.alternate_path(service, of, now))
    }

    /// Returns a path with the same first engine that isn't in use for new requests, because the one in use from that
    /// engine splits the layers differently.
    fn alternate_path(
        &mut self,
        service: &str,
        of: &Rc<LivePath>,
        now: Instant,
    ) -> Option<Rc<LivePath>> {
        let path = self.best.get(service)?.with_first(&of.path)?;
        if path.parts == of.path.parts {
            return None;
        }
        let paths = self.paths.get_mut(service)?;
        let known = paths.iter().find(|live| live.path.parts == path.parts);
        if let Some(live) = known {
            return (!live.is_broken() && live.departure().is_none()).then(|| Rc::clone(live));
        }
        let live = Rc::new(LivePath::new(path, of.slots, now));
        live.is_superseded.set(true);
        paths.push(Rc::clone(&live));
        Some(live)
    }

    /// Excludes paths through an engine from selection until `until`.
    pub(crate) fn avoid_through(&self, service: &str, engine: SocketAddr, until: Instant) {
        let uses = |live: &&Rc<LivePath>| live.path.parts.iter().any(|part| part.addr == engine);
        self.paths(service).iter().filter(uses).for_each(|live| live.avoid(until));
    }

    /// Returns whether a path can take a request now.
    pub(crate) fn has_capacity(
        &self,
        service: &str,
        tokens: f64,
        may_take: impl Fn(&Rc<LivePath>) -> bool,
        now: Instant,
    ) -> bool {
        self.choose(service, tokens, "", may_take, now).is_ok()
    }

    /// Returns the number of data centres with a path of a service that takes new requests.
    pub(crate) fn data_centres(&self, service: &str, now: Instant) -> usize {
        let open = self.paths(service).iter().filter(|live| !live.is_avoided(now));
        open.map(|live| &live.path.data_centre).collect::<BTreeSet<_>>().len()
    }

    /// Returns the number of streams of all gateways on a service's paths.
    pub(crate) fn running_streams(&self, service: &str) -> u32 {
        let heads: BTreeSet<&Incarnation> =
            self.paths(service).iter().map(|live| &live.path.first().incarnation).collect();
        heads.into_iter().map(|head| self.head_streams(service, head)).sum()
    }

    /// Returns the number of streams that the first engine of a service's paths accepts.
    pub(crate) fn slots(&self, service: &str) -> u32 {
        self.paths(service).iter().map(|live| live.slots).max().unwrap_or_default()
    }

    /// Returns whether a path begins at an engine.
    pub(crate) fn is_head(&self, engine: &Incarnation) -> bool {
        self.paths.values().flatten().any(|live| live.path.first().incarnation == *engine)
    }
}
