//! Reports of a daemon on itself and on the endpoints that it serves.

use crate::id::{EndpointId, Layer, ModelId, Place, Revision, ServiceId};
use crate::process::orders::Holding;
use crate::request::{LayerRange, Peer};
use serde::{Deserialize, Serialize};

/// The function of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    /// An engine that holds a range of layers of a model.
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

/// Properties of an engine that the planner of its layers needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOffer {
    /// Maximum number of layers that fit into its memory.
    pub capacity: Layer,
    /// Layers per second that it runs, for one token each; only the ratio to other engines matters.
    pub speed: u32,
    /// The layers that it is loading; it serves none meanwhile.
    pub loads: Option<Holding>,
}

/// The report of a daemon on one of its endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointFact {
    /// Its name.
    pub id: EndpointId,
    /// Its function.
    pub role: Role,
    /// Waiting and running work, in steps or calls.
    pub load: u32,
    /// Maximum number of steps or calls that run at a time.
    pub slots: u32,
    /// Properties for planning; none for endpoints that take no orders.
    pub engine: Option<EngineOffer>,
}

impl EndpointFact {
    /// Returns whether both are equal except for the load, which changes all the time.
    pub fn is_same_but_for_load(&self, other: &EndpointFact) -> bool {
        let EndpointFact { id, role, load: _, slots, engine } = self;
        *id == other.id && *role == other.role && *slots == other.slots && *engine == other.engine
    }
}

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Liveness {
    /// Takes new work.
    Live,
    /// Finishes its current work and takes no new work.
    Leaving,
    /// Has ended.
    Gone,
}

/// The role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DaemonRole {
    /// Takes requests of callers.
    Entry,
    /// Runs next to endpoints and serves them.
    Beside,
}

/// A link that is slower than usual, as measured by its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DegradedLink {
    /// The place at the other end.
    pub to: Place,
    /// Slowdown relative to the usual speed.
    pub factor: u16,
}

/// The report of a daemon on itself; a higher counter supersedes lower ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceFact {
    /// The process.
    pub peer: Peer,
    /// Its place.
    pub place: Place,
    /// Its role.
    pub role: DaemonRole,
    /// Orders the incarnations at one address: the one with the highest generation listens there now.
    pub generation: u64,
    /// Increases with each change within the incarnation.
    pub counter: u64,
    /// The counter at which role, place, endpoints or degraded links last changed.
    pub profile: u64,
    /// Its state.
    pub liveness: Liveness,
    /// Configuration up to this revision of the store is in force there.
    pub applied: Revision,
    /// The endpoints that it serves.
    pub endpoints: Vec<EndpointFact>,
    /// Its links that are slower than usual.
    pub degraded: Vec<DegradedLink>,
}
