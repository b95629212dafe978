//! Talks with the other gateways: loads, suspicions, what the lead knows, and what the store has
//! told to others first.

use crate::process::{Count, Gateway, Handover, HeadLoad, LeadView, Load, Peer, PeerMessage};
use http::Method;
use serde::{Deserialize, Serialize};
use sorrellock_platform::{Client, Kind, Store, StoreError, StoredObject};
use sorrellock_routing::process::{Incarnation, Known, NewsSources};
use spdlog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

/// How often a gateway tells the others. Loads that are a tenth of a second old differ by one or
/// two streams from the true ones at 15 requests a second.
const TELL_INTERVAL: Duration = Duration::from_millis(100);
/// From so many gateways on each tells more seldom: messages grow with their square, and those
/// between data centres are priced.
const MANY_GATEWAYS: u32 = 12;
/// The longest time between two messages: a silent lead is replaced after a second.
const TELL_INTERVAL_MOST: Duration = Duration::from_millis(250);
/// How often the lead tells all that it knows where nothing changed, for those that missed it.
const VIEW_INTERVAL: Duration = Duration::from_millis(700);
/// How often the list of gateways is read from the store: newcomers tell the others by themselves.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The wait after a failed write or list of gateways.
const REGISTER_RETRY: Duration = Duration::from_millis(1_000);
/// How long another gateway may know more before it is asked: a watch brings it sooner.
const BEHIND_PATIENCE: Duration = Duration::from_millis(300);
/// Time for a handover: a large configuration takes a fifth of a core some 100 ms.
const HANDOVER_LIMIT: Duration = Duration::from_millis(1_500);
/// Where a gateway is asked for its handover, before the configuration that the asker has and the
/// revision up to which it knows the endpoints.
pub(crate) const HANDOVER_PATH: &str = "/handover/";
/// Largest datagram.
const MAX_DATAGRAM: usize = 60_000;

/// A gateway's object in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Registration {
    addr: SocketAddr,
    incarnation: u64,
}

/// Messages to and from the other gateways.
pub(crate) struct Peers {
    gateway: Rc<Gateway>,
    socket: UdpSocket,
    sequence: Cell<u64>,
    /// What this gateway told as the lead, and when.
    told_view: RefCell<Option<(LeadView, Instant)>>,
    /// Where gateways listen that the store tells of.
    registered: RefCell<HashSet<SocketAddr>>,
    /// What this gateway knows while it is the lead.
    own_view: Rc<RefCell<Option<LeadView>>>,
    /// Whom to ask for what the others know.
    sources: RefCell<NewsSources>,
}

impl Peers {
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        socket: UdpSocket,
        own_view: Rc<RefCell<Option<LeadView>>>,
    ) -> Peers {
        Peers {
            gateway,
            socket,
            sequence: Cell::new(0),
            told_view: RefCell::default(),
            registered: RefCell::default(),
            own_view,
            sources: RefCell::default(),
        }
    }

    /// Tells the others, for ever.
    pub(crate) async fn tell(self: Rc<Self>) {
        loop {
            self.tell_once();
            self.take_loads();
            let gateways = self.gateway.beliefs.borrow().gateways(Instant::now()) as u32;
            let interval = TELL_INTERVAL * gateways / MANY_GATEWAYS;
            let interval = interval.clamp(TELL_INTERVAL, TELL_INTERVAL_MOST);
            // A suspicion is told at once; others are spared their own questions.
            let _ = timeout(interval, self.gateway.suspected.notified()).await;
        }
    }

    fn tell_once(&self) {
        let message = self.message();
        let Ok(buf) = postcard::to_stdvec(&message) else { return };
        for addr in self.targets() {
            // A lost message is made up for by the next one.
            let _ = self.socket.try_send_to(&buf, addr);
        }
    }

    fn message(&self) -> PeerMessage {
        let gateway = &self.gateway;
        self.sequence.set(self.sequence.get() + 1);
        let now = Instant::now();
        let suspects = gateway.beliefs.borrow_mut().suspects_own(now);
        let leaving = gateway.beliefs.borrow_mut().leaving_own(now);
        let ended = gateway.beliefs.borrow_mut().ended_own(now);
        let own_loads = gateway.paths.borrow().own_loads();
        let load = |(head, load): (Incarnation, Load)| HeadLoad {
            head,
            tokens: load.tokens.max(0.0) as u32,
            streams: load.streams,
        };
        let heard_ms = |kind| gateway.store_heard.age_ms(kind, now).map(|ms| ms as u32);
        PeerMessage {
            instance: gateway.settings.instance.clone(),
            incarnation: gateway.incarnation,
            data_centre: gateway.settings.data_centre.clone(),
            ready_in_ms: gateway.ready_in(now).as_millis() as u32,
            sequence: self.sequence.get(),
            config_version: gateway.knowledge.borrow().config_version(),
            endpoints_at: gateway.knowledge.borrow().endpoints_at(),
            configuration_heard_ms: heard_ms(Kind::Configuration),
            endpoints_heard_ms: heard_ms(Kind::Endpoints),
            loads: own_loads.into_iter().map(load).collect(),
            suspects,
            leaving,
            ended,
            lead_term: self.own_view.borrow().as_ref().map(|view| view.term),
            lead: self.view_to_tell(now),
        }
    }

    /// What the lead knows, if it is news or wasn't told for a while.
    fn view_to_tell(&self, now: Instant) -> Option<LeadView> {
        let view = self.own_view.borrow().clone()?;
        let mut told = self.told_view.borrow_mut();
        let is_told =
            |(before, at): &(LeadView, Instant)| *before == view && now - *at < VIEW_INTERVAL;
        if told.as_ref().is_some_and(is_told) {
            return None;
        }
        *told = Some((view.clone(), now));
        Some(view)
    }

    fn targets(&self) -> HashSet<SocketAddr> {
        let mut targets = self.registered.borrow().clone();
        targets.extend(self.gateway.beliefs.borrow().peers.values().map(|peer| peer.addr));
        targets.remove(&self.own_addr());
        targets
    }

    fn own_addr(&self) -> SocketAddr {
        SocketAddr::new(self.gateway.settings.ip, self.gateway.settings.peer_port)
    }

    fn take_loads(&self) {
        let now = Instant::now();
        let mut loads: HashMap<Incarnation, Load> = HashMap::new();
        for peer in self.gateway.beliefs.borrow().live_peers(now) {
            for told in &peer.message.loads {
                let load = loads.entry(told.head.clone()).or_default();
                load.tokens += f64::from(told.tokens);
                load.streams += told.streams;
            }
        }
        self.gateway.paths.borrow_mut().set_peer_loads(loads);
    }

    /// Takes the others' messages, for ever.
    pub(crate) async fn listen(self: Rc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => self.on_datagram(&buf[..len], from),
                Err(err) => {
                    let text = err.to_string();
                    warn!("message of a gateway not received", kv: { err = text.as_str() });
                    sleep(TELL_INTERVAL).await;
                }
            }
        }
    }

    fn on_datagram(&self, buf: &[u8], from: SocketAddr) {
        let Ok(message) = postcard::from_bytes::<PeerMessage>(buf) else {
            self.gateway.counters.add(Count::PeerMessagesBad);
            return;
        };
        self.gateway.counters.add(Count::PeerMessages);
        self.on_message(message, from);
    }

    fn on_message(&self, message: PeerMessage, from: SocketAddr) {
        let gateway = &self.gateway;
        let now = Instant::now();
        let mut beliefs = gateway.beliefs.borrow_mut();
        let before = beliefs.peers.get(&message.instance);
        let is_old = before.is_some_and(|peer| {
            peer.message.incarnation == message.incarnation
                && peer.message.sequence >= message.sequence
        });
        if is_old {
            return;
        }
        if before.is_none_or(|peer| peer.message.incarnation != message.incarnation) {
            let addr = from.to_string();
            info!("gateway heard", kv: {
                instance = message.instance.as_str(), addr = addr.as_str()
            });
        }
        let mut is_changed = false;
        if let Some(term) = message.lead_term {
            beliefs.hear_lead(term, now);
        }
        if let Some(view) = &message.lead {
            let known = beliefs.lead(now);
            is_changed = known.is_none_or(|(known, _)| known.engines != view.engines);
            is_changed &= beliefs.apply_lead(view.clone(), now);
        }
        let new_suspects = message.suspects.iter().filter(|life| {
            before_suspects(&beliefs.peers, &message.instance).is_none_or(|all| !all.contains(life))
        });
        let new_suspects: Vec<Incarnation> = new_suspects.cloned().collect();
        let told = message.leaving.iter();
        let told = told.filter(|life| !beliefs.is_leaving(life, now)).cloned().collect::<Vec<_>>();
        for life in &told {
            beliefs.hear_leaving(life, now);
            info!("endpoint told that it leaves", kv: {
                endpoint = life.id.as_str(), source = message.instance.as_str()
            });
            is_changed = true;
        }
        let instance = message.instance.clone();
        let ended = message.ended.clone();
        beliefs.peers.insert(instance.clone(), Peer { addr: from, message, heard: now });
        drop(beliefs);
        for end in &ended {
            gateway.hear_end(end, &instance);
        }
        if is_changed {
            gateway.refresh_paths();
        }
        for life in &new_suspects {
            gateway.hear_suspicion(life, &instance);
        }
        if !new_suspects.is_empty() || !told.is_empty() {
            gateway.engines_changed.notify_waiters();
        }
    }

    /// Writes this gateway's object and reads those of the others, for ever.
    pub(crate) async fn register(self: Rc<Self>, store: Store) {
        let mut is_written = false;
        loop {
            self.gateway.counters.add(Count::StoreCalls);
            let res = self.register_once(&store, &mut is_written).await;
            if let Err(err) = &res {
                self.gateway.on_store_failed(err);
                let text = err.to_string();
                warn!("gateways not read from the store", kv: { err = text.as_str() });
            }
            sleep(if res.is_ok() { LIST_INTERVAL } else { REGISTER_RETRY }).await;
        }
    }

    async fn register_once(&self, store: &Store, is_written: &mut bool) -> Result<(), StoreError> {
        let name = &self.gateway.settings.instance;
        let own = Registration { addr: self.own_addr(), incarnation: self.gateway.incarnation };
        if !*is_written {
            match store.create(Kind::Gateways, name, &own).await {
                Err(StoreError::Conflict) => {
                    let object = store.get(Kind::Gateways, name).await?;
                    if object.read::<Registration>().ok().as_ref() != Some(&own) {
                        store.replace(Kind::Gateways, name, object.revision, &own).await?;
                    }
                }
                other => {
                    other?;
                }
            }
            *is_written = true;
        }
        let listing = store.list(Kind::Gateways).await?;
        self.gateway.refuse_nameless(&listing.nameless, "Gateways");
        let addrs = listing.objects.iter().filter_map(|object| self.registered_addr(object));
        *self.registered.borrow_mut() = addrs.collect();
        self.gateway.beliefs.borrow_mut().registered = self.registered.borrow().len();
        Ok(())
    }

    /// Where a registered gateway listens. One that can't be read costs no other.
    fn registered_addr(&self, object: &StoredObject) -> Option<SocketAddr> {
        match object.read::<Registration>() {
            Ok(registration) => Some(registration.addr),
            Err(fault) => {
                let what = "registration of a gateway refused";
                let count = Count::RegistrationsRefused;
                self.gateway.refuse_own_object(count, what, &object.name, &fault);
                None
            }
        }
    }

    /// Asks another gateway for what it knows and this one doesn't, for ever.
    pub(crate) async fn catch_up(self: Rc<Self>) {
        let mut behind_since: Option<Instant> = None;
        loop {
            sleep(TELL_INTERVAL).await;
            let Some((instance, addr)) = self.ahead() else {
                behind_since = None;
                continue;
            };
            let since = *behind_since.get_or_insert_with(Instant::now);
            if since.elapsed() < BEHIND_PATIENCE {
                continue;
            }
            behind_since = None;
            self.fetch(&instance, addr).await;
        }
    }

    /// A live gateway that knows a newer configuration, or more of the endpoints.
    fn ahead(&self) -> Option<(String, SocketAddr)> {
        let now = Instant::now();
        let own = {
            let knowledge = self.gateway.knowledge.borrow();
            Known { config: knowledge.config_version(), endpoints_at: knowledge.endpoints_at() }
        };
        let beliefs = self.gateway.beliefs.borrow();
        let known = |peer: &Peer| Known {
            config: peer.message.config_version,
            endpoints_at: peer.message.endpoints_at,
        };
        let heard = beliefs.live_peers(now);
        let heard = heard.map(|peer| (peer.message.instance.as_str(), known(peer)));
        let instance = self.sources.borrow_mut().choose(own, heard, now.into_std())?;
        Some((instance.to_owned(), beliefs.peers.get(instance)?.addr))
    }

    async fn fetch(&self, instance: &str, addr: SocketAddr) {
        let client = Client::new(addr);
        let path = {
            let knowledge = self.gateway.knowledge.borrow();
            format!("{HANDOVER_PATH}{}/{}", knowledge.config_version(), knowledge.endpoints_at())
        };
        let answer = client.call(Method::GET, &path, None, HANDOVER_LIMIT).await;
        let read =
            |body: &[u8]| serde_json::from_slice::<Handover>(body).map_err(|e| e.to_string());
        match answer.map_err(|err| err.to_string()).and_then(|answer| read(&answer.body)) {
            Ok(handover) => {
                if handover.configuration.is_some() {
                    // A watch that lives would have brought it sooner.
                    self.gateway.store_heard.doubt(Kind::Configuration);
                }
                let (version, at) = (
                    handover.configuration.as_ref().map_or(0, |cfg| cfg.version),
                    handover.endpoints_at,
                );
                info!("caught up from a gateway", kv: { instance, version, at });
                self.gateway.apply_handover(handover, instance);
            }
            Err(err) => {
                warn!("not caught up from a gateway", kv: { instance, err = err.as_str() });
                self.sources.borrow_mut().on_failure(instance, Instant::now().into_std());
                // What the other one knows, the store can tell.
                self.gateway.store_heard.doubt_all();
            }
        }
    }
}

fn before_suspects<'a>(
    peers: &'a HashMap<String, Peer>,
    instance: &str,
) -> Option<&'a Vec<Incarnation>> {
    peers.get(instance).map(|peer| &peer.message.suspects)
}
