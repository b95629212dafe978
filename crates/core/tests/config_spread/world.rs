//! A simulation of several daemons, their network and the store, on one manual clock.

use crate::store::ModelStore;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::id::{Place, Revision};
use sorrellock_core::request::Peer;
use sorrellock_core::version::{
    ConfigEvent, ConfigMessage, ConfigPeers, Effect, PageId, Spread, SpreadSettings, StoreCall,
};
use sorrellock_ports::api::ObjectStore;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Simulated time of one step.
pub const STEP: Duration = Duration::from_millis(20);
/// Interval at which the daemons get the live members, in steps.
const MEMBERSHIP_STEPS: u64 = 25;
/// Delay of a message, in steps, is below this.
const MAX_DELAY: u64 = 4;
/// Port of the first daemon; the others use the following ports.
const FIRST_PORT: u16 = 1000;

pub struct Daemon {
    pub place: Place,
    /// `None` while it is down.
    pub spread: Option<Spread<ManualClock>>,
    pub peer: Peer,
    /// Number of steps for which it stays paused.
    pub paused: u64,
    call: Option<Call>,
    ask_at: Instant,
    peers: Peers,
    /// The revision of each page in force after this incarnation's last step.
    seen: BTreeMap<PageId, Revision>,
    seen_applied: Revision,
}

#[derive(Clone, Default)]
struct Peers {
    place: Place,
    near: Vec<Peer>,
    far: Vec<Peer>,
}

impl ConfigPeers for Peers {
    fn of_place(&self) -> Vec<Peer> {
        self.near.clone()
    }

    fn of_other_places(&self) -> Vec<Peer> {
        self.far.clone()
    }

    fn place(&self) -> &Place {
        &self.place
    }
}

/// A call to the store in progress.
#[derive(Clone, Copy)]
struct Call {
    call: StoreCall,
    /// When the store receives it.
    at: Instant,
    /// How long its caller waits for an answer, beyond a watch's own wait.
    limit: Duration,
    /// Whether the store has received it.
    is_received: bool,
    /// Whether it is never answered, because it arrived, or was due to be answered, while the store was silent.
    is_lost: bool,
}

impl Call {
    /// Applies the silence of the store at `now` to the call.
    fn apply_silence(&mut self, now: Instant) {
        self.is_lost |= !self.is_received || now >= self.at + max_hold(self.call);
    }

    /// Whether its caller abandons it because of its time limit.
    fn is_abandoned(&self, now: Instant) -> bool {
        self.is_lost && now >= self.at + max_hold(self.call) + self.limit
    }
}

struct Flight {
    at: u64,
    from: usize,
    to: Peer,
    message: ConfigMessage,
}

pub struct World {
    pub clock: ManualClock,
    pub store: ModelStore,
    pub daemons: Vec<Daemon>,
    pub settings: SpreadSettings,
    /// One message out of this many is lost, and one is duplicated; 0 for none.
    pub loss: u32,
    /// Whether the store doesn't answer any call.
    pub silent: bool,
    /// Whether data centres can't reach each other.
    pub is_partitioned: bool,
    pub events: Vec<(usize, ConfigEvent)>,
    pub store_calls: u64,
    pub messages: u64,
    rng: SmallRng,
    steps: u64,
    incarnations: u64,
    flights: Vec<Flight>,
}

impl World {
    /// Creates and starts `count` daemons, assigned to `places` in turn.
    pub fn new(places: &[&str], count: usize, seed: u64) -> World {
        let world = World {
            clock: ManualClock::new(),
            store: ModelStore::default(),
            daemons: Vec::new(),
            settings: SpreadSettings::new(),
            loss: 0,
            silent: false,
            is_partitioned: false,
            events: Vec::new(),
            store_calls: 0,
            messages: 0,
            rng: SmallRng::seed_from_u64(seed),
            steps: 0,
            incarnations: 0,
            flights: Vec::new(),
        };
        world.with_daemons(places, count)
    }

    /// Adds and starts `count` daemons, assigned to `places` in turn.
    pub fn with_daemons(mut self, places: &[&str], count: usize) -> World {
        for number in 0..count {
            let addr: SocketAddr =
                format!("127.0.0.1:{}", usize::from(FIRST_PORT) + number).parse().unwrap();
            self.daemons.push(Daemon {
                place: places[number % places.len()].to_owned(),
                spread: None,
                peer: Peer { addr, incarnation: 0 },
                paused: 0,
                call: None,
                ask_at: self.clock.now(),
                peers: Peers::default(),
                seen: BTreeMap::new(),
                seen_applied: 0,
            });
            self.start(number);
        }
        self.learn_members();
        self
    }

    /// Restarts a daemon with empty state; it knows no peers until the members are next updated.
    pub fn start(&mut self, number: usize) {
        self.incarnations += 1;
        let incarnation = self.incarnations * 7919;
        let clock = self.clock.clone();
        let daemon = &mut self.daemons[number];
        daemon.peer.incarnation = incarnation;
        daemon.spread = Some(Spread::new(self.settings.clone(), clock, daemon.peer, incarnation));
        daemon.call = None;
        daemon.ask_at = self.clock.now();
        daemon.peers = Peers { place: daemon.place.clone(), ..Peers::default() };
        daemon.seen.clear();
        daemon.seen_applied = 0;
        daemon.paused = 0;
    }

    pub fn kill(&mut self, number: usize) {
        self.daemons[number].spread = None;
    }

    pub fn spread(&self, number: usize) -> &Spread<ManualClock> {
        self.daemons[number].spread.as_ref().expect("the daemon is up")
    }

    pub fn up(&self) -> impl Iterator<Item = (usize, &Spread<ManualClock>)> {
        let daemons = self.daemons.iter().enumerate();
        daemons.filter_map(|(number, daemon)| Some((number, daemon.spread.as_ref()?)))
    }

    /// Runs the world for `lasts` while the store is silent.
    pub fn silence(&mut self, lasts: Duration) {
        self.silent = true;
        self.until(lasts, |_| false);
        self.silent = false;
    }

    /// Loses all calls to the store in progress: they are never answered.
    pub fn lose_calls(&mut self) {
        let calls = self.daemons.iter_mut().filter_map(|daemon| daemon.call.as_mut());
        calls.for_each(|call| call.is_lost = true);
    }

    pub fn steps(&mut self, count: u64) {
        (0..count).for_each(|_| self.step());
    }

    /// Steps until `done` and returns the time that it took; `None` if it takes longer than `max_wait`.
    pub fn until(&mut self, max_wait: Duration, done: impl Fn(&World) -> bool) -> Option<Duration> {
        let begin = self.clock.now();
        while !done(self) {
            if self.clock.now() - begin > max_wait {
                return None;
            }
            self.step();
        }
        Some(self.clock.now() - begin)
    }

    fn step(&mut self) {
        self.clock.advance(STEP);
        self.steps += 1;
        if self.steps.is_multiple_of(MEMBERSHIP_STEPS) {
            self.learn_members();
        }
        self.deliver();
        for number in 0..self.daemons.len() {
            if self.daemons[number].paused > 0 {
                self.daemons[number].paused -= 1;
                continue;
            }
            self.run(number);
            self.check_monotonic(number);
        }
    }

    fn run(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        let Some(spread) = &mut daemon.spread else { return };
        spread.update_peers(&daemon.peers);
        spread.tick();
        self.call_store(number);
        let Some(spread) = &mut self.daemons[number].spread else { return };
        for effect in spread.take_effects() {
            match effect {
                Effect::Report(event) => self.events.push((number, event)),
                Effect::Send { to, message } => self.send(number, to, message),
            }
        }
    }

    fn call_store(&mut self, number: usize) {
        let now = self.clock.now();
        let delay = STEP * self.rng.random_range(0..3);
        let daemon = &mut self.daemons[number];
        let Some(spread) = &mut daemon.spread else { return };
        let Some(pending) = &mut daemon.call else {
            if now < daemon.ask_at {
                return;
            }
            let limit = spread.store_call_limit();
            match spread.next_store_call() {
                Ok(call) => {
                    self.store_calls += 1;
                    let at = now + delay;
                    daemon.call =
                        Some(Call { call, at, limit, is_received: false, is_lost: false });
                }
                Err(at) => daemon.ask_at = at,
            }
            return;
        };
        if now < pending.at {
            return;
        }
        if self.silent {
            pending.apply_silence(now);
        }
        if pending.is_abandoned(now) {
            daemon.call = None;
            return spread.on_store_failure(None);
        }
        if self.silent || pending.is_lost {
            return;
        }
        pending.is_received = true;
        let Call { call, at, .. } = *pending;
        let done = match call {
            StoreCall::List => {
                match self.store.list_pages() {
                    Ok(listing) => spread.on_list(listing),
                    Err(()) => spread.on_store_failure(None),
                }
                true
            }
            StoreCall::Get(page) => {
                match self.store.get(&page.key()) {
                    Ok(object) => {
                        spread.on_object(page, object.map(|found| (found.version, found.value)));
                    }
                    Err(_) => spread.on_store_failure(None),
                }
                true
            }
            StoreCall::Watch { after, wait } => {
                match self.store.watch_pages(after, now >= at + wait) {
                    None => false,
                    Some(Ok(listing)) => {
                        spread.on_watch(after, listing);
                        true
                    }
                    Some(Err(())) => {
                        spread.on_store_failure(None);
                        true
                    }
                }
            }
        };
        if done {
            daemon.call = None;
        }
    }

    fn send(&mut self, from: usize, to: Peer, message: ConfigMessage) {
        self.messages += 1;
        let lossy = self.loss > 0;
        if lossy && self.rng.random_range(0..self.loss) == 0 {
            return;
        }
        let twice = lossy && self.rng.random_range(0..self.loss) == 0;
        for _ in 0..1 + u32::from(twice) {
            // Random delays reorder messages; one in 20 arrives very late.
            let late = lossy && self.rng.random_range(0..20) == 0;
            let delay = self.rng.random_range(0..MAX_DELAY) + if late { 200 } else { 0 };
            let at = self.steps + delay;
            self.flights.push(Flight { at, from, to, message: message.clone() });
        }
    }

    fn deliver(&mut self) {
        let steps = self.steps;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.flights).into_iter().partition(|flight| flight.at <= steps);
        self.flights = rest;
        for flight in due {
            let to = usize::from(flight.to.addr.port() - FIRST_PORT);
            let apart = self.daemons[to].place != self.daemons[flight.from].place;
            let misdirected = self.daemons[to].peer.incarnation != flight.to.incarnation;
            if misdirected || (apart && self.is_partitioned) {
                continue;
            }
            if self.daemons[to].paused > 0 {
                self.flights.push(Flight { at: steps + 1, ..flight });
                continue;
            }
            let from = self.daemons[flight.from].peer;
            if let Some(spread) = &mut self.daemons[to].spread {
                spread.on_message(from, flight.message);
            }
        }
    }

    fn learn_members(&mut self) {
        let alive: Vec<(Place, Peer)> = self
            .daemons
            .iter()
            .filter(|daemon| daemon.spread.is_some())
            .map(|daemon| (daemon.place.clone(), daemon.peer))
            .collect();
        for daemon in &mut self.daemons {
            let others = || alive.iter().filter(|(_, peer)| *peer != daemon.peer);
            let (place, is_partitioned) = (daemon.place.clone(), self.is_partitioned);
            let near = others().filter(|(other, _)| *other == place).map(|(_, peer)| *peer);
            let far = others().filter(|(other, _)| *other != place && !is_partitioned);
            daemon.peers = Peers {
                place: place.clone(),
                near: near.collect(),
                far: far.map(|(_, peer)| *peer).collect(),
            };
        }
    }

    /// Asserts that no revision decreases within an incarnation.
    fn check_monotonic(&mut self, number: usize) {
        let daemon = &mut self.daemons[number];
        let Some(spread) = &daemon.spread else { return };
        assert!(spread.applied() >= daemon.seen_applied, "daemon {number}: applied fell");
        daemon.seen_applied = spread.applied();
        for (page, revision) in &daemon.seen {
            let now = spread.view().revision(*page);
            assert!(now >= *revision, "daemon {number}: {page} fell from {revision} to {now}");
        }
        daemon.seen = spread.view().revisions().collect();
    }
}

/// Returns how long the store holds a call without changes.
fn max_hold(call: StoreCall) -> Duration {
    match call {
        StoreCall::Watch { wait, .. } => wait,
        StoreCall::List | StoreCall::Get(_) => Duration::ZERO,
    }
}
