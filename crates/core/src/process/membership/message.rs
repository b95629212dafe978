//! What members tell each other. Each message has a bound in bytes.

use crate::id::{Incarnation, Place, Revision};
use crate::process::membership::{Member, Standing};
use crate::process::{EngineOffer, InstanceFact, Liveness, Role};
use crate::request::Peer;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The most bytes of gossip that ride on a probe, encoded.
pub const MAX_GOSSIP_BYTES: usize = 1_100;
/// The most bytes of gossip in an answer to a digest or a wish, encoded.
pub const MAX_SYNC_BYTES: usize = 8_000;
/// The most bytes that any message adds to its gossip, encoded.
pub const MAX_HEAD_BYTES: usize = 900;
/// The most incarnations that one message asks for.
pub const MAX_WANTED: usize = 64;
/// Buckets of a digest.
pub const DIGEST_BUCKETS: usize = 32;
/// The most places whose pulses are remembered and passed on.
pub const MAX_PLACES: usize = 16;
/// The longest name of a place that is passed on, in bytes.
pub const MAX_PLACE_BYTES: usize = 32;

/// What often changes of an instance, without the rest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brief {
    /// The instance.
    pub incarnation: Incarnation,
    /// Its profile, as numbered in its fact; the rest is known to whoever knows this profile.
    pub profile: u64,
    /// The counter of its fact.
    pub counter: u64,
    /// Its state.
    pub liveness: Liveness,
    /// What others hold of that.
    pub standing: Standing,
    /// All configuration up to this revision is in force there.
    pub applied: Revision,
    /// Load of its endpoints, in their order.
    pub loads: Vec<u32>,
}

impl Brief {
    /// What often changes of `member`.
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

    /// `known` with what this tells, if it is of the same profile.
    pub fn onto(&self, known: &Member) -> Option<Member> {
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

/// What is told of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumor {
    /// All of it.
    Whole(Member),
    /// What often changes.
    Brief(Brief),
}

impl Rumor {
    /// The instance that it is about.
    pub fn incarnation(&self) -> Incarnation {
        match self {
            Rumor::Whole(member) => member.incarnation(),
            Rumor::Brief(brief) => brief.incarnation,
        }
    }

    /// What orders two rumors on one incarnation: the later is higher.
    pub fn rank(&self) -> (u64, Standing) {
        match self {
            Rumor::Whole(member) => member.rank(),
            Rumor::Brief(brief) => (brief.counter, brief.standing),
        }
    }

    /// The most bytes that it takes, encoded.
    pub fn size(&self) -> usize {
        match self {
            Rumor::Whole(member) => 1 + 1 + fact_size(&member.fact),
            Rumor::Brief(brief) => 1 + brief_size(brief),
        }
    }
}

/// Rumors and pulses that ride on a message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// What is told of members.
    pub rumors: Vec<Rumor>,
    /// The highest pulse seen of each place.
    pub pulses: Vec<(Place, u64)>,
}

/// Hashes of the present members, by bucket.
pub type Digest = Vec<u32>;

/// Messages of membership. They are meant for whoever listens at the address.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Asks for an [`Ack`](FleetMessage::Ack).
    Ping {
        /// Drawn by the sender, to tell answers apart.
        number: u64,
        /// What rides along.
        gossip: Gossip,
    },
    /// Answers a ping, or passes the answer to one made for another.
    Ack {
        /// The number of the ping.
        number: u64,
        /// Who answered.
        of: Peer,
        /// What rides along.
        gossip: Gossip,
    },
    /// Asks the receiver to ping a third process and to pass its answer on.
    PingFor {
        /// Drawn by the sender, to tell answers apart.
        number: u64,
        /// Whom to ping.
        target: SocketAddr,
        /// What rides along.
        gossip: Gossip,
    },
    /// Asks for what differs.
    Digest {
        /// Of the sender's members.
        digest: Digest,
        /// What rides along.
        gossip: Gossip,
    },
    /// Answers a digest that differs, with what the sender knows in the buckets that do.
    Differences {
        /// Of the sender's members.
        digest: Digest,
        /// Rumors of the buckets that differ.
        gossip: Gossip,
    },
    /// Asks for all that is known of some instances.
    Want {
        /// The instances.
        incarnations: Vec<Incarnation>,
    },
    /// Tells rumors and asks nothing.
    News {
        /// The rumors.
        gossip: Gossip,
    },
}

impl Gossip {
    /// The most bytes that it takes, encoded.
    pub fn size(&self) -> usize {
        let rumors: usize = self.rumors.iter().map(Rumor::size).sum();
        let pulse_size = |(place, number): &(Place, u64)| text_size(place) + number_size(*number);
        let pulses: usize = self.pulses.iter().map(pulse_size).sum();
        number_size(self.rumors.len() as u64) + rumors + 1 + pulses
    }
}

impl FleetMessage {
    /// The most bytes that it takes, encoded.
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

/// The most bytes that a number takes, encoded.
fn number_size(number: u64) -> usize {
    (64 - number.leading_zeros() as usize).div_ceil(7).max(1)
}

/// The most bytes that a text takes, encoded.
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

/// Most of an address: its kind, its bytes, its port.
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
