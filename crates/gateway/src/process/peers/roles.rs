//! How a gateway takes part in the exchange of messages: all to all in a small fleet, as a member or relay of its data centre in a
//! large one.

use super::fleet_state::{FleetState, PEER_TIMEOUT, Peer};
use super::relay_part::{Coordinator, HeardSummary, Report, Scope};
use sorrellock_routing::process::relays::{FirstGateways, GatewayCount, Summary};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time without a message within which a gateway still counts among those that share the fleet's bounds.
const SHARER_TIMEOUT: Duration = Duration::from_secs(15);

/// How a gateway takes part in the exchange of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// Sends its state to all others.
    AllToAll,
    /// Sends its state to the relays of its data centre.
    Member,
    /// Stands between the gateways of its data centre and all others.
    Relay,
}

impl FleetState {
    /// Decides how this gateway takes part in the exchange of messages, and counts the gateways that share the fleet's bounds.
    pub(crate) fn update_role(&mut self, now: Instant) {
        // A summary also counts for a gateway that hasn't listed the others.
        if self.uses_relays() || self.summary_of_fleet(now).is_some() {
            self.count_sharers(now);
        }
        let uses_relays = self.uses_relays_at(self.gateways(now));
        self.role = match uses_relays {
            false => Role::AllToAll,
            true if self.directory.is_relay(now.into_std()) => Role::Relay,
            true => Role::Member,
        };
    }

    /// Returns whether a fleet of this size uses relays.
    pub(crate) fn uses_relays_at(&self, gateways: usize) -> bool {
        gateways >= self.relays_from
    }

    /// Returns whether the store lists so many gateways that relays have what this one needs at its start.
    pub(crate) fn starts_from_relays(&self, now: Instant) -> bool {
        self.uses_relays_at(self.sharers.listed()) && !self.directory.is_relay(now.into_std())
    }

    /// Returns whether the fleet is so large that its gateways learn of each other through relays.
    pub(crate) fn uses_relays(&self) -> bool {
        self.role != Role::AllToAll
    }

    /// Returns whether this gateway is one of the relays of its data centre.
    pub(crate) fn is_relay(&self) -> bool {
        self.role == Role::Relay
    }

    /// Returns whether this gateway learns of the others through relays.
    pub(crate) fn is_member(&self) -> bool {
        self.role == Role::Member
    }

    /// Returns the name of this gateway's role, for the dump.
    pub(crate) fn role_name(&self) -> &'static str {
        match self.role {
            Role::AllToAll => "all to all",
            Role::Member => "member",
            Role::Relay => "relay",
        }
    }

    /// Records a summary of a relay. Returns the one before.
    pub(crate) fn add_summary(&mut self, heard: HeardSummary) -> Option<HeardSummary> {
        let now = heard.heard;
        self.summaries.retain(|_, known| known.is_fresh(now));
        self.summaries.insert(heard.relay.clone(), heard)
    }

    /// Returns the sequence of the summary that was received last from the gateway at each address.
    pub(super) fn received_summaries(&self) -> HashMap<SocketAddr, u64> {
        let known = self.summaries.values();
        known
            .filter_map(|heard| Some((self.peers.get(&heard.relay)?.addr, heard.sequence)))
            .collect()
    }

    /// Returns the freshest summary of each other data centre, of its relays.
    pub(crate) fn foreign_summaries(&self, now: Instant) -> impl Iterator<Item = &HeardSummary> {
        let mut freshest: HashMap<&str, &HeardSummary> = HashMap::new();
        for heard in self.summaries.values().filter(|heard| heard.is_fresh(now)) {
            if heard.scope == Scope::DataCentre && heard.data_centre != self.data_centre {
                let known = freshest.entry(&heard.data_centre).or_insert(heard);
                if known.heard < heard.heard {
                    *known = heard;
                }
            }
        }
        freshest.into_values()
    }

    /// Returns the freshest summary of the whole fleet.
    pub(super) fn summary_of_fleet(&self, now: Instant) -> Option<&HeardSummary> {
        let fresh = self.summaries.values().filter(|heard| heard.is_fresh(now));
        fresh.filter(|heard| heard.scope == Scope::Fleet).max_by_key(|heard| heard.heard)
    }

    /// Returns what all other gateways reported last, each of them once: by themselves, or together with others.
    pub(crate) fn reports(&self, now: Instant) -> Vec<Report<'_>> {
        let summary = |heard| Report::Summary(heard, &self.sent_loads);
        if !self.is_relay()
            && let Some(heard) = self.summary_of_fleet(now)
        {
            return vec![summary(heard)];
        }
        let foreign: Vec<&HeardSummary> = self.foreign_summaries(now).collect();
        let is_summed = |peer: &&Peer| {
            foreign.iter().any(|heard| heard.data_centre == peer.message.data_centre)
        };
        let peers = self.live_peers(now).filter(|peer| !is_summed(peer)).map(Report::Peer);
        peers.chain(foreign.iter().copied().map(summary)).collect()
    }

    /// Returns the number of live gateways, this one included.
    pub(crate) fn live(&self, now: Instant) -> usize {
        if !self.is_relay()
            && let Some(heard) = self.summary_of_fleet(now)
        {
            return heard.summary.live();
        }
        let of = |report: Report<'_>| match report {
            Report::Peer(_) => 1,
            Report::Summary(heard, _) => heard.summary.live(),
        };
        self.reports(now).into_iter().map(of).sum::<usize>() + 1
    }

    /// Updates how many gateways share the fleet's bounds, by the summaries.
    fn count_sharers(&mut self, now: Instant) {
        let counted = match self.summary_of_fleet(now) {
            Some(heard) if !self.is_relay() => heard.summary.sharers(),
            _ => {
                let own = self.data_centre_count(&self.data_centre, 0, now).sharers as usize;
                let foreign = self.foreign_summaries(now).map(|heard| heard.summary.sharers());
                own + foreign.sum::<usize>()
            }
        };
        self.sharers.on_counted(counted, now.into_std());
    }

    /// Returns the number of gateways of this data centre, this one included, which is ready after `own_ready_in_ms`.
    pub(super) fn data_centre_count(
        &self,
        data_centre: &str,
        own_ready_in_ms: u32,
        now: Instant,
    ) -> GatewayCount {
        let near = self.peers.values().filter(|peer| peer.message.data_centre == data_centre);
        let near: Vec<&Peer> = near.collect();
        let live = near.iter().filter(|peer| now - peer.last_contact < PEER_TIMEOUT).count();
        let sharers = near.iter().filter(|peer| now - peer.last_contact < SHARER_TIMEOUT).count();
        let ready_in = near.iter().filter_map(|peer| peer.ready_in(now));
        let mut ready_in: Vec<u32> = ready_in.map(|time| time.as_millis() as u32).collect();
        ready_in.push(own_ready_in_ms);
        ready_in.sort_unstable();
        GatewayCount {
            live: live as u32 + 1,
            sharers: sharers as u32 + 1,
            half_ready_in_ms: Some(ready_in[(ready_in.len() - 1) / 2]),
        }
    }

    /// Returns the gateways that take duties for the whole fleet, without this one: all in a small fleet, the relays in a large one.
    pub(crate) fn coordinators(&self, now: Instant) -> Vec<Coordinator> {
        if !self.uses_relays() {
            let peers = self.live_peers(now);
            return peers.map(Peer::coordinator).collect();
        }
        if !self.is_relay()
            && let Some(heard) = self.summary_of_fleet(now)
        {
            return heard.coordinators.clone();
        }
        let relays = self.live_peers(now).filter(|peer| peer.message.relay.is_relay);
        relays.filter(|peer| peer.message.ready_in_ms == 0).map(Peer::coordinator).collect()
    }

    /// Returns the first gateways of this data centre, if this gateway, of the address `own_addr`, is its first relay.
    pub(super) fn first_gateways(
        &self,
        own_addr: SocketAddr,
        now: Instant,
    ) -> Option<FirstGateways> {
        let gateways = self.gateways(now);
        let first = self
            .is_relay()
            .then(|| self.directory.first_gateways(own_addr, gateways, now.into_std()));
        first.flatten()
    }

    /// Returns whether this gateway is among those that take duties for the whole fleet.
    pub(crate) fn is_coordinator(&self) -> bool {
        !self.uses_relays() || self.is_relay()
    }
}

/// Returns the time until half of the gateways of a data centre, and of each other one, are expected to be ready.
pub(super) fn counted_ready_in(
    data_centre: &str,
    summary: &Summary,
    since: Duration,
) -> (Vec<Duration>, Vec<Duration>) {
    let (mut near, mut others) = (Vec::new(), Vec::new());
    for (name, count) in &summary.gateways {
        let Some(ms) = count.half_ready_in_ms else { continue };
        let ready_in = Duration::from_millis(ms.into()).saturating_sub(since);
        // Several, so that the gateway that asks doesn't change the half.
        if name == data_centre { near.extend([ready_in; 3]) } else { others.push(ready_in) }
    }
    (near, others)
}
