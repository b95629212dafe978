//! An engine that a route may use.

use crate::id::{EndpointId, Place};
use crate::request::{Hop, LayerRange, Peer};

/// Cost of an idle stage, in microseconds: about the time of one step.
const STEP_US: f64 = 4_000.0;

/// Estimates the requests in progress at an engine: the last reported number, corrected by the change
/// in the entry's own requests since that report.
pub fn expected_load(reported: u32, own: u32, own_at_report: u32) -> u32 {
    (reported + own).saturating_sub(own_at_report).max(own)
}

/// An engine that a route may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The daemon that serves the engine.
    pub daemon: Peer,
    /// The place of the daemon.
    pub place: Place,
    /// The engine.
    pub endpoint: EndpointId,
    /// The layers that the engine holds.
    pub layers: LayerRange,
    /// Requests in progress at the engine; a lower load is preferred.
    pub load: u32,
    /// Number of requests that the engine runs at a time.
    pub slots: u32,
}

impl Candidate {
    /// Returns the cost of using the engine, in microseconds: one step, and the wait behind the requests
    /// in progress.
    pub fn cost_us(&self) -> f64 {
        STEP_US * (1.0 + f64::from(self.load) / f64::from(self.slots.max(1)))
    }

    /// Returns the candidate as a stage of a route.
    pub fn hop(&self) -> Hop {
        Hop { daemon: self.daemon, endpoint: self.endpoint.clone(), layers: self.layers }
    }
}
