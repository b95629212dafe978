//! Route of a request through the stages of its pipeline.

use crate::id::{EndpointId, Incarnation, Layer, StageIndex};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// One incarnation of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// The address at which it accepts links.
    pub addr: SocketAddr,
    /// The incarnation of the process; it changes with each start.
    pub incarnation: Incarnation,
}

/// A half-open range of layers: `first` included, `end` excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer.
    pub first: Layer,
    /// One past the last layer.
    pub end: Layer,
}

impl LayerRange {
    /// Returns the layers from `first` up to, but not including, `end`.
    pub fn new(first: Layer, end: Layer) -> LayerRange {
        LayerRange { first, end }
    }

    /// Returns the number of layers.
    pub fn count(&self) -> usize {
        usize::from(self.end.saturating_sub(self.first))
    }
}

/// One stage of a route: an endpoint, its daemon, and the layers it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hop {
    /// The daemon that serves the endpoint.
    pub daemon: Peer,
    /// The engine.
    pub endpoint: EndpointId,
    /// The layers that the engine runs for this request.
    pub layers: LayerRange,
}

/// The stages that a request passes through, in layer order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// At least one stage.
    pub hops: Vec<Hop>,
}

impl Route {
    /// Returns the index of the last stage.
    pub fn last(&self) -> StageIndex {
        (self.hops.len() - 1) as StageIndex
    }

    /// Returns whether the stages cover layers 0 to `layers` without gaps or overlaps.
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
