//! Messages between members. The size of each message is bounded.

use crate::id::{Incarnation, Place, Revision};
use crate::process::membership::{Member, Standing};
use crate::process::{EngineOffer, InstanceFact, Liveness, Role};
use crate::request::Peer;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum encoded size of the gossip piggybacked on a probe, in bytes.
pub const MAX_GOSSIP_BYTES: usize = 1_100;
/// Maximum encoded size of the gossip in an answer to a digest or a `Want`, in bytes.
pub const MAX_SYNC_BYTES: usize = 8_000;
/// Maximum encoded size of a message without its gossip, in bytes.
pub const MAX_HEAD_BYTES: usize = 900;
/// Maximum number of incarnations that one message requests.
pub const MAX_WANTED: usize = 64;
/// Number of buckets of a digest.
pub const DIGEST_BUCKETS: usize = 32;
/// Maximum number of places whose pulses are remembered and passed on.
pub const MAX_PLACES: usize = 16;
/// Maximum length of the name of a place that is passed on, in bytes.
pub const MAX_PLACE_BYTES: usize = 32;

/// Holds the frequently changing part of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brief {
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// Profile number of its fact; the remaining fields are the same for the same profile.
    pub profile: u64,
    /// The counter of its fact.
    pub counter: u64,
    /// Its state.
    pub liveness: Liveness,
    /// State that the other processes assign to it.
    pub standing: Standing,
    /// Configuration up to this revision is in force there.
    pub applied: Revision,
    /// Load of its endpoints, in their order.
    pub loads: Vec<u32>,
}

impl Brief {
    /// Extracts the frequently changing part of `member`.
    pub fn new(member: &Member) -> Brief {
        let fact = &member.fact;
        Brief {
            incarnation: member.incarnation(),
            profile: fact.profile,
            counter: fact.counter,
            liveness: fact.liveness,
            standing: member.standing,
            applied: fact.applied,
            loads: fact.endpoints.iter().map(|endpoint| endpoint.load).collect(),
        }
    }

    /// Returns `known` with these values, or none if the incarnation or the profile differs.
    pub fn apply_to(&self, known: &Member) -> Option<Member> {
        if known.fact.profile != self.profile || known.incarnation() != self.incarnation {
            return None;
        }
        let mut member = known.clone();
        member.standing = self.standing;
        member.fact.counter = self.counter;
        member.fact.liveness = self.liveness;
        member.fact.applied = self.applied;
        for (endpoint, load) in member.fact.endpoints.iter_mut().zip(&self.loads) {
            endpoint.load = *load;
        }
        Some(member)
    }
}

/// A report on a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumor {
    /// The complete member.
    Whole(Member),
    /// The frequently changing part.
    Brief(Brief),
}

impl Rumor {
    /// Returns the incarnation of the member.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Rumor::Whole(member) => member.incarnation(),
            Rumor::Brief(brief) => brief.incarnation,
        }
    }

    /// Returns the order of rumors on one incarnation: the later one is higher.
    pub fn rank(&self) -> (u64, Standing) {
        match self {
            Rumor::Whole(member) => member.rank(),
            Rumor::Brief(brief) => (brief.counter, brief.standing),
        }
    }

    /// Returns an upper bound of its encoded size in bytes.
    pub fn size(&self) -> usize {
        match self {
            Rumor::Whole(member) => 1 + 1 + fact_size(&member.fact),
            Rumor::Brief(brief) => 1 + brief_size(brief),
        }
    }
}

/// Rumors and pulses piggybacked on a message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Reports on members.
    pub rumors: Vec<Rumor>,
    /// The highest pulse seen for each place.
    pub pulses: Vec<(Place, u64)>,
}

/// Hashes of the present members, by bucket.
pub type Digest = Vec<u32>;

/// Messages of membership, addressed to any process that listens at the address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Requests an [`Ack`](FleetMessage::Ack).
    Ping {
        /// Assigned by the sender, to match the answer.
        number: u64,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Answers a ping, or relays the answer to a ping that was sent on behalf of the receiver.
    Ack {
        /// The number of the ping.
        number: u64,
        /// The process that answered.
        of: Peer,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Requests that the receiver pings a third process and relays its answer.
    PingFor {
        /// Assigned by the sender, to match the answer.
        number: u64,
        /// The address to ping.
        target: SocketAddr,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Requests the members that differ.
    Digest {
        /// Digest of the sender's members.
        digest: Digest,
        /// Piggybacked gossip.
        gossip: Gossip,
    },
    /// Answers a digest with the sender's members in the buckets that differ.
    Differences {
        /// Digest of the sender's members.
        digest: Digest,
        /// Rumors on members in the buckets that differ.
        gossip: Gossip,
    },
    /// Requests the complete members of some incarnations.
    Want {
        /// The requested incarnations.
        incarnations: Vec<Incarnation>,
    },
    /// Carries gossip and requests nothing.
    News {
        /// The gossip.
        gossip: Gossip,
    },
}

impl Gossip {
    /// Returns an upper bound of its encoded size in bytes.
    pub fn size(&self) -> usize {
        let rumors: usize = self.rumors.iter().map(Rumor::size).sum();
        let pulse_size = |(place, number): &(Place, u64)| text_size(place) + number_size(*number);
        let pulses: usize = self.pulses.iter().map(pulse_size).sum();
        number_size(self.rumors.len() as u64) + rumors + 1 + pulses
    }
}

impl FleetMessage {
    /// Returns an upper bound of its encoded size in bytes.
    pub fn size(&self) -> usize {
        1 + match self {
            FleetMessage::Ping { number, gossip } => number_size(*number) + gossip.size(),
            FleetMessage::Ack { number, of, gossip } => {
                let of = ADDR_SIZE + number_size(of.incarnation);
                number_size(*number) + of + gossip.size()
            }
            FleetMessage::PingFor { number, gossip, .. } => {
                number_size(*number) + ADDR_SIZE + gossip.size()
            }
            FleetMessage::Digest { digest, gossip }
            | FleetMessage::Differences { digest, gossip } => {
                let hashes: usize = digest.iter().map(|hash| number_size(u64::from(*hash))).sum();
                number_size(digest.len() as u64) + hashes + gossip.size()
            }
            FleetMessage::Want { incarnations } => {
                let all: usize = incarnations.iter().map(|number| number_size(*number)).sum();
                number_size(incarnations.len() as u64) + all
            }
            FleetMessage::News { gossip } => gossip.size(),
        }
    }
}

/// Returns the encoded size of a number in bytes: a varint of seven bits per byte.
fn number_size(number: u64) -> usize {
    (64 - number.leading_zeros() as usize).div_ceil(7).max(1)
}

/// Returns the encoded size of a text in bytes.
fn text_size(text: &str) -> usize {
    number_size(text.len() as u64) + text.len()
}

fn brief_size(brief: &Brief) -> usize {
    let loads: usize = brief.loads.iter().map(|load| number_size(u64::from(*load))).sum();
    number_size(brief.incarnation)
        + number_size(brief.profile)
        + number_size(brief.counter)
        + 2
        + number_size(brief.applied)
        + number_size(brief.loads.len() as u64)
        + loads
}

/// Maximum encoded size of an address in bytes: kind, IP address, port.
const ADDR_SIZE: usize = 1 + 16 + 3;

fn offer_size(offer: Option<&EngineOffer>) -> usize {
    let Some(offer) = offer else { return 1 };
    let loads = offer.loads.as_ref().map_or(0, |holding| text_size(&holding.model) + 6);
    2 + 3 + number_size(u64::from(offer.speed)) + loads
}

fn fact_size(fact: &InstanceFact) -> usize {
    let endpoints: usize = fact
        .endpoints
        .iter()
        .map(|endpoint| {
            let role = match &endpoint.role {
                Role::Engine { model, .. } => text_size(model) + 6,
                Role::Service { service } => text_size(service),
            };
            let numbers =
                number_size(u64::from(endpoint.load)) + number_size(u64::from(endpoint.slots));
            text_size(&endpoint.id) + 1 + role + numbers + offer_size(endpoint.engine.as_ref())
        })
        .sum();
    let degraded: usize = fact.degraded.iter().map(|link| text_size(&link.to) + 3).sum();
    ADDR_SIZE
        + number_size(fact.peer.incarnation)
        + text_size(&fact.place)
        + 2
        + number_size(fact.generation)
        + number_size(fact.counter)
        + number_size(fact.profile)
        + number_size(fact.applied)
        + 4
        + endpoints
        + degraded
}
