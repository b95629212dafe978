//! Endpoints as their list tells of them.

use crate::process::{Incarnation, StartMillis};
use crate::version::ServiceName;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Id of an endpoint. A restart may keep it: [`Incarnation`] tells incarnations apart.
pub type EndpointId = String;
/// Name of a data centre.
pub type DataCentre = String;
/// Counts the orders that an engine has begun since its start.
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
    /// Layers `from..to`; empty where `to` isn't above `from`. Empty ranges are all equal.
    pub fn new(from: u32, to: u32) -> LayerRange {
        if to > from { LayerRange { from, to } } else { LayerRange::default() }
    }

    /// How many layers.
    pub fn len(self) -> u32 {
        self.to - self.from
    }

    /// Whether there is none.
    pub fn is_empty(self) -> bool {
        self.to == self.from
    }

    /// Whether `layer` is one of them.
    pub fn contains(self, layer: u32) -> bool {
        (self.from..self.to).contains(&layer)
    }

    /// The layers that are in both.
    pub fn intersection(self, other: LayerRange) -> LayerRange {
        LayerRange::new(self.from.max(other.from), self.to.min(other.to))
    }

    /// How many layers are in both.
    pub fn overlap(self, other: LayerRange) -> u32 {
        self.intersection(other).len()
    }

    /// The smallest range over both; an empty one adds nothing.
    pub fn hull(self, other: LayerRange) -> LayerRange {
        match (self.is_empty(), other.is_empty()) {
            (true, _) => other,
            (_, true) => self,
            _ => LayerRange::new(self.from.min(other.from), self.to.max(other.to)),
        }
    }
}

/// One lifetime of an endpoint, as the list tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Its id.
    pub id: EndpointId,
    /// When it started; none where the platform doesn't tell.
    pub started: Option<StartMillis>,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Leaving: takes no new work.
    pub is_leaving: bool,
    /// Its accelerator, for engines.
    pub card: Option<String>,
    /// The layers that it holds, for engines.
    pub layers: LayerRange,
    /// Requests that it runs at once.
    pub slots: u32,
}

impl Endpoint {
    /// The incarnation that the list tells of.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(self.id.clone(), self.started)
    }
}
