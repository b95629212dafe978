//! The datagrams that gateways send each other.

use super::relay_part::{EchoPart, RelayPart};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sorrellock_routing::process::crashes::{CrashDigest, CrashReports};
use sorrellock_routing::process::lead_view::{EngineView, ViewMark, ViewUpdate};
use sorrellock_routing::process::limits::LimitReport;
use sorrellock_routing::process::{
    EndedIncarnation, HeadLoad, Incarnation, Known, ReportedSuspect, Revision, StoreEra,
};

/// Format version of the messages; other versions can't be decoded. Raise it with every change of the fields.
const FORMAT: u8 = 3;

/// Why a message can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unreadable {
    /// The sender uses this other format version.
    Format(u8),
    /// The bytes are not a valid message.
    Malformed,
}

/// The state that a gateway sends to all others several times a second. Each message replaces the sender's
/// previous one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct PeerMessage {
    /// The sender's instance.
    pub(crate) instance: String,
    /// Random number drawn when the sender starts, which distinguishes its restarts.
    pub(crate) incarnation: u64,
    /// The sender's data centre.
    pub(crate) data_centre: String,
    /// Milliseconds until the sender, or its successor, is expected to be ready; 0 if it is ready.
    pub(crate) ready_in_ms: u32,
    /// Increases with each message of an incarnation.
    pub(crate) sequence: u64,
    /// The newest era of the store that the sender knows of.
    pub(crate) store_era: StoreEra,
    /// Version of the configuration that the sender has in force, 0 for none, and revision up to which it knows the
    /// endpoints.
    pub(crate) known: Known,
    /// Milliseconds since the sender's own data of the configuration was last confirmed complete by the store.
    pub(crate) configuration_heard_ms: Option<u32>,
    /// The same for the endpoints.
    pub(crate) endpoints_heard_ms: Option<u32>,
    /// Load of the sender's streams, by the first engine of their path.
    pub(crate) loads: Vec<HeadLoad>,
    /// Engines that the sender suspects to be dead or unreachable, by its own evidence.
    pub(crate) suspects: Vec<ReportedSuspect>,
    /// Endpoints that reported to the sender itself that they accept no more requests.
    pub(crate) leaving: Vec<Incarnation>,
    /// Incarnations whose end the sender found recently, by an answer of a later incarnation.
    pub(crate) ended: Vec<EndedIncarnation>,
    /// Endpoints without an entry that recently reported to the sender that they are leaving.
    pub(crate) left: Vec<Incarnation>,
    /// Endpoints that had left before the era of the sender's endpoint list began.
    pub(crate) left_before_era: Vec<Incarnation>,
    /// The sender's term, if it is the lead.
    pub(crate) lead_term: Option<Revision>,
    /// The lead's view, if the sender is a lead of the build before.
    pub(crate) lead: Option<LeadView>,
    /// Encoded after all other fields.
    #[serde(skip)]
    pub(crate) extension: Extension,
    /// Encoded after the extension.
    #[serde(skip)]
    pub(crate) view: ViewPart,
    /// Encoded after the view.
    #[serde(skip)]
    pub(crate) capacity: CapacityPart,
    /// Encoded after the capacity.
    #[serde(skip)]
    pub(crate) relay: RelayPart,
    /// Encoded last, as it differs between receivers.
    #[serde(skip)]
    pub(crate) echo: EchoPart,
}

/// Fields that follow those of the format version. Gateways that don't know them skip them, and those that do read
/// messages without them, so that both understand each other during an upgrade. Further fields belong into a part of
/// their own after this one: a part is read whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Extension {
    /// What the sender found recently of requests that crash endpoints.
    pub(crate) crashes: CrashReports,
    /// Summary of what the sender knows of such requests.
    pub(crate) crash_digest: Option<CrashDigest>,
    /// Limits that endpoints named to the sender itself, or withdrew.
    pub(crate) limits: Vec<LimitReport>,
}

/// What the sender has of the lead's view of the engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ViewPart {
    /// The state of its copy.
    pub(crate) mark: ViewMark,
    /// The latest changes, if the sender is the lead.
    pub(crate) update: Option<ViewUpdate>,
}

/// What the sender took of the capacity that other gateways give out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct CapacityPart {
    /// The last grant that the sender's loads include, of each keeper.
    pub(crate) taken: Vec<TakenGrant>,
}

/// The last grant of a keeper that a gateway took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TakenGrant {
    /// The gateway that granted it.
    pub(crate) keeper: u64,
    /// Its number.
    pub(crate) number: u64,
}

impl PeerMessage {
    /// Encodes the message without its last part, after a byte for the format version.
    pub(crate) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let buf = postcard::to_extend(self, vec![FORMAT])?;
        let buf = postcard::to_extend(&self.extension, buf)?;
        let buf = postcard::to_extend(&self.view, buf)?;
        let buf = postcard::to_extend(&self.capacity, buf)?;
        postcard::to_extend(&self.relay, buf)
    }

    /// Adds the last part to an encoded message.
    pub(crate) fn with_echo(buf: &[u8], echo: EchoPart) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(&echo, buf.to_vec())
    }

    /// Decodes a message.
    pub(crate) fn decode(buf: &[u8]) -> Result<PeerMessage, Unreadable> {
        let (format, message) = buf.split_first().ok_or(Unreadable::Malformed)?;
        if *format != FORMAT {
            return Err(Unreadable::Format(*format));
        }
        let (message, rest) =
            postcard::take_from_bytes(message).map_err(|_| Unreadable::Malformed)?;
        let (extension, rest) = take_part(rest)?;
        let (view, rest) = take_part(rest)?;
        let (capacity, rest) = take_part(rest)?;
        let (relay, rest) = take_part(rest)?;
        let (echo, _) = take_part(rest)?;
        Ok(PeerMessage { extension, view, capacity, relay, echo, ..message })
    }
}

/// Decodes a part that gateways of earlier builds don't send.
fn take_part<T: Default + DeserializeOwned>(buf: &[u8]) -> Result<(T, &[u8]), Unreadable> {
    if buf.is_empty() {
        return Ok((T::default(), buf));
    }
    postcard::take_from_bytes(buf).map_err(|_| Unreadable::Malformed)
}

/// The whole view of a lead of the build before, in place of [`ViewPart`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeadView {
    /// Revision of the lead's object in the store: the highest one wins.
    pub(crate) term: Revision,
    /// The engines.
    pub(crate) engines: Vec<EngineView>,
}
