//! Endpoints as described by the endpoint list.

use crate::process::{Incarnation, StartMillis};
use crate::version::ServiceName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Id of an endpoint. A restart may keep it: an [`Incarnation`] identifies one start.
pub type EndpointId = String;
/// Name of a data centre.
pub type DataCentre = String;
/// Number of orders that an engine has begun since its start.
pub type OrderSequence = u64;

/// Layers `from..to` of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LayerRange {
    /// The first layer.
    pub from: u32,
    /// One past the last layer.
    pub to: u32,
}

impl LayerRange {
    /// Returns the layers `from..to`, or an empty range if `to` isn't above `from`. Empty ranges are all equal.
    pub fn new(from: u32, to: u32) -> LayerRange {
        if to > from { LayerRange { from, to } } else { LayerRange::default() }
    }

    /// Returns the number of layers.
    pub fn len(self) -> u32 {
        self.to - self.from
    }

    /// Returns whether the range is empty.
    pub fn is_empty(self) -> bool {
        self.to == self.from
    }

    /// Returns whether the range contains `layer`.
    pub fn contains(self, layer: u32) -> bool {
        (self.from..self.to).contains(&layer)
    }

    /// Returns the layers that are in both ranges.
    pub fn intersection(self, other: LayerRange) -> LayerRange {
        LayerRange::new(self.from.max(other.from), self.to.min(other.to))
    }

    /// Returns how many layers are in both ranges.
    pub fn overlap(self, other: LayerRange) -> u32 {
        self.intersection(other).len()
    }

    /// Returns the smallest range that contains both; an empty range adds nothing.
    pub fn hull(self, other: LayerRange) -> LayerRange {
        match (self.is_empty(), other.is_empty()) {
            (true, _) => other,
            (_, true) => self,
            _ => LayerRange::new(self.from.min(other.from), self.to.max(other.to)),
        }
    }
}

/// One incarnation of an endpoint, as described by the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// When it started; none if the platform doesn't report it.
    pub started: Option<StartMillis>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it is leaving and takes no new work.
    pub is_leaving: bool,
    /// Name of its accelerator, for engines.
    pub card: Option<String>,
    /// The layers that it holds, for engines.
    pub layers: LayerRange,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

impl Endpoint {
    /// Returns the incarnation that the entry describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.id.clone(), self.started)
    }
}
