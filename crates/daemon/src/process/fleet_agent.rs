//! The membership agent: the thread that drives the membership state machine over the links, and
//! the view of the members that other threads read without a lock.

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

/// Maximum number of messages and requests queued for the agent.
const INPUT_CAPACITY: usize = 8192;
/// Minimum time between two updates that change only the load: an entry's own count is more recent anyway.
const MIN_LOAD_INTERVAL: Duration = Duration::from_secs(10);
/// How long a process that ends waits for its last message to be queued, and again for it to be sent.
const END_SEND_WAIT: Duration = Duration::from_millis(50);

/// A message or request for the agent's thread.
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

/// A callback that receives each new view.
type Listener = Box<dyn Fn(&Arc<MembershipView>) + Send>;

/// The handle of the agent, shared by all parts of a daemon.
pub struct FleetAgent {
    me: Peer,
    view: ArcSwap<MembershipView>,
    inputs: Sender<Input>,
    listeners: Mutex<Vec<Listener>>,
    counters: Arc<Counters>,
    journal: Arc<Journal>,
}

/// The inputs and state that the agent's thread takes over; see [`FleetAgent::serve`].
pub struct FleetInputs {
    inputs: Receiver<Input>,
    membership: Membership<SystemClock>,
}

impl FleetAgent {
    /// Creates an agent that knows only its own process; it does nothing before [`FleetAgent::serve`].
    pub fn new(
        me: Peer,
        place: Place,
        role: DaemonRole,
        counters: Arc<Counters>,
        journal: Arc<Journal>,
    ) -> (Arc<FleetAgent>, FleetInputs) {
        let fact = initial_fact(me, place, role);
        let membership =
            Membership::new(MembershipConfig::new(), SystemClock, fact, rand::random());
        let (tx, rx) = bounded(INPUT_CAPACITY);
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

    /// Starts the agent's thread. It calls `endpoints` once a tick for the endpoints of its own process.
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
            load_sent_at: Instant::now(),
        };
        thread::Builder::new()
            .name("fleet-agent".into())
            .spawn(move || driver.run(&inputs.inputs))
            .expect("a thread can be started");
    }

    /// Returns the current view of the members. Never blocks.
    pub fn view(&self) -> Arc<MembershipView> {
        self.view.load_full()
    }

    /// Returns the identity of this process among its peers.
    pub fn me(&self) -> Peer {
        self.me
    }

    /// Calls `listener` with the current view, then with each new one from the agent's thread; it must not block.
    pub fn on_change(&self, listener: impl Fn(&Arc<MembershipView>) + Send + 'static) {
        listener(&self.view());
        self.listeners.lock().unwrap().push(Box::new(listener));
    }

    /// Announces to the other members that all configuration up to `revision` is in force here.
    pub fn set_applied(&self, revision: Revision) {
        self.enqueue(Input::Applied(revision));
    }

    /// Announces to the other members which links of this process are slower than they should be.
    pub fn set_degraded(&self, degraded: Vec<DegradedLink>) {
        self.enqueue(Input::Degraded(degraded));
    }

    /// Sends a small message to `count` random live members of this process's place.
    pub fn send_to_place(&self, count: usize, message: Message) {
        self.enqueue(Input::ToPlace(count, message));
    }

    /// Sends a small message to one relay of each other place.
    pub fn send_to_relays(&self, message: Message) {
        self.enqueue(Input::ToRelays(message));
    }

    /// Queues a message from another member.
    pub fn on_message(&self, from: Peer, message: FleetMessage) {
        self.enqueue(Input::Message(from, message));
    }

    /// Reports that a link was closed, or could not be opened.
    pub fn on_closed(&self, peer: SocketAddr) {
        self.enqueue(Input::Closed(peer));
    }

    /// Reports the platform's list of instances.
    pub fn on_list(&self, listed: Vec<Listed>) {
        self.enqueue(Input::Listed(listed));
    }

    /// Reports that the platform's list could not be read. Of consecutive failures, only the first
    /// (`is_first`) is written to the journal.
    pub fn on_list_failed(&self, err: &ListError, is_first: bool) {
        self.counters.count(Count::ListFailures);
        if is_first {
            self.journal.note("list of instances not read", None, "list", err.to_string());
        }
    }

    /// Announces to the other members at once that this process takes no new work.
    pub fn leave(&self) {
        self.enqueue(Input::Leave);
    }

    /// Announces to the other members that this process ends, and waits a moment for the message to be sent.
    pub fn end(&self) {
        let (tx, rx) = bounded(1);
        self.enqueue(Input::End(tx));
        if rx.recv_timeout(END_SEND_WAIT).is_ok() {
            thread::sleep(END_SEND_WAIT);
        }
    }

    fn enqueue(&self, input: Input) {
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

/// The state of the agent's thread.
struct Driver<L, F> {
    agent: Arc<FleetAgent>,
    membership: Membership<SystemClock>,
    link: Arc<L>,
    endpoints: F,
    version: u64,
    load_sent_at: Instant,
}

impl<L: Link, F: Fn() -> Vec<EndpointFact>> Driver<L, F> {
    fn run(mut self, inputs: &Receiver<Input>) {
        let mut next = Instant::now();
        loop {
            match inputs.recv_deadline(next) {
                Ok(input) => self.on_input(input),
                Err(RecvTimeoutError::Timeout) => {
                    self.announce_endpoints();
                    self.membership.tick();
                    next = Instant::now() + MembershipConfig::INTERVAL;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.flush();
        }
    }

    fn on_input(&mut self, input: Input) {
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

    /// Announces a change of the endpoints or their roles at once, and of their load alone at most
    /// every `MIN_LOAD_INTERVAL`.
    fn announce_endpoints(&mut self) {
        let endpoints = (self.endpoints)();
        let known = &self.membership.fact().endpoints;
        let mut pairs = known.iter().zip(&endpoints);
        let same_roles =
            known.len() == endpoints.len() && pairs.all(|(a, b)| a.is_same_but_for_load(b));
        let same_load =
            known.iter().zip(&endpoints).all(|(a, b)| load_band(a.load) == load_band(b.load));
        let load_due = self.load_sent_at.elapsed() >= MIN_LOAD_INTERVAL;
        if same_roles && (same_load || !load_due) {
            return;
        }
        self.load_sent_at = Instant::now();
        self.membership.change_self(|fact| fact.endpoints = endpoints);
    }

    /// Sends the pending messages, writes the pending events to the journal, and publishes a changed view.
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

/// Returns the power-of-two band of a load. A change within a band is not announced.
fn load_band(load: u32) -> u32 {
    u32::BITS - load.leading_zeros()
}

fn initial_fact(me: Peer, place: Place, role: DaemonRole) -> InstanceFact {
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

/// Returns an error if the name of a place is empty or too long.
pub fn check_place(place: &str) -> Result<(), eyre::Report> {
    let max_bytes = MAX_PLACE_BYTES;
    eyre::ensure!(!place.is_empty(), "place is empty; name the place of this instance");
    eyre::ensure!(
        place.len() <= max_bytes,
        "place `{place}` is longer than {max_bytes} bytes; take a shorter name"
    );
    Ok(())
}

/// Returns the number of live members of each place, for dumps.
pub fn live_by_place(view: &MembershipView) -> BTreeMap<Place, usize> {
    let mut found = BTreeMap::new();
    for fact in view.live() {
        *found.entry(fact.place.clone()).or_default() += 1;
    }
    found
}
