//! What a daemon tells of the endpoints that it serves.

use crate::id::{EndpointId, Layer, ModelId, Place, Revision, ServiceId};
use crate::process::orders::Holding;
use crate::request::{LayerRange, Peer};
use serde::{Deserialize, Serialize};

/// What an endpoint can do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// An engine that holds some layers of a model.
    Engine {
        /// The model.
        model: ModelId,
        /// The layers.
        layers: LayerRange,
    },
    /// An instance of a plain service.
    Service {
        /// The service.
        service: ServiceId,
    },
}

/// What an engine has for whoever plans which layers it is to hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOffer {
    /// The most layers that its memory takes.
    pub capacity: Layer,
    /// Layers that it runs a second, for one token each; only the ratio to other engines counts.
    pub speed: u32,
    /// The layers that it is to hold next; it serves none meanwhile.
    pub loads: Option<Holding>,
}

/// One endpoint, as its daemon tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFact {
    /// Its name.
    pub id: EndpointId,
    /// What it can do.
    pub role: Role,
    /// Work waiting or running there, in steps or calls.
    pub load: u32,
    /// How much of it runs at a time.
    pub slots: u32,
    /// What it has for planning; none for what takes no orders.
    pub engine: Option<EngineOffer>,
}

impl EndpointFact {
    /// Whether both tell the same but for their load, which changes all the time.
    pub fn is_same_but_for_load(&self, other: &EndpointFact) -> bool {
        let EndpointFact { id, role, load: _, slots, engine } = self;
        *id == other.id && *role == other.role && *slots == other.slots && *engine == other.engine
    }
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Liveness {
    /// Takes work.
    Live,
    /// Finishes what it has, and takes no new work.
    Leaving,
    /// Is no more.
    Gone,
}

/// What a daemon does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DaemonRole {
    /// It takes callers' requests.
    Entry,
    /// It stands beside endpoints.
    Beside,
}

/// A link that is slower than it should be, as its sender measured it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DegradedLink {
    /// Where it leads.
    pub to: Place,
    /// How many times slower it is than usual.
    pub factor: u16,
}

/// What a daemon tells of itself; a higher counter supersedes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceFact {
    /// The process.
    pub peer: Peer,
    /// Its place.
    pub place: Place,
    /// What it does.
    pub role: DaemonRole,
    /// Orders the incarnations that listened at one address: the higher one is there now.
    pub generation: u64,
    /// Grows with each change within the incarnation.
    pub counter: u64,
    /// The counter at which role, place, endpoints or degraded links last changed.
    pub profile: u64,
    /// Its state.
    pub liveness: Liveness,
    /// All configuration up to this revision of the store is in force there.
    pub applied: Revision,
    /// The endpoints that it serves.
    pub endpoints: Vec<EndpointFact>,
    /// Its links that are slower than they should be.
    pub degraded: Vec<DegradedLink>,
}
