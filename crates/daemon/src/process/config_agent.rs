//! The configuration agent: the threads that drive the configuration state machine over the links
//! and the store, and the view in force that other threads read without a lock.

use crate::process::{Count, Counters, FleetAgent, Journal};
use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, Sender, bounded};
use serde::Serialize;
use sorrellock_core::clock::SystemClock;
use sorrellock_core::id::Revision;
use sorrellock_core::request::Peer;
use sorrellock_core::version::{
    CONFIG_PREFIX, ConfigEvent, ConfigMessage, ConfigView, Effect, PageId, PageListing, Source,
    Spread, SpreadSettings, StoreCall, Troubles,
};
use sorrellock_ports::api::{Listing, ObjectStore, StoreError};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::Message;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of messages queued for the agent.
const INPUT_CAPACITY: usize = 1024;
/// Interval at which the state machine is driven if no message arrives.
const TICK: Duration = Duration::from_millis(50);
/// Maximum time between two checks whether a call to the store is due.
const MAX_STORE_WAIT: Duration = Duration::from_millis(50);

/// The configuration of a daemon, shared by all its parts.
pub struct ConfigAgent {
    view: ArcSwap<ConfigView>,
    ready: AtomicBool,
    stopped: AtomicBool,
    announced: AtomicU64,
    spread: Mutex<Spread<SystemClock>>,
    inputs: Sender<(Peer, ConfigMessage)>,
    fleet: Arc<FleetAgent>,
    counters: Arc<Counters>,
    journal: Arc<Journal>,
}

/// The receiver that the agent's thread takes over; see [`ConfigAgent::serve`].
pub struct ConfigInputs(Receiver<(Peer, ConfigMessage)>);

/// The state of the configuration, for a dump.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigStatus {
    /// The revision of the store up to which everything written is in force.
    pub applied: Revision,
    /// Whether everything is in force that the store and the peers had when the daemon started.
    pub ready: bool,
    /// Whether this daemon watches the store for its place.
    pub watching: bool,
    /// Number of claims that are open: announced pages not received yet.
    pub open_claims: usize,
    /// Pages whose version in force differs from the one in the store.
    pub troubles: Troubles,
    /// The revision of each page that is in force.
    pub revisions: BTreeMap<String, Revision>,
}

impl ConfigAgent {
    /// Creates an agent without any configuration; it does nothing before [`ConfigAgent::serve`].
    pub fn new(
        settings: SpreadSettings,
        fleet: Arc<FleetAgent>,
        counters: Arc<Counters>,
        journal: Arc<Journal>,
    ) -> (Arc<ConfigAgent>, ConfigInputs) {
        let (tx, rx) = bounded(INPUT_CAPACITY);
        let spread = Spread::new(settings, SystemClock, fleet.me(), rand::random());
        let agent = ConfigAgent {
            view: ArcSwap::default(),
            ready: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            announced: AtomicU64::new(0),
            spread: Mutex::new(spread),
            inputs: tx,
            fleet,
            counters,
            journal,
        };
        (Arc::new(agent), ConfigInputs(rx))
    }

    /// Starts the thread that handles messages of peers and, with a store, the one that calls it.
    pub fn serve<L: Link, S: ObjectStore>(
        self: &Arc<Self>,
        inputs: ConfigInputs,
        link: Arc<L>,
        store: Option<S>,
    ) {
        let (agent, peers_link) = (self.clone(), link.clone());
        spawn("config-agent", move || agent.run(&inputs.0, &*peers_link));
        if let Some(store) = store {
            let agent = self.clone();
            spawn("config-store", move || agent.run_store(&store, &*link));
        }
    }

    /// Returns the configuration in force. Never blocks.
    pub fn view(&self) -> Arc<ConfigView> {
        self.view.load_full()
    }

    /// Returns whether everything is in force that the store and the peers had when the daemon started.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Queues a message from a peer.
    pub fn on_message(&self, from: Peer, message: ConfigMessage) {
        self.counters.count(Count::ConfigMessages);
        if self.inputs.try_send((from, message)).is_err() {
            self.counters.count(Count::ConfigInputsDropped);
        }
    }

    /// Makes the threads end, as the end of the process would.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }

    /// Returns the state, for a dump.
    pub fn status(&self) -> ConfigStatus {
        let spread = self.spread.lock().unwrap();
        ConfigStatus {
            applied: spread.applied(),
            ready: spread.is_ready(),
            watching: spread.is_watching(),
            open_claims: spread.open_claims(),
            troubles: spread.troubles(),
            revisions: spread.view().revisions().map(|(page, at)| (page.key(), at)).collect(),
        }
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    fn run<L: Link>(&self, inputs: &Receiver<(Peer, ConfigMessage)>, link: &L) {
        let mut next = Instant::now();
        let mut members = self.fleet.view();
        self.drive(link, |spread| spread.update_peers(&*members));
        while !self.is_stopped() {
            match inputs.recv_deadline(next) {
                Ok((from, message)) => {
                    self.drive(link, |spread| spread.on_message(from, message));
                }
                Err(_) => {
                    let now = self.fleet.view();
                    if !Arc::ptr_eq(&now, &members) {
                        members = now;
                        self.drive(link, |spread| spread.update_peers(&*members));
                    }
                    self.drive(link, Spread::tick);
                    next = Instant::now() + TICK;
                }
            }
        }
    }

    fn run_store<S: ObjectStore, L: Link>(&self, store: &S, link: &L) {
        while !self.is_stopped() {
            let (call, limit) = {
                let mut spread = self.spread.lock().unwrap();
                (spread.next_store_call(), spread.store_call_limit())
            };
            let call = match call {
                Ok(call) => call,
                Err(at) => {
                    let wait = at.saturating_duration_since(Instant::now());
                    thread::sleep(wait.clamp(Duration::from_millis(1), MAX_STORE_WAIT));
                    continue;
                }
            };
            self.counters.count(Count::ConfigStoreCalls);
            self.call(&store.with_call_limit(limit), link, call);
        }
    }

    fn call<S: ObjectStore, L: Link>(&self, store: &S, link: &L, call: StoreCall) {
        match call {
            StoreCall::List => match store.list(CONFIG_PREFIX) {
                Ok(listing) => self.drive(link, |spread| spread.on_list(pages_of(&listing))),
                Err(err) => self.on_failure(link, &err),
            },
            StoreCall::Watch { after, wait } => match store.watch(CONFIG_PREFIX, after, wait) {
                Ok(listing) => {
                    self.drive(link, |spread| spread.on_watch(after, pages_of(&listing)));
                }
                Err(StoreError::Invalid { .. }) => {
                    self.counters.count(Count::ConfigStoreFailures);
                    self.drive(link, Spread::on_watch_refused);
                }
                Err(err) => self.on_failure(link, &err),
            },
            StoreCall::Get(page) => match store.get(&page.key()) {
                Ok(object) => {
                    let object = object.map(|object| (object.version, object.value));
                    self.drive(link, |spread| spread.on_object(page, object));
                }
                Err(err) => self.on_failure(link, &err),
            },
        }
    }

    fn on_failure<L: Link>(&self, link: &L, err: &StoreError) {
        self.counters.count(Count::ConfigStoreFailures);
        let retry_after = match err {
            StoreError::RateLimited { retry_after } => Some(*retry_after),
            _ => None,
        };
        self.drive(link, |spread| spread.on_store_failure(retry_after));
    }

    /// Runs one step of the state machine, publishes the configuration that came into force, and carries
    /// out the effects of the step.
    fn drive<L: Link>(&self, link: &L, step: impl FnOnce(&mut Spread<SystemClock>)) {
        let mut spread = self.spread.lock().unwrap();
        let was_ready = spread.is_ready();
        step(&mut spread);
        let effects = spread.take_effects();
        let applied =
            |effect: &Effect| matches!(effect, Effect::Report(ConfigEvent::Applied { .. }));
        if effects.iter().any(applied) {
            // Stored under the lock, so that an older view can't overwrite a newer one.
            self.view.store(Arc::new(spread.view().clone()));
        }
        let (ready, announced) = (spread.is_ready(), spread.announced());
        drop(spread);
        self.ready.store(ready, Ordering::Release);
        if self.announced.fetch_max(announced, Ordering::AcqRel) < announced {
            self.fleet.set_applied(announced);
        }
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(link, to, message),
                Effect::Report(event) => self.on_event(event, was_ready),
            }
        }
    }

    fn send<L: Link>(&self, link: &L, to: Peer, message: ConfigMessage) {
        if let ConfigMessage::Pages { copies } = &message {
            self.counters.add(Count::ConfigPagesGiven, copies.len() as u64);
        }
        if link.send(to, Message::Config(message)).is_err() {
            self.counters.count(Count::SendsRefused);
        }
    }

    fn on_event(&self, event: ConfigEvent, was_ready: bool) {
        match event {
            ConfigEvent::Applied { page, revision, source } => {
                self.counters.count(Count::PagesApplied);
                // During startup, one line on `ConfigEvent::Ready` replaces a line for each page.
                if was_ready {
                    self.note("page applied", source, page, format!("at revision {revision}"));
                }
            }
            ConfigEvent::Refused { page, revision, source, detail } => {
                self.counters.count(Count::PagesRefused);
                let cause = format!("at revision {revision}, the last good one stays: {detail}");
                self.note("page refused", source, page, cause);
            }
            ConfigEvent::Deleted { page } => {
                self.counters.count(Count::PagesDeleted);
                let cause = "deleted from the store, the last one stays in force".to_owned();
                self.note("page deleted", Source::Store, page, cause);
            }
            ConfigEvent::OldCopy { .. } => self.counters.count(Count::ConfigOldCopies),
            ConfigEvent::BadMessage { .. } => self.counters.count(Count::ConfigBadMessages),
            ConfigEvent::Watching(watching) => {
                let what = if watching { "watch begun" } else { "watch ended" };
                self.journal.note(what, None, "configuration", "by the live members of the place");
            }
            ConfigEvent::Ready { applied } => {
                let cause = format!("all up to revision {applied} is in force");
                self.journal.note("configuration ready", None, "configuration", cause);
            }
        }
    }

    fn note(&self, what: &'static str, source: Source, page: PageId, cause: String) {
        let (peer, step) = match source {
            Source::Store => (None, "configuration from the store"),
            Source::Peer(peer) => (Some(peer.addr), "configuration from a peer"),
        };
        self.journal.note(what, peer, step, format!("{page} {cause}"));
    }
}

/// Returns the pages of a listing; other objects under the prefix are skipped.
fn pages_of(listing: &Listing) -> PageListing {
    let page =
        |meta: &sorrellock_ports::api::ObjectMeta| Some((PageId::parse(&meta.key)?, meta.version));
    let pages = listing.objects.iter().filter_map(page).collect();
    PageListing { revision: listing.revision, pages }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    thread::Builder::new().name(name.into()).spawn(run).expect("a thread can be started");
}
