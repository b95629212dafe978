//! The path of a request through the stages of its pipeline.

use crate::id::{EndpointId, Incarnation, Layer, StageIndex};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A process of the system, at one incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Where it listens for links.
    pub addr: SocketAddr,
    /// Which start of the process this is.
    pub incarnation: Incarnation,
}

/// A run of layers: `first` included, `end` excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer.
    pub first: Layer,
    /// One past the last layer.
    pub end: Layer,
}

impl LayerRange {
    /// The layers from `first` up to and without `end`.
    pub fn new(first: Layer, end: Layer) -> LayerRange {
        LayerRange { first, end }
    }

    /// How many layers there are.
    pub fn count(&self) -> usize {
        usize::from(self.end.saturating_sub(self.first))
    }
}

/// One stage of a route: an endpoint, its daemon, and the layers it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The daemon beside the endpoint.
    pub daemon: Peer,
    /// The engine.
    pub endpoint: EndpointId,
    /// The layers that it runs for this request.
    pub layers: LayerRange,
}

/// The stages that a request passes, in order of layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// At least one stage.
    pub hops: Vec<Hop>,
}

impl Route {
    /// Index of the last stage.
    pub fn last(&self) -> StageIndex {
        (self.hops.len() - 1) as StageIndex
    }

    /// Whether the layers of the stages follow each other from 0 to `layers` without gap or overlap.
    pub fn covers(&self, layers: Layer) -> bool {
        let mut next = 0;
        for hop in &self.hops {
            if hop.layers.first != next || hop.layers.end <= next {
                return false;
            }
            next = hop.layers.end;
        }
        next == layers
    }
}
