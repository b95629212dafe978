//! An engine that a route may pass.

use crate::id::{EndpointId, Place};
use crate::request::{Hop, LayerRange, Peer};

/// Cost of a stage that has nothing to do, in microseconds: about the time of a step.
const STEP_US: f64 = 4_000.0;

/// Requests in progress at an engine: as reported a while ago, corrected by how the entry's own
/// have changed since.
pub fn expected_load(reported: u32, own: u32, own_at_report: u32) -> u32 {
    (reported + own).saturating_sub(own_at_report).max(own)
}

/// An engine that a route may pass.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The daemon beside it.
    pub daemon: Peer,
    /// The place of the daemon.
    pub place: Place,
    /// The engine.
    pub endpoint: EndpointId,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// Requests in progress there; less goes first.
    pub load: u32,
    /// How many of them it takes at a time.
    pub slots: u32,
}

impl Candidate {
    /// Cost of passing it, in microseconds: a step, and the wait behind what is in progress.
    pub fn cost_us(&self) -> f64 {
        STEP_US * (1.0 + f64::from(self.load) / f64::from(self.slots.max(1)))
    }

    /// It as a stage of a route.
    pub fn hop(&self) -> Hop {
        Hop { daemon: self.daemon, endpoint: self.endpoint.clone(), layers: self.layers }
    }
}
