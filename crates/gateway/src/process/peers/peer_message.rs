//! What gateways tell each other, as datagrams.

use serde::{Deserialize, Serialize};
use sorrellock_routing::process::{
    FailureEvidence, Incarnation, Known, LayerRange, Revision, StartMillis, StoreEra,
};

/// The format of messages; another one can't be read. It rises with each change of what they hold.
const FORMAT: u8 = 3;

/// Why a message can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unreadable {
    /// Its sender is of a version with another format.
    Format(u8),
    /// It is no message.
    Malformed,
}

/// What a gateway tells all others, several times a second. The newest one replaces those before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PeerMessage {
    /// The sender's instance.
    pub(crate) instance: String,
    /// Drawn at the sender's start: tells its lifetimes apart.
    pub(crate) incarnation: u64,
    /// The sender's data centre.
    pub(crate) data_centre: String,
    /// In how many ms the sender, or its successor, is expected to be ready; 0 if it is.
    pub(crate) ready_in_ms: u32,
    /// Rises with each message of an incarnation.
    pub(crate) sequence: u64,
    /// The newest era of the store that the sender heard of.
    pub(crate) store_era: StoreEra,
    /// What the sender knows: the configuration that it has in force, 0 for none, and the endpoints.
    pub(crate) known: Known,
    /// How long ago the store last told the sender itself all that it had of the configuration.
    pub(crate) configuration_heard_ms: Option<u32>,
    /// The same of the endpoints.
    pub(crate) endpoints_heard_ms: Option<u32>,
    /// What the sender's streams take, by the first engine of their path.
    pub(crate) loads: Vec<HeadLoad>,
    /// Engines that the sender takes to be dead or cut off, by its own streams.
    pub(crate) suspects: Vec<ReportedSuspect>,
    /// Endpoints that told the sender that they take nothing more.
    pub(crate) leaving: Vec<Incarnation>,
    /// Incarnations whose end the sender found by an answer of a later one, of late.
    pub(crate) ended: Vec<EndedIncarnation>,
    /// Endpoints without an entry that told the sender that they leave, of late.
    pub(crate) left: Vec<Incarnation>,
    /// Endpoints that had left before the era in which the sender knows the endpoints.
    pub(crate) left_before_era: Vec<Incarnation>,
    /// The sender leads, with this term.
    pub(crate) lead_term: Option<Revision>,
    /// What the lead knows, where it is news or was not told for a while.
    pub(crate) lead: Option<LeadView>,
}

impl PeerMessage {
    /// As it is sent: the format first.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, vec![FORMAT])
    }

    /// Reads a message.
    pub(crate) fn decode(buf: &[u8]) -> Result<PeerMessage, Unreadable> {
        let (format, message) = buf.split_first().ok_or(Unreadable::Malformed)?;
        if *format != FORMAT {
            return Err(Unreadable::Format(*format));
        }
        postcard::from_bytes(message).map_err(|_| Unreadable::Malformed)
    }
}

/// An engine that failed the gateway that reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReportedSuspect {
    /// The engine.
    pub(crate) incarnation: Incarnation,
    pub(crate) evidence: FailureEvidence,
}

/// An incarnation of an endpoint that is over, and the one that was found in its place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EndedIncarnation {
    /// The incarnation that is over.
    pub(crate) ended: Incarnation,
    /// The start of the later one.
    pub(crate) successor: Option<StartMillis>,
}

/// What one gateway's streams take on the paths that begin at one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct HeadLoad {
    /// The first engine.
    pub(crate) head: Incarnation,
    /// Tokens reserved by the streams.
    pub(crate) tokens: u32,
    /// The streams.
    pub(crate) streams: u32,
}

/// What the lead knows of the engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeadView {
    /// Revision of the lead's object: a higher one goes before.
    pub(crate) term: Revision,
    /// The engines.
    pub(crate) engines: Vec<EngineView>,
}

/// What the lead knows of one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EngineView {
    /// The engine, in the incarnation that the lead has heard.
    pub(crate) incarnation: Incarnation,
    /// The layers that requests may use.
    pub(crate) usable: LayerRange,
    /// Its step times against those of its kind.
    pub(crate) slowness: f32,
    /// It doesn't answer the lead.
    pub(crate) is_dead: bool,
}
