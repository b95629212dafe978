//! The paths in use, what this gateway's streams take on them, and the choice among them.

use crate::process::{EngineFate, LivePath};
use rand::RngExt;
use sorrellock_routing::process::{
    DataCentre, EndpointId, Holder, PipelinePath, cheapest_path, paths_by_head,
};
use sorrellock_routing::version::{ModelShape, ServiceName};
use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Share of a path's room that is given out: the estimates of answers' lengths are often off, and
/// a full engine preempts streams.
const FILL: f64 = 0.92;
/// What being in the gateway's own data centre is worth, as a share of room.
const OWN_DATA_CENTRE_BONUS: f64 = 0.03;
/// Random part of the choice, as a share of room: gateways that don't see each other's newest
/// streams shouldn't all choose the same path.
const CHOICE_NOISE: f64 = 0.04;

/// What streams take in one data centre.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Tokens reserved.
    pub(crate) tokens: f64,
    /// Streams.
    pub(crate) streams: u32,
}

/// A stream's place on a path. Dropping it frees the place.
pub(crate) struct PathPlace {
    pub(crate) live: Rc<LivePath>,
    tokens: f64,
    book: Rc<RefCell<PathBook>>,
}

impl PathPlace {
    /// Moves the place to another path in the same data centre.
    pub(crate) fn move_to(&mut self, live: Rc<LivePath>, now: Instant) {
        self.live.streams.set(self.live.streams.get() - 1);
        if live.streams.get() == 0 {
            live.last_event.set(now);
        }
        live.streams.set(live.streams.get() + 1);
        self.live = live;
    }
}

impl Drop for PathPlace {
    fn drop(&mut self) {
        self.live.streams.set(self.live.streams.get() - 1);
        let mut book = self.book.borrow_mut();
        if let Some(load) = book.own.get_mut(&self.live.path.data_centre) {
            load.tokens -= self.tokens;
            load.streams -= 1;
        }
        let head = &self.live.path.first().id;
        if let Some(streams) = book.own_heads.get_mut(head) {
            *streams -= 1;
            if *streams == 0 {
                book.own_heads.remove(head);
            }
        }
        book.freed.notify_waiters();
    }
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
    own: HashMap<DataCentre, Load>,
    peers: HashMap<DataCentre, Load>,
    /// Streams by the first engine of their path.
    own_heads: HashMap<EndpointId, u32>,
    peer_heads: HashMap<EndpointId, u32>,
    freed: Rc<Notify>,
}

impl PathBook {
    /// Takes what streams of other gateways take.
    pub(crate) fn set_peer_loads(
        &mut self,
        peers: HashMap<DataCentre, Load>,
        heads: HashMap<EndpointId, u32>,
    ) {
        self.peers = peers;
        self.peer_heads = heads;
    }

    /// This gateway's streams, by the first engine of their path.
    pub(crate) fn own_heads(&self) -> impl Iterator<Item = (&EndpointId, &u32)> {
        self.own_heads.iter()
    }

    /// Streams of all gateways that begin at an engine.
    fn head_streams(&self, id: &str) -> u32 {
        let count = |heads: &HashMap<EndpointId, u32>| heads.get(id).copied().unwrap_or_default();
        count(&self.own_heads) + count(&self.peer_heads)
    }

    /// Paths that are silent as a whole.
    pub(crate) fn silent(&self, now: Instant) -> impl Iterator<Item = &Rc<LivePath>> {
        let all = self.paths.values().flatten();
        all.filter(move |live| !live.is_broken.get() && live.is_silent(now))
    }

    /// What this gateway's streams take.
    pub(crate) fn own_loads(&self) -> impl Iterator<Item = (&DataCentre, &Load)> {
        self.own.iter()
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
        fate: impl Fn(&EndpointId) -> EngineFate,
        now: Instant,
    ) -> bool {
        let old = self.paths.remove(service).unwrap_or_default();
        for live in &old {
            let has = |wanted| live.path.parts.iter().any(|part| fate(&part.id) == wanted);
            if !live.is_broken.get() && has(EngineFate::Dead) {
                live.break_up();
            }
            live.is_retiring.set(has(EngineFate::Leaves));
        }
        let mut is_changed = false;
        let mut fresh = Vec::new();
        for path in best_paths(holders, shape.layers) {
            let same =
                |live: &&Rc<LivePath>| !live.is_broken.get() && live.path.parts == path.parts;
            match old.iter().find(same) {
                Some(live) => {
                    is_changed |= live.is_superseded.replace(false);
                    fresh.push(Rc::clone(live));
                }
                None => {
                    is_changed = true;
                    fresh.push(Rc::new(LivePath::new(path, shape.slots.max(1), now)));
                }
            }
        }
        is_changed |= fresh.len() != old.len();
        // Streams on an old path still run; only one that lost an engine breaks.
        let keep_watch = old.into_iter().filter(|live| {
            live.streams.get() > 0
                && !live.is_broken.get()
                && !fresh.iter().any(|other| Rc::ptr_eq(other, live))
        });
        for live in keep_watch.collect::<Vec<_>>() {
            live.is_superseded.set(true);
            fresh.push(live);
        }
        self.paths.insert(service.to_owned(), fresh);
        if is_changed {
            self.freed.notify_waiters();
        }
        is_changed
    }

    /// A path in use that begins at the same engine as another, but is not that one.
    pub(crate) fn successor(
        &self,
        service: &str,
        of: &Rc<LivePath>,
        now: Instant,
    ) -> Option<Rc<LivePath>> {
        let fits = |live: &&Rc<LivePath>| {
            !Rc::ptr_eq(live, of)
                && !live.is_broken.get()
                && !live.is_retiring.get()
                && !live.is_avoided(now)
                && live.path.first().id == of.path.first().id
        };
        self.paths(service).iter().find(fits).cloned()
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
    fn choose(
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
        for live in self.paths(service).iter().filter(is_open) {
            let taken = self.taken(&live.path.data_centre).tokens + tokens;
            let begun = self.head_streams(&live.path.first().id) + 1;
            let of_slots = f64::from(begun) / f64::from(live.slots);
            let share = (taken / live.path.token_room.max(1.0)).max(of_slots);
            if share > FILL {
                is_full = true;
                continue;
            }
            let own =
                if live.path.data_centre == own_data_centre { OWN_DATA_CENTRE_BONUS } else { 0.0 };
            let score = share - own + rand::rng().random_range(0.0..CHOICE_NOISE);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, live));
            }
        }
        let none = if is_full { NoPlace::Full } else { NoPlace::NoPath };
        best.map(|(_, live)| Rc::clone(live)).ok_or(none)
    }

    /// What was weighed: each path's state, its room and what is taken of it, for log lines.
    pub(crate) fn describe(&self, service: &str, now: Instant) -> String {
        let describe = |live: &Rc<LivePath>| {
            let state = if live.is_broken.get() {
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
            let taken = self.taken(&live.path.data_centre);
            format!(
                "{} {state} {:.0}/{:.0} tokens, {}/{} streams",
                live.path.data_centre,
                taken.tokens,
                live.path.token_room,
                self.head_streams(&live.path.first().id),
                live.slots
            )
        };
        self.paths(service).iter().map(describe).collect::<Vec<_>>().join("; ")
    }

    fn taken(&self, data_centre: &str) -> Load {
        let own = self.own.get(data_centre).copied().unwrap_or_default();
        let peers = self.peers.get(data_centre).copied().unwrap_or_default();
        Load { tokens: own.tokens + peers.tokens, streams: own.streams + peers.streams }
    }
}

/// Takes a place on the path with the most room.
pub(crate) fn take_place(
    book: &Rc<RefCell<PathBook>>,
    service: &str,
    tokens: f64,
    own_data_centre: &str,
    may_take: impl Fn(&Rc<LivePath>) -> bool,
    now: Instant,
) -> Result<PathPlace, NoPlace> {
    let live = book.borrow().choose(service, tokens, own_data_centre, may_take, now)?;
    if live.streams.get() == 0 {
        live.last_event.set(now);
    }
    live.streams.set(live.streams.get() + 1);
    let mut open = book.borrow_mut();
    let load = open.own.entry(live.path.data_centre.clone()).or_default();
    load.tokens += tokens;
    load.streams += 1;
    *open.own_heads.entry(live.path.first().id.clone()).or_default() += 1;
    drop(open);
    Ok(PathPlace { live, tokens, book: Rc::clone(book) })
}

/// The paths inside each data centre, one for each first engine; else one over several, if any.
fn best_paths(holders: &[Holder], layers: u32) -> Vec<PipelinePath> {
    let data_centres: BTreeSet<&DataCentre> =
        holders.iter().map(|holder| &holder.data_centre).collect();
    let mut paths = Vec::new();
    for data_centre in data_centres {
        let local = holders.iter().filter(|holder| holder.data_centre == *data_centre);
        let local: Vec<Holder> = local.cloned().collect();
        paths.extend(paths_by_head(&local, layers));
    }
    if paths.is_empty() {
        paths.extend(cheapest_path(holders, layers));
    }
    paths
}
