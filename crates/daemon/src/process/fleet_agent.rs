//! The agent of membership: the thread that drives the state machine over the links, and the view
//! of the members that all others read without a lock.

use crate::process::{Count, Counters, Journal};
use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded};
use sorrellock_core::clock::SystemClock;
use sorrellock_core::id::{Place, Revision};
use sorrellock_core::process::membership::{
    FleetMessage, Listed, MAX_PLACE_BYTES, Membership, MembershipConfig, MembershipView,
};
use sorrellock_core::process::{DaemonRole, DegradedLink, EndpointFact, InstanceFact, Liveness};
use sorrellock_core::request::Peer;
use sorrellock_ports::api::ListError;
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Messages and requests that wait for the agent.
const INPUTS: usize = 8192;
/// Least time between two new words on load alone: an entry's own count is fresher anyway.
const LOAD_INTERVAL: Duration = Duration::from_secs(10);
/// How long the last word of a process that ends has to leave it.
const FAREWELL: Duration = Duration::from_millis(50);

/// What the agent is asked to do.
enum Input {
    Message(Peer, FleetMessage),
    Closed(SocketAddr),
    Listed(Vec<Listed>),
    Applied(Revision),
    Degraded(Vec<DegradedLink>),
    ToPlace(usize, Message),
    ToRelays(Message),
    Leave,
    End(Sender<()>),
}

/// Called with each new view.
type Listener = Box<dyn Fn(&Arc<MembershipView>) + Send>;

/// The handle of the agent, shared by all of a daemon.
pub struct FleetAgent {
    me: Peer,
    view: ArcSwap<MembershipView>,
    inputs: Sender<Input>,
    listeners: Mutex<Vec<Listener>>,
    counters: Arc<Counters>,
    journal: Arc<Journal>,
}

/// What the agent's thread takes over; see [`FleetAgent::serve`].
pub struct FleetInputs {
    inputs: Receiver<Input>,
    membership: Membership<SystemClock>,
}

impl FleetAgent {
    /// An agent that knows but its own process; nothing happens before [`FleetAgent::serve`].
    pub fn new(
        me: Peer,
        place: Place,
        role: DaemonRole,
        counters: Arc<Counters>,
        journal: Arc<Journal>,
    ) -> (Arc<FleetAgent>, FleetInputs) {
        let fact = first_fact(me, place, role);
        let membership =
            Membership::new(MembershipConfig::new(), SystemClock, fact, rand::random());
        let (tx, rx) = bounded(INPUTS);
        let agent = FleetAgent {
            me,
            view: ArcSwap::from_pointee(membership.view()),
            inputs: tx,
            listeners: Mutex::default(),
            counters,
            journal,
        };
        (Arc::new(agent), FleetInputs { inputs: rx, membership })
    }

    /// Starts the agent's thread. `endpoints` tells those of the own process, once a tick.
    pub fn serve<L: Link>(
        self: &Arc<Self>,
        inputs: FleetInputs,
        link: Arc<L>,
        endpoints: impl Fn() -> Vec<EndpointFact> + Send + 'static,
    ) {
        let driver = Driver {
            agent: self.clone(),
            membership: inputs.membership,
            link,
            endpoints,
            version: 0,
            load_told: Instant::now(),
        };
        thread::Builder::new()
            .name("fleet-agent".into())
            .spawn(move || driver.run(&inputs.inputs))
            .expect("a thread can be started");
    }

    /// The members as they are known now. Never blocks.
    pub fn view(&self) -> Arc<MembershipView> {
        self.view.load_full()
    }

    /// This process among its peers.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// Calls `listener` with each new view, from the agent's thread; it must not block.
    pub fn on_change(&self, listener: impl Fn(&Arc<MembershipView>) + Send + 'static) {
        listener(&self.view());
        self.listeners.lock().unwrap().push(Box::new(listener));
    }

    /// Tells the others that all configuration up to `revision` is in force here.
    pub fn set_applied(&self, revision: Revision) {
        self.put(Input::Applied(revision));
    }

    /// Tells the others which links of this process are slower than they should be.
    pub fn set_degraded(&self, degraded: Vec<DegradedLink>) {
        self.put(Input::Degraded(degraded));
    }

    /// Sends a small message to `count` random live members of the own place.
    pub fn send_to_place(&self, count: usize, message: Message) {
        self.put(Input::ToPlace(count, message));
    }

    /// Sends a small message to one relay of each other place.
    pub fn send_to_relays(&self, message: Message) {
        self.put(Input::ToRelays(message));
    }

    /// Takes a message of another member.
    pub fn on_message(&self, from: Peer, message: FleetMessage) {
        self.put(Input::Message(from, message));
    }

    /// A link closed, or could not be opened.
    pub fn on_closed(&self, peer: SocketAddr) {
        self.put(Input::Closed(peer));
    }

    /// The platform's list was read.
    pub fn on_list(&self, listed: Vec<Listed>) {
        self.put(Input::Listed(listed));
    }

    /// The platform's list wasn't read; `is_first` in a row. The journal tells of that one only.
    pub fn on_list_failed(&self, err: &ListError, is_first: bool) {
        self.counters.count(Count::ListFailures);
        if is_first {
            self.journal.note("list of instances not read", None, "list", err.to_string());
        }
    }

    /// Tells the others at once that this process takes no new work.
    pub fn leave(&self) {
        self.put(Input::Leave);
    }

    /// Tells the others that this process ends, and gives that a moment to get out.
    pub fn end(&self) {
        let (tx, rx) = bounded(1);
        self.put(Input::End(tx));
        if rx.recv_timeout(FAREWELL).is_ok() {
            thread::sleep(FAREWELL);
        }
    }

    fn put(&self, input: Input) {
        if self.inputs.try_send(input).is_err() {
            self.counters.count(Count::FleetInputsDropped);
        }
    }

    fn publish(&self, view: MembershipView) {
        let view = Arc::new(view);
        self.view.store(view.clone());
        self.listeners.lock().unwrap().iter().for_each(|listener| listener(&view));
    }
}

/// The agent's thread.
struct Driver<L, F> {
    agent: Arc<FleetAgent>,
    membership: Membership<SystemClock>,
    link: Arc<L>,
    endpoints: F,
    version: u64,
    load_told: Instant,
}

impl<L: Link, F: Fn() -> Vec<EndpointFact>> Driver<L, F> {
    fn run(mut self, inputs: &Receiver<Input>) {
        let mut next = Instant::now();
        loop {
            match inputs.recv_deadline(next) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {
                    self.tell_endpoints();
                    self.membership.tick();
                    next = Instant::now() + MembershipConfig::INTERVAL;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.flush();
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Message(from, message) => {
                self.agent.counters.count(Count::FleetMessages);
                self.membership.on_message(from, message);
            }
            Input::Closed(addr) => self.membership.on_closed(addr),
            Input::Listed(listed) => self.membership.on_list(&listed),
            Input::Applied(revision) => {
                if self.membership.fact().applied < revision {
                    self.membership.change_self(|fact| fact.applied = revision);
                }
            }
            Input::Degraded(degraded) => {
                self.membership.change_self(|fact| fact.degraded = degraded);
            }
            Input::ToPlace(count, message) => {
                let peers = self.membership.view().some_in_place(&mut rand::rng(), count);
                self.send_to_all(&peers, &message);
            }
            Input::ToRelays(message) => {
                let peers = self.membership.view().relays_elsewhere(&mut rand::rng());
                self.send_to_all(&peers, &message);
            }
            Input::Leave => self.membership.leave(),
            Input::End(done) => {
                self.membership.end();
                self.flush();
                let _ = done.send(());
            }
        }
    }

    fn send_to_all(&self, peers: &[Peer], message: &Message) {
        for peer in peers {
            self.send(*peer, message.clone());
        }
    }

    fn send(&self, to: Peer, message: Message) {
        if self.link.send(to, message).is_err() {
            self.agent.counters.count(Count::SendsRefused);
        }
    }

    /// Tells a change of what the endpoints are at once, and of their load now and then.
    fn tell_endpoints(&mut self) {
        let endpoints = (self.endpoints)();
        let known = &self.membership.fact().endpoints;
        let mut pairs = known.iter().zip(&endpoints);
        let same_roles =
            known.len() == endpoints.len() && pairs.all(|(a, b)| a.is_same_but_for_load(b));
        let same_load = known.iter().zip(&endpoints).all(|(a, b)| band(a.load) == band(b.load));
        let load_due = self.load_told.elapsed() >= LOAD_INTERVAL;
        if same_roles && (same_load || !load_due) {
            return;
        }
        self.load_told = Instant::now();
        self.membership.change_self(|fact| fact.endpoints = endpoints);
    }

    /// Sends what is to be sent, notes what is to be noted, and shows what is new.
    fn flush(&mut self) {
        let output = self.membership.take_output();
        for (to, message) in output.sends {
            self.send(to, Message::Fleet(message));
        }
        for event in output.events {
            self.agent.counters.count(Count::FleetChanges);
            self.agent.journal.note(event.change.name(), event.peer, event.step, event.cause);
        }
        if self.version != self.membership.version() {
            self.version = self.membership.version();
            self.agent.publish(self.membership.view());
        }
    }
}

/// Loads of one band count as the same.
fn band(load: u32) -> u32 {
    u32::BITS - load.leading_zeros()
}

fn first_fact(me: Peer, place: Place, role: DaemonRole) -> InstanceFact {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    InstanceFact {
        peer: me,
        place,
        role,
        generation: since_epoch.as_millis() as u64,
        counter: 1,
        profile: 1,
        liveness: Liveness::Live,
        applied: 0,
        endpoints: Vec::new(),
        degraded: Vec::new(),
    }
}

/// Why a place's name can't be used, if so.
pub fn check_place(place: &str) -> Result<(), eyre::Report> {
    let longest = MAX_PLACE_BYTES;
    eyre::ensure!(!place.is_empty(), "place is empty; name the place of this instance");
    eyre::ensure!(
        place.len() <= longest,
        "place `{place}` is longer than {longest} bytes; take a shorter name"
    );
    Ok(())
}

/// How many of the live members of each place there are, for dumps.
pub fn live_by_place(view: &MembershipView) -> BTreeMap<Place, usize> {
    let mut found = BTreeMap::new();
    for fact in view.live() {
        *found.entry(fact.place.clone()).or_default() += 1;
    }
    found
}
