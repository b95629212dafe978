//! The part of a gateway's message that concerns relays, and what a gateway receives from them.

use super::fleet_state::{FleetState, Peer};
use crate::process::PeerMessage;
use serde::{Deserialize, Serialize};
use sorrellock_platform::Kind;
use sorrellock_routing::process::relays::{
    GatewayCount, LeadReport, Placing, SILENCE_TIMEOUT, StoreAges, Summary,
};
use sorrellock_routing::process::{HeadLoad, Known, ReportedSuspect, StoreEra};
use std::borrow::Cow;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Number of this gateway's latest messages whose loads are kept: those of some seconds, as a summary may include any of them.
const MAX_SENT: usize = 32;

/// Which gateways a summary covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Scope {
    /// Those of the sender's data centre.
    DataCentre,
    /// All.
    Fleet,
}

/// A gateway that takes duties for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Coordinator {
    /// Its incarnation.
    pub(crate) incarnation: u64,
    /// Its address for other gateways.
    pub(crate) addr: SocketAddr,
}

/// What a gateway says of itself as a relay, and the summaries that it sends as one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct RelayPart {
    /// The sender's share of a processor, in thousandths of a core; 0 for a gateway of a build without relays.
    pub(crate) processor: u32,
    /// Whether the sender is a relay.
    pub(crate) is_relay: bool,
    /// What gateways report together.
    pub(crate) summary: Option<(Scope, Summary)>,
    /// The relays of all data centres that are ready; of a summary of the whole fleet.
    pub(crate) coordinators: Vec<Coordinator>,
}

/// What differs between the receivers of a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EchoPart {
    /// Sequence of the receiver's message that the summary includes or, in a message to a relay, of its latest summary that the sender
    /// received; 0 for none.
    pub(crate) included: u64,
}

/// A summary as it was heard from a relay.
#[derive(Clone, Debug)]
pub(crate) struct HeardSummary {
    /// The relay.
    pub(crate) relay: String,
    /// Sequence of its message.
    pub(crate) sequence: u64,
    pub(crate) data_centre: String,
    pub(crate) scope: Scope,
    pub(crate) store_era: StoreEra,
    pub(crate) summary: Summary,
    pub(crate) coordinators: Vec<Coordinator>,
    /// Sequence of this gateway's message that it includes.
    pub(crate) included: u64,
    pub(crate) heard: Instant,
}

impl HeardSummary {
    /// Returns the summary of a message, if it has one.
    pub(crate) fn of(message: &PeerMessage, now: Instant) -> Option<HeardSummary> {
        let (scope, summary) = message.relay.summary.clone()?;
        Some(HeardSummary {
            relay: message.instance.clone(),
            sequence: message.sequence,
            data_centre: message.data_centre.clone(),
            scope,
            store_era: message.store_era,
            summary,
            coordinators: message.relay.coordinators.clone(),
            included: message.echo.included,
            heard: now,
        })
    }

    /// Returns whether it is recent enough to use.
    pub(crate) fn is_fresh(&self, now: Instant) -> bool {
        now - self.heard < SILENCE_TIMEOUT
    }
}

/// The loads of this gateway's latest messages, by sequence.
#[derive(Debug, Default)]
pub(crate) struct SentLoads(VecDeque<(u64, Vec<HeadLoad>)>);

impl SentLoads {
    /// Records a message.
    pub(crate) fn add(&mut self, sequence: u64, loads: Vec<HeadLoad>) {
        if self.0.len() >= MAX_SENT {
            self.0.pop_front();
        }
        self.0.push_back((sequence, loads));
    }

    /// Returns the loads of a message; none if it is too old.
    fn of(&self, sequence: u64) -> &[HeadLoad] {
        let sent = self.0.iter().find(|(sent, _)| *sent == sequence);
        sent.map_or(&[], |(_, loads)| loads)
    }
}

/// What one gateway, or several together, reported last.
#[derive(Clone, Copy)]
pub(crate) enum Report<'a> {
    /// A gateway.
    Peer(&'a Peer),
    /// Several.
    Summary(&'a HeardSummary, &'a SentLoads),
}

impl<'a> Report<'a> {
    /// Returns the name of the gateway that it came from.
    pub(crate) fn source(&self) -> &'a str {
        match self {
            Report::Peer(peer) => &peer.message.instance,
            Report::Summary(heard, _) => &heard.relay,
        }
    }

    /// Returns the loads of the gateways, without those of this one.
    pub(crate) fn loads(&self) -> Cow<'a, [HeadLoad]> {
        match self {
            Report::Peer(peer) => Cow::Borrowed(&peer.message.loads),
            Report::Summary(heard, sent) => {
                Cow::Owned(heard.summary.loads_without(sent.of(heard.included)))
            }
        }
    }

    /// Returns the engines that they suspect.
    pub(crate) fn suspects(&self) -> &'a [ReportedSuspect] {
        match self {
            Report::Peer(peer) => &peer.message.suspects,
            Report::Summary(heard, _) => &heard.summary.suspects,
        }
    }

    /// Returns how much they know.
    pub(crate) fn known(&self) -> Known {
        match self {
            Report::Peer(peer) => peer.message.known,
            Report::Summary(heard, _) => heard.summary.known,
        }
    }

    /// Returns the newest era of the store that they know of.
    pub(crate) fn store_era(&self) -> StoreEra {
        match self {
            Report::Peer(peer) => peer.message.store_era,
            Report::Summary(heard, _) => heard.store_era,
        }
    }

    /// Returns the time since their own data of a kind was last confirmed complete by the store.
    pub(crate) fn store_contact(&self, kind: Kind, now: Instant) -> Option<Duration> {
        let (heard, ages) = match self {
            Report::Peer(peer) => return peer.store_contact(kind, now),
            Report::Summary(heard, _) => (heard.heard, heard.summary.store_ages),
        };
        let age_ms = match kind {
            Kind::Configuration => ages.configuration_ms,
            Kind::Endpoints => ages.endpoints_ms,
            Kind::Gateways | Kind::Leads | Kind::HeldRequests | Kind::FirstGateways => None,
        };
        Some(Duration::from_millis(age_ms?.into()) + (now - heard))
    }
}

impl PeerMessage {
    /// Returns where its sender runs.
    pub(crate) fn placing(&self) -> Placing {
        Placing { data_centre: self.data_centre.clone(), processor: self.relay.processor }
    }

    /// Returns what its sender reports, in the form of a summary. `heard` is the time since its last message.
    fn summary(&self, heard: Duration) -> Summary {
        let lead = self.lead_term.map(|term| LeadReport {
            term,
            heard_ms: 0,
            view: self.view.update.clone(),
        });
        let count = GatewayCount::one(self.ready_in_ms);
        let own = Summary {
            gateways: [(self.data_centre.clone(), count)].into(),
            known: self.known,
            store_ages: StoreAges {
                configuration_ms: self.configuration_heard_ms,
                endpoints_ms: self.endpoints_heard_ms,
            },
            loads: self.loads.clone(),
            suspects: self.suspects.clone(),
            leaving: self.leaving.clone(),
            ended: self.ended.clone(),
            left: self.left.clone(),
            left_before_era: self.left_before_era.clone(),
            lead,
            crashes: self.extension.crashes.clone(),
            limits: self.extension.limits.clone(),
        };
        Summary::merged([(&own, heard)])
    }
}

impl FleetState {
    /// Returns what the gateways of this data centre report together; `own` is this gateway's message.
    pub(crate) fn data_centre_summary(&self, own: &PeerMessage, now: Instant) -> Summary {
        let mut whole = own.summary(Duration::ZERO);
        for peer in self.live_peers(now) {
            if peer.message.data_centre == own.data_centre {
                whole.add(&peer.message.summary(now - peer.last_contact), Duration::ZERO);
            }
        }
        let count = self.data_centre_count(&own.data_centre, own.ready_in_ms, now);
        whole.gateways.insert(own.data_centre.clone(), count);
        whole
    }

    /// Returns what all gateways report together, from the summary of this data centre and those of the others.
    pub(crate) fn fleet_summary(&self, own: &Summary, now: Instant) -> Summary {
        let foreign = self.foreign_summaries(now).map(|heard| (&heard.summary, now - heard.heard));
        Summary::merged([(own, Duration::ZERO)].into_iter().chain(foreign))
    }
}
