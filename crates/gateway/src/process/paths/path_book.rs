//! The paths in use, what this gateway's streams take on them, and the choice among them.

use crate::process::{EngineFate, LivePath, ReportedSuspect};
use rand::RngExt;
use sorrellock_routing::process::{BestPaths, Holder, Incarnation, PathPart, RankedPath};
use sorrellock_routing::version::{ModelShape, ServiceName};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Share of a path's room that is given out: the estimates of answers' lengths are often off, and
/// a full engine preempts streams.
const FILL: f64 = 0.92;
/// What being in the gateway's own data centre is worth, as a share of room.
const OWN_DATA_CENTRE_BONUS: f64 = 0.03;
/// What it counts against a path that no other engine holds its layers, as a share of room: the
/// death of an engine breaks all its streams, while others go on over another chain.
const FRAGILE_PENALTY: f64 = 0.15;
/// Random part of the choice, as a share of room: gateways that don't see each other's newest
/// streams shouldn't all choose the same path.
const CHOICE_NOISE: f64 = 0.04;

/// What streams take.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Tokens reserved.
    pub(crate) tokens: f64,
    /// Streams.
    pub(crate) streams: u32,
}

/// Why there is no path for a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// No engines together hold all layers.
    NoPath,
    /// All paths are full.
    Full,
}

/// The paths of all services.
#[derive(Default)]
pub(crate) struct PathBook {
    paths: HashMap<ServiceName, Vec<Rc<LivePath>>>,
    best: HashMap<ServiceName, BestPaths>,
    /// What streams of other gateways take, by the first engine of their path.
    peers: HashMap<Incarnation, Load>,
    /// KV cache that fits into each engine, in tokens times layers.
    rooms: HashMap<Incarnation, f64>,
    freed: Rc<Notify>,
}

impl PathBook {
    /// Takes what streams of other gateways take, by the first engine of their path.
    pub(crate) fn set_peer_loads(&mut self, peers: HashMap<Incarnation, Load>) {
        self.peers = peers;
    }

    /// Paths through an engine that break if another gateway reports that it is dead.
    pub(crate) fn breaking_by_report(
        &self,
        report: &ReportedSuspect,
        now: Instant,
    ) -> Vec<Rc<LivePath>> {
        let all = self.paths.values().flatten();
        let breaking = all.filter(|live| live.breaks_by_report(report.evidence, now));
        breaking.filter(|live| live.path.uses(&report.incarnation)).cloned().collect()
    }

    /// What this gateway's streams take, by the first engine of their path.
    pub(crate) fn own_loads(&self) -> HashMap<Incarnation, Load> {
        let mut loads: HashMap<Incarnation, Load> = HashMap::new();
        for live in self.paths.values().flatten().filter(|live| live.takes_capacity()) {
            let load = loads.entry(live.path.first().incarnation.clone()).or_default();
            load.tokens += live.tokens.get();
            load.streams += live.streams.get();
        }
        loads
    }

    /// Whether any gateway has a stream under way, as far as is known.
    pub(crate) fn is_in_use(&self) -> bool {
        let mut own = self.paths.values().flatten();
        own.any(|live| live.streams.get() > 0) || self.peers.values().any(|load| load.streams > 0)
    }

    /// Streams of all gateways that begin at an engine.
    fn head_streams(&self, service: &str, head: &Incarnation) -> u32 {
        let begins_there =
            |live: &&Rc<LivePath>| live.takes_capacity() && live.path.first().incarnation == *head;
        let own = self.paths(service).iter().filter(begins_there);
        let own: u32 = own.map(|live| live.streams.get()).sum();
        own + self.peers.get(head).map_or(0, |load| load.streams)
    }

    /// KV cache that streams of all gateways take at each engine, in tokens times layers. What
    /// other gateways' streams take counts for the path in use of their first engine.
    fn kv_used(&self, service: &str) -> HashMap<&Incarnation, f64> {
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

    /// Breaks paths with an engine that is judged to be dead, as their streams miss their events.
    pub(crate) fn break_suspected(&self, now: Instant) {
        self.paths.values().flatten().for_each(|live| live.break_if_suspected(now));
    }

    /// Paths that have been quiet as a whole for so long that their engines should be probed.
    pub(crate) fn quiet(&self, now: Instant) -> impl Iterator<Item = &Rc<LivePath>> {
        let all = self.paths.values().flatten();
        all.filter(move |live| !live.is_broken() && live.is_quiet(now, Duration::ZERO))
    }

    /// Wakes when a place is freed or the paths change.
    pub(crate) fn freed(&self) -> Rc<Notify> {
        Rc::clone(&self.freed)
    }

    /// The paths of a service.
    pub(crate) fn paths(&self, service: &str) -> &[Rc<LivePath>] {
        self.paths.get(service).map_or(&[], Vec::as_slice)
    }

    /// Works out the paths of a service anew. Returns whether paths changed.
    pub(crate) fn rebuild(
        &mut self,
        service: &str,
        shape: &ModelShape,
        holders: &[Holder],
        fate: impl Fn(&Incarnation) -> EngineFate,
        leaving_serves_for: Duration,
        now: Instant,
    ) -> bool {
        self.rooms
            .extend(holders.iter().map(|holder| (holder.incarnation.clone(), holder.kv_capacity)));
        let old = self.paths.remove(service).unwrap_or_default();
        for live in &old {
            let has = |wanted| live.path.parts.iter().any(|part| fate(&part.incarnation) == wanted);
            live.set_suspected(has(EngineFate::Dead), now);
            live.set_leaving(has(EngineFate::Leaves), leaving_serves_for, now);
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
        // Streams on an old path still run, also on a broken one, and orders to go on over it are under way: what holds it besides
        // the book is one of them.
        let keep_watch = old.into_iter().filter(|live| {
            Rc::strong_count(live) > 1 && !fresh.iter().any(|other| Rc::ptr_eq(other, live))
        });
        for live in keep_watch.collect::<Vec<_>>() {
            live.is_superseded.set(true);
            fresh.push(live);
        }
        self.paths.insert(service.to_owned(), fresh);
        self.forget_rooms();
        if is_changed {
            self.freed.notify_waiters();
        }
        is_changed
    }

    /// Forgets the paths of services that are not served any more, unless a stream is under way there.
    pub(crate) fn forget_services(&mut self, is_served: impl Fn(&str) -> bool) {
        let is_used = |paths: &[Rc<LivePath>]| paths.iter().any(|live| live.streams.get() > 0);
        self.paths.retain(|service, paths| is_served(service) || is_used(paths));
        self.best.retain(|service, _| self.paths.contains_key(service));
        self.forget_rooms();
    }

    /// Forgets engines that no path goes through.
    fn forget_rooms(&mut self) {
        let parts = self.paths.values().flatten().flat_map(|live| &live.path.parts);
        let incarnations: BTreeSet<&Incarnation> = parts.map(|part| &part.incarnation).collect();
        self.rooms.retain(|incarnation, _| incarnations.contains(incarnation));
    }

    /// A path over which a request of another one can go on: its engines take such an order only where the first one runs
    /// the same layers as before.
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
        in_use.or_else(|| self.detour(service, of, now))
    }

    /// A path that is not in use otherwise: the one in use that begins at the same engine divides the layers anew.
    fn detour(&mut self, service: &str, of: &Rc<LivePath>, now: Instant) -> Option<Rc<LivePath>> {
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

    /// Gives paths through an engine nothing new until `until`.
    pub(crate) fn avoid_through(&self, service: &str, engine: SocketAddr, until: Instant) {
        let uses = |live: &&Rc<LivePath>| live.path.parts.iter().any(|part| part.addr == engine);
        self.paths(service).iter().filter(uses).for_each(|live| live.avoid(until));
    }

    /// Whether a request could take a path now.
    pub(crate) fn has_place(
        &self,
        service: &str,
        tokens: f64,
        may_take: impl Fn(&Rc<LivePath>) -> bool,
        now: Instant,
    ) -> bool {
        self.choose(service, tokens, "", may_take, now).is_ok()
    }

    /// Chooses the path with the most room, by share, among those that the request may take.
    pub(crate) fn choose(
        &self,
        service: &str,
        tokens: f64,
        own_data_centre: &str,
        may_take: impl Fn(&Rc<LivePath>) -> bool,
        now: Instant,
    ) -> Result<Rc<LivePath>, NoPlace> {
        let is_open =
            |live: &&Rc<LivePath>| !live.is_avoided(now) && !live.is_silent(now) && may_take(live);
        let mut best: Option<(f64, &Rc<LivePath>)> = None;
        let mut is_full = false;
        let used = self.kv_used(service);
        for live in self.paths(service).iter().filter(is_open) {
            let begun = self.head_streams(service, &live.path.first().incarnation) + 1;
            let of_slots = f64::from(begun) / f64::from(live.slots);
            let share = self.fill(live, &used, tokens).max(of_slots);
            if share > FILL {
                is_full = true;
                continue;
            }
            let own =
                if live.path.data_centre == own_data_centre { OWN_DATA_CENTRE_BONUS } else { 0.0 };
            let fragile = (1.0 - live.redundancy.get()) * FRAGILE_PENALTY;
            let score = share + fragile - own + rand::rng().random_range(0.0..CHOICE_NOISE);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, live));
            }
        }
        let none = if is_full { NoPlace::Full } else { NoPlace::NoPath };
        best.map(|(_, live)| Rc::clone(live)).ok_or(none)
    }

    /// What was weighed: each path's state, its room and what is taken of it, for log lines.
    pub(crate) fn describe(&self, service: &str, now: Instant) -> String {
        let used = self.kv_used(service);
        let describe = |live: &Rc<LivePath>| {
            let state = if live.is_broken() {
                "broken"
            } else if live.is_superseded.get() {
                "superseded"
            } else if live.is_avoided(now) {
                "avoided"
            } else if live.is_silent(now) {
                "silent"
            } else {
                "open"
            };
            format!(
                "{} {state} {:.0}% of {:.0} tokens, {}/{} streams",
                live.path.data_centre,
                self.fill(live, &used, 0.0) * 100.0,
                live.path.token_capacity,
                self.head_streams(service, &live.path.first().incarnation),
                live.slots
            )
        };
        self.paths(service).iter().map(describe).collect::<Vec<_>>().join("; ")
    }

    /// How full the fullest path in use of a data centre is, as a share of its room.
    pub(crate) fn fullest(&self, service: &str, data_centre: &str) -> f64 {
        let used = self.kv_used(service);
        let here = self.paths(service).iter().filter(|live| live.path.data_centre == data_centre);
        let in_use = here.filter(|live| !live.is_superseded.get());
        in_use.map(|live| self.fill(live, &used, 0.0)).fold(0.0, f64::max)
    }

    /// Share of its memory for KV cache that is taken at the fullest engine of a path, with so many
    /// tokens more.
    fn fill(&self, live: &LivePath, used: &HashMap<&Incarnation, f64>, tokens: f64) -> f64 {
        let fill = |part: &PathPart| {
            let taken = used.get(&part.incarnation).copied().unwrap_or_default();
            let room = self.rooms.get(&part.incarnation).copied().unwrap_or_default();
            (taken + tokens * f64::from(part.layers.len())) / room.max(1.0)
        };
        live.path.parts.iter().map(fill).fold(0.0, f64::max)
    }
}
