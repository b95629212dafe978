//! Exchanges messages with the other gateways: loads, suspected endpoints, the lead's view of the engines, and
//! how recent each gateway's data from the store is.

use super::news::News;
use super::relay_part::{EchoPart, HeardSummary, RelayPart};
use crate::process::{
    CapacityPart, Count, Extension, Gateway, Load, Peer, PeerMessage, Unreadable, ViewPart,
};
use sorrellock_platform::Kind;
use sorrellock_routing::process::lead_view::{
    EngineViews, ViewChange, ViewLog, ViewMark, ViewUpdate,
};
use sorrellock_routing::process::relays::SentSummary;
use sorrellock_routing::process::{HeadLoad, Incarnation, UpdateSources};
use spdlog::{error, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

/// Interval between messages to the other gateways. At 15 requests a second, loads that are 100 ms old are off
/// by one or two streams.
pub(super) const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of senders of unreadable messages to remember, so that each is logged once: more than a fleet
/// has gateways.
const MAX_LOGGED_UNREADABLE: usize = 1_024;
/// Largest datagram, in bytes.
pub(super) const MAX_DATAGRAM: usize = 60_000;

/// Messages to and from the other gateways.
pub(crate) struct Peers {
    pub(super) gateway: Rc<Gateway>,
    pub(super) socket: UdpSocket,
    pub(super) sequence: Cell<u64>,
    /// The latest summary that this gateway sent to all its members as a relay.
    pub(super) sent_summary: Cell<SentSummary>,
    /// Peer addresses of the gateways that are registered in the store.
    pub(super) registered: RefCell<HashSet<SocketAddr>>,
    /// This gateway's view of the engines while it is the lead.
    pub(super) view_log: Rc<RefCell<Option<ViewLog>>>,
    /// Addresses of those whose registration doesn't say where they run: they send to all, and are sent to by all.
    pub(super) unplaced: RefCell<HashSet<SocketAddr>>,
    /// Chooses the gateway to catch up from.
    pub(super) sources: RefCell<UpdateSources>,
    pub(super) is_unsendable_logged: Cell<bool>,
    /// Senders whose unreadable messages have been logged.
    logged_unreadable: RefCell<HashSet<SocketAddr>>,
}

impl Peers {
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        socket: UdpSocket,
        view_log: Rc<RefCell<Option<ViewLog>>>,
    ) -> Peers {
        Peers {
            gateway,
            socket,
            sequence: Cell::new(0),
            sent_summary: Cell::default(),
            registered: RefCell::default(),
            unplaced: RefCell::default(),
            view_log,
            sources: RefCell::default(),
            is_unsendable_logged: Cell::default(),
            logged_unreadable: RefCell::default(),
        }
    }

    /// Logs the first of a series of messages that can't be sent.
    pub(super) fn on_unsendable(&self, why: &str) {
        self.gateway.counters.add(Count::PeerMessagesUnsent);
        if !self.is_unsendable_logged.replace(true) {
            error!("message to the other gateways not sent", kv: { why });
        }
    }

    pub(super) fn message(&self) -> PeerMessage {
        let gateway = &self.gateway;
        let sequence = self.next_sequence();
        let now = Instant::now();
        let suspects = gateway.fleet_state.borrow_mut().own_suspects(now);
        let leaving = {
            let knowledge = gateway.knowledge.borrow();
            let is_listed_ready = |endpoint: &Incarnation| {
                knowledge.is_current(endpoint) && !knowledge.is_leaving(endpoint)
            };
            gateway.fleet_state.borrow_mut().own_leaving(is_listed_ready, now)
        };
        let ended = gateway.fleet_state.borrow_mut().own_ended(now);
        let left = gateway.fleet_state.borrow_mut().own_left(now);
        let crashes = gateway.crash_guard.borrow_mut().reports(now.into_std());
        let crash_digest = Some(gateway.crash_guard.borrow().digest());
        let limits = gateway.limits.borrow().reports(now.into_std());
        let extension = Extension { crashes, crash_digest, limits };
        let own_loads = gateway.paths.borrow().own_loads();
        let load = |(head, load): (Incarnation, Load)| HeadLoad {
            head,
            tokens: load.tokens.max(0.0) as u32,
            streams: load.streams,
        };
        let store_age_ms = |kind| gateway.store_contact.age_ms(kind, now).map(|ms| ms as u32);
        PeerMessage {
            instance: gateway.settings.instance.clone(),
            incarnation: gateway.incarnation,
            data_centre: gateway.settings.data_centre.clone(),
            ready_in_ms: gateway.ready_in(now).as_millis() as u32,
            sequence,
            store_era: gateway.eras.known(),
            known: gateway.knowledge.borrow().known(),
            configuration_heard_ms: store_age_ms(Kind::Configuration),
            endpoints_heard_ms: store_age_ms(Kind::Endpoints),
            loads: own_loads.into_iter().map(load).collect(),
            suspects,
            leaving,
            ended,
            left,
            left_before_era: gateway.knowledge.borrow().left_before_era(now.into_std()),
            lead_term: gateway.lead_term.get(),
            lead: None,
            extension,
            view: self.view_part(now),
            capacity: CapacityPart { taken: gateway.capacity_keepers.borrow().taken() },
            relay: RelayPart {
                processor: gateway.settings.processor,
                is_relay: gateway.fleet_state.borrow().is_relay(),
                ..RelayPart::default()
            },
            echo: EchoPart::default(),
        }
    }

    fn view_part(&self, now: Instant) -> ViewPart {
        let mark = self.gateway.fleet_state.borrow().views.mark();
        let update = self.view_log.borrow_mut().as_mut().map(|log| log.update(now.into_std()));
        ViewPart { mark, update }
    }

    pub(super) fn targets(&self) -> HashSet<SocketAddr> {
        let mut targets = self.registered.borrow().clone();
        targets.extend(self.gateway.fleet_state.borrow().peers.values().map(|peer| peer.addr));
        targets.remove(&self.own_addr());
        targets
    }

    pub(super) fn own_addr(&self) -> SocketAddr {
        SocketAddr::new(self.gateway.settings.ip, self.gateway.settings.peer_port)
    }

    /// Receives messages from the other gateways, indefinitely.
    pub(crate) async fn listen(self: Rc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            match self.socket.recv_from(&mut buf).await {
                Ok((len, from)) => self.on_datagram(&buf[..len], from),
                Err(err) => {
                    let text = err.to_string();
                    warn!("failed to receive a message from a gateway", kv: { err = text.as_str() });
                    sleep(SEND_INTERVAL).await;
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

    /// Logs each sender once: during an upgrade some gateways use another message format.
    fn on_unreadable(&self, unreadable: Unreadable, from: SocketAddr) {
        self.gateway.counters.add(Count::PeerMessagesBad);
        let mut logged = self.logged_unreadable.borrow_mut();
        if logged.len() < MAX_LOGGED_UNREADABLE && logged.insert(from) {
            let from = from.to_string();
            warn!("unreadable message from a gateway", kv: {
                from = from.as_str(), why:? = unreadable
            });
        }
    }

    fn on_message(&self, message: PeerMessage, from: SocketAddr) {
        let gateway = &self.gateway;
        let now = Instant::now();
        gateway.eras.observe(message.store_era, &message.instance);
        let mut fleet_state = gateway.fleet_state.borrow_mut();
        let before = fleet_state.peers.get(&message.instance);
        let is_old = before.is_some_and(|peer| {
            peer.message.incarnation == message.incarnation
                && peer.message.sequence >= message.sequence
        });
        if is_old {
            return;
        }
        if before.is_none_or(|peer| peer.message.incarnation != message.incarnation) {
            let addr = from.to_string();
            info!("gateway discovered", kv: {
                instance = message.instance.as_str(), addr = addr.as_str()
            });
        }
        let is_news = before.is_none_or(|peer| !peer.message.has_same_news(&message));
        let reported = before.map_or(&[][..], |peer| &peer.message.suspects);
        let has_new_suspects = message.suspects.iter().any(|report| !reported.contains(report));
        let is_viewed = receive_view(&mut fleet_state.views, &message, now);
        let instance = message.instance.clone();
        let news = News::of(&message);
        let heard = HeardSummary::of(&message, now);
        fleet_state.sharers.on_message(&instance, now.into_std());
        if message.relay.processor > 0 {
            let (placing, is_relay) = (message.placing(), message.relay.is_relay);
            fleet_state.directory.on_message(&instance, &placing, is_relay, from, now.into_std());
        }
        fleet_state.peers.insert(instance.clone(), Peer { addr: from, message, last_contact: now });
        let is_relay = fleet_state.is_relay();
        drop(fleet_state);
        gateway.capacity.borrow().on_loads_changed();
        let mut changes = gateway.receive_news(&news, &instance);
        changes.engines |= is_viewed;
        changes.suspects |= has_new_suspects;
        let is_relayed_news = heard.is_some_and(|heard| {
            let received = gateway.receive_summary(heard);
            changes.engines |= received.changes.engines;
            changes.suspects |= received.changes.suspects;
            received.is_news
        });
        if changes.engines {
            gateway.refresh_paths();
        }
        if changes.suspects {
            gateway.apply_reported_failures();
        }
        if changes.engines || changes.suspects {
            gateway.engines_changed.notify_waiters();
        }
        if is_relay && (is_news || is_relayed_news) {
            // The other gateways learn it through this one.
            gateway.news.notify_one();
        }
    }
}

impl Gateway {
    /// Updates the load of the other gateways' streams from their messages, and from capacity given to them since.
    pub(crate) fn update_loads(&self) {
        let now = Instant::now();
        let mut loads: HashMap<Incarnation, Load> = HashMap::new();
        for report in self.fleet_state.borrow().reports(now) {
            for reported in report.loads().iter() {
                let load = loads.entry(reported.head.clone()).or_default();
                load.tokens += f64::from(reported.tokens);
                load.streams += reported.streams;
            }
        }
        self.paths.borrow_mut().set_peer_loads(loads);
        for (head, tokens) in self.pending_grants() {
            self.paths.borrow_mut().add_peer_load(&head, tokens);
        }
    }
}

/// Applies what a message says of the lead and its view. Returns whether the engines changed.
fn receive_view(views: &mut EngineViews, message: &PeerMessage, now: Instant) -> bool {
    let now = now.into_std();
    if let Some(term) = message.lead_term {
        views.on_lead(term, now);
    }
    let whole = message.lead.as_ref().map(|lead| ViewUpdate {
        base: ViewMark::default(),
        mark: ViewMark { term: lead.term, version: message.sequence },
        changed: lead.engines.clone(),
        removed: Vec::new(),
    });
    let update = message.view.update.as_ref().or(whole.as_ref());
    update.is_some_and(|update| views.on_update(update, now) == ViewChange::Changed)
}
