//! Talks with the other gateways: loads, suspicions, what the lead knows, and what the store has
//! told to others first.

use crate::process::{Count, Gateway, HeadLoad, LeadView, Load, Peer, PeerMessage, Unreadable};
use sorrellock_platform::Kind;
use sorrellock_routing::process::{Incarnation, NewsSources};
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
pub(super) const TELL_INTERVAL: Duration = Duration::from_millis(100);
/// From so many gateways on each tells more seldom: messages grow with their square, and those
/// between data centres are priced.
const MANY_GATEWAYS: u32 = 12;
/// The longest time between two messages: a silent lead is replaced after a second.
const TELL_INTERVAL_MOST: Duration = Duration::from_millis(250);
/// How often the lead tells all that it knows where nothing changed, for those that missed it.
const VIEW_INTERVAL: Duration = Duration::from_millis(700);
/// The most senders of which it is remembered that the log told of them: more than a fleet has gateways.
const MAX_TOLD_UNREADABLE: usize = 1_024;
/// Largest datagram.
const MAX_DATAGRAM: usize = 60_000;

/// Messages to and from the other gateways.
pub(crate) struct Peers {
    pub(super) gateway: Rc<Gateway>,
    pub(super) socket: UdpSocket,
    pub(super) sequence: Cell<u64>,
    /// What this gateway told as the lead, and when.
    pub(super) told_view: RefCell<Option<(LeadView, Instant)>>,
    /// Where gateways listen that the store tells of.
    pub(super) registered: RefCell<HashSet<SocketAddr>>,
    /// What this gateway knows while it is the lead.
    pub(super) own_view: Rc<RefCell<Option<LeadView>>>,
    /// Whom to ask for what the others know.
    pub(super) sources: RefCell<NewsSources>,
    /// Senders of which the log told that their messages can't be read.
    told_unreadable: RefCell<HashSet<SocketAddr>>,
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
            told_unreadable: RefCell::default(),
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
        let Ok(buf) = message.encode() else { return };
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
        let left = gateway.beliefs.borrow_mut().left_own(now);
        let own_loads = gateway.paths.borrow().own_loads();
        let load = |(head, load): (Incarnation, Load)| HeadLoad {
            head,
            tokens: load.tokens.max(0.0) as u32,
            streams: load.streams,
        };
        let heard_ms = |kind| gateway.store_contact.age_ms(kind, now).map(|ms| ms as u32);
        PeerMessage {
            instance: gateway.settings.instance.clone(),
            incarnation: gateway.incarnation,
            data_centre: gateway.settings.data_centre.clone(),
            ready_in_ms: gateway.ready_in(now).as_millis() as u32,
            sequence: self.sequence.get(),
            store_era: gateway.eras.known(),
            known: gateway.knowledge.borrow().known(),
            configuration_heard_ms: heard_ms(Kind::Configuration),
            endpoints_heard_ms: heard_ms(Kind::Endpoints),
            loads: own_loads.into_iter().map(load).collect(),
            suspects,
            leaving,
            ended,
            left,
            left_before_era: gateway.knowledge.borrow().left_before_era(now.into_std()),
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

    pub(super) fn own_addr(&self) -> SocketAddr {
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
        match PeerMessage::decode(buf) {
            Ok(message) => {
                self.gateway.counters.add(Count::PeerMessages);
                self.on_message(message, from);
            }
            Err(unreadable) => self.on_unreadable(unreadable, from),
        }
    }

    /// During an upgrade gateways of other versions are there: it is told once of each.
    fn on_unreadable(&self, unreadable: Unreadable, from: SocketAddr) {
        self.gateway.counters.add(Count::PeerMessagesBad);
        let mut told = self.told_unreadable.borrow_mut();
        if told.len() < MAX_TOLD_UNREADABLE && told.insert(from) {
            let from = from.to_string();
            warn!("message of a gateway can't be read", kv: {
                from = from.as_str(), why:? = unreadable
            });
        }
    }

    fn on_message(&self, message: PeerMessage, from: SocketAddr) {
        let gateway = &self.gateway;
        let now = Instant::now();
        gateway.eras.hear(message.store_era, &message.instance);
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
        let reported = before.map_or(&[][..], |peer| &peer.message.suspects);
        let has_new_suspects = message.suspects.iter().any(|report| !reported.contains(report));
        let mut is_changed = false;
        if let Some(term) = message.lead_term {
            beliefs.hear_lead(term, now);
        }
        if let Some(view) = &message.lead {
            let known = beliefs.lead(now);
            is_changed = known.is_none_or(|(known, _)| known.engines != view.engines);
            is_changed &= beliefs.apply_lead(view.clone(), now);
        }
        let told = message.leaving.iter();
        let told = told
            .filter(|incarnation| !beliefs.is_leaving(incarnation, now))
            .cloned()
            .collect::<Vec<_>>();
        for incarnation in &told {
            beliefs.hear_leaving(incarnation, now);
            info!("endpoint told that it leaves", kv: {
                endpoint = incarnation.id.as_str(), source = message.instance.as_str()
            });
            is_changed = true;
        }
        let instance = message.instance.clone();
        let (ended, left) = (message.ended.clone(), message.left.clone());
        let (era, left_before_era) =
            (message.known.endpoints_at.era, message.left_before_era.clone());
        beliefs.peers.insert(instance.clone(), Peer { addr: from, message, heard: now });
        drop(beliefs);
        for end in &ended {
            gateway.receive_end(end, &instance);
        }
        for incarnation in &left {
            is_changed |= gateway.remove_missing(incarnation, &instance);
        }
        is_changed |= gateway.receive_left(&left_before_era, era, &instance);
        if is_changed {
            gateway.refresh_paths();
        }
        if has_new_suspects {
            gateway.take_reported_failures();
        }
        if has_new_suspects || !told.is_empty() {
            gateway.engines_changed.notify_waiters();
        }
    }
}
