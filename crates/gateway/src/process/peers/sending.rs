//! Sends this gateway's state to the others, in turn and when there is news.

use super::fleet_state::Peer;
use super::peers::{MAX_DATAGRAM, Peers, SEND_INTERVAL};
use super::relay_part::{Coordinator, EchoPart, RelayPart, Scope};
use crate::process::{Count, PeerMessage};
use sorrellock_routing::process::relays::{SentSummary, Summary};
use spdlog::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Number of gateways above which the send interval grows: the number of messages is quadratic in it, and
/// messages between data centres have a cost.
const MANY_GATEWAYS: u32 = 12;
/// Upper bound of the send interval: a silent lead is replaced after a second.
const MAX_SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Number of intervals after which a relay sends a summary to each gateway of its data centre: the two of them send in turn.
const BEATS_PER_SUMMARY: u64 = 2;
/// Time for which the ends of streams, or news at a relay, are collected before they are reported out of turn.
const REPORT_DELAY: Duration = Duration::from_millis(10);
/// News is collected for this many times as long as the last sending took, so that a relay of many gateways has time for all else.
const PAUSE_PER_SENDING: u32 = 4;

impl Peers {
    /// Sends messages to the other gateways, indefinitely.
    pub(crate) async fn send_messages(self: Rc<Self>) {
        let mut is_news = true;
        for beat in 0_u64.. {
            let now = Instant::now();
            self.update_role(now);
            let sent = Instant::now();
            if self.gateway.fleet_state.borrow().uses_relays() {
                self.send_through_relays(is_news || beat % BEATS_PER_SUMMARY == 0);
            } else {
                self.send_to_all();
            }
            let sending = sent.elapsed();
            self.gateway.update_loads();
            let gateways = self.gateway.fleet_state.borrow().gateways(now) as u32;
            let interval = SEND_INTERVAL * gateways / MANY_GATEWAYS;
            let interval = interval.clamp(SEND_INTERVAL, MAX_SEND_INTERVAL);
            // News is sent at once, so that the others needn't probe a suspected endpoint or read a configuration themselves.
            is_news = timeout(interval, self.gateway.news.notified()).await.is_ok();
            if is_news && self.gateway.fleet_state.borrow().is_relay() {
                // Several gateways often find the same at once.
                sleep((sending * PAUSE_PER_SENDING).clamp(REPORT_DELAY, interval)).await;
            }
        }
    }

    /// Sends a message out of turn to the gateways that give out capacity when a stream has ended, so that others get its
    /// capacity at once. Never returns.
    pub(crate) async fn report_freed(self: Rc<Self>) {
        let freed = self.gateway.paths.borrow().freed();
        loop {
            freed.notified().await;
            // Several streams often end together.
            sleep(REPORT_DELAY).await;
            let now = Instant::now();
            let keepers: Vec<SocketAddr> =
                self.gateway.capacity_keepers.borrow().interested(now).collect();
            if !keepers.is_empty() {
                self.send_to(keepers.into_iter());
            }
        }
    }

    /// Decides whether this gateway is a relay now.
    fn update_role(&self, now: Instant) {
        let mut fleet_state = self.gateway.fleet_state.borrow_mut();
        let was_relay = fleet_state.is_relay();
        fleet_state.update_role(now);
        if fleet_state.is_relay() != was_relay {
            let gateways = fleet_state.gateways(now);
            info!("relay", kv: { is_relay = !was_relay, gateways });
        }
    }

    fn send_to_all(&self) {
        self.send_to(self.targets().into_iter());
    }

    fn send_to(&self, targets: impl Iterator<Item = SocketAddr>) {
        let message = self.message();
        self.send_message(&message, targets.map(|addr| (addr, EchoPart::default())));
    }

    fn send_message(
        &self,
        message: &PeerMessage,
        targets: impl Iterator<Item = (SocketAddr, EchoPart)>,
    ) {
        let loads = message.loads.clone();
        self.gateway.fleet_state.borrow_mut().sent_loads.add(message.sequence, loads);
        let buf = match message.encode() {
            Ok(buf) if buf.len() <= MAX_DATAGRAM => buf,
            Ok(buf) => return self.on_unsendable(&format!("it has {} bytes", buf.len())),
            Err(err) => return self.on_unsendable(&err.to_string()),
        };
        for (addr, echo) in targets {
            match PeerMessage::with_echo(&buf, echo) {
                // A lost message is superseded by the next one.
                Ok(buf) => {
                    self.gateway.counters.add(Count::PeerMessagesSent);
                    self.gateway.counters.add_many(Count::PeerBytesSent, buf.len());
                    let _ = self.socket.try_send_to(&buf, addr);
                }
                Err(err) => return self.on_unsendable(&err.to_string()),
            }
        }
        self.is_unsendable_logged.set(false);
    }

    /// Sends this gateway's state to the first gateways of its data centre and, as a relay, summaries to the other relays and, if
    /// `to_members`, to the gateways that send their state here.
    fn send_through_relays(&self, to_members: bool) {
        let now = Instant::now();
        let message = self.message();
        let is_relay = message.relay.is_relay;
        let received = self.gateway.fleet_state.borrow().received_summaries();
        let echo = |addr| EchoPart { included: received.get(&addr).copied().unwrap_or_default() };
        self.send_message(
            &message,
            self.candidates(now).into_iter().map(|addr| (addr, echo(addr))),
        );
        if !is_relay && message.lead_term.is_none() {
            return;
        }
        let own = self.gateway.fleet_state.borrow().data_centre_summary(&message, now);
        let foreign = self.gateway.fleet_state.borrow().directory.foreign_relays(now.into_std());
        let summary = is_relay.then(|| (Scope::DataCentre, own.clone()));
        let relay = RelayPart { summary, ..message.relay.clone() };
        let to_relays = PeerMessage { sequence: self.next_sequence(), relay, ..message.clone() };
        self.send_message(&to_relays, unechoed(foreign));
        let whole = self.gateway.fleet_state.borrow().fleet_summary(&own, now);
        if !is_relay {
            return;
        }
        if to_members || whole.has_news() {
            self.send_to_members(message, whole, now);
        } else {
            self.send_again(message, whole, now);
        }
    }

    /// Sends a summary of the fleet to all members.
    fn send_to_members(&self, message: PeerMessage, whole: Summary, now: Instant) {
        let message = self.fleet_message(message, whole, now);
        self.sent_summary.set(SentSummary::new(message.sequence));
        let members = self.members(now, |_| true);
        let unheard: BTreeSet<SocketAddr> = {
            let fleet_state = self.gateway.fleet_state.borrow();
            fleet_state.directory.unheard_members(now.into_std()).collect()
        };
        self.send_message(&message, members.into_iter().chain(unechoed(unheard)));
    }

    /// Sends a summary of the fleet to the members that didn't receive the last one.
    fn send_again(&self, message: PeerMessage, whole: Summary, now: Instant) {
        let last = self.sent_summary.get();
        let missing = self.members(now, |peer| last.is_missed_after(peer.message.echo.included));
        if missing.is_empty() {
            return;
        }
        self.gateway.counters.add_many(Count::SummariesSentAgain, missing.len());
        self.send_message(&self.fleet_message(message, whole, now), missing.into_iter());
    }

    /// Returns the members that fulfil a condition, each with the latest of its messages.
    fn members(
        &self,
        now: Instant,
        is_included: impl Fn(&Peer) -> bool,
    ) -> Vec<(SocketAddr, EchoPart)> {
        let fleet_state = self.gateway.fleet_state.borrow();
        let members = fleet_state.directory.members(now.into_std());
        let near = fleet_state.live_peers(now).filter(|peer| members.contains(&peer.addr));
        near.filter(|peer| is_included(peer))
            .map(|peer| (peer.addr, EchoPart { included: peer.message.sequence }))
            .collect()
    }

    /// Returns a message with a summary of the fleet.
    fn fleet_message(&self, message: PeerMessage, whole: Summary, now: Instant) -> PeerMessage {
        let relay = RelayPart {
            summary: Some((Scope::Fleet, whole)),
            coordinators: self.ready_relays(now),
            ..message.relay
        };
        PeerMessage { sequence: self.next_sequence(), relay, ..message }
    }

    /// Returns the relays of all data centres that are ready, this one included.
    fn ready_relays(&self, now: Instant) -> Vec<Coordinator> {
        let own = Coordinator { incarnation: self.gateway.incarnation, addr: self.own_addr() };
        let others = self.gateway.fleet_state.borrow().coordinators(now);
        others.into_iter().chain(self.gateway.is_ready().then_some(own)).collect()
    }

    /// Returns the gateways that this one sends its own state to in a large fleet, and those of builds without relays.
    fn candidates(&self, now: Instant) -> BTreeSet<SocketAddr> {
        let fleet_state = self.gateway.fleet_state.borrow();
        let mut addrs = fleet_state.directory.candidates(now.into_std());
        let without_relays =
            fleet_state.live_peers(now).filter(|peer| peer.message.relay.processor == 0);
        addrs.extend(without_relays.map(|peer| peer.addr));
        addrs.extend(self.unplaced.borrow().iter());
        addrs.remove(&self.own_addr());
        addrs
    }

    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence.set(self.sequence.get() + 1);
        self.sequence.get()
    }
}

/// Adds to each address that no message of its gateway is included.
fn unechoed(addrs: BTreeSet<SocketAddr>) -> impl Iterator<Item = (SocketAddr, EchoPart)> {
    addrs.into_iter().map(|addr| (addr, EchoPart::default()))
}
