//! Costs of links between daemons.

use crate::id::Place;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Default costs of a link within a place and between places if nothing was measured, in microseconds.
const WITHIN_US: f64 = 50.0;
const BETWEEN_US: f64 = 500.0;

/// Link costs in microseconds: the transit time (measured, or a default), times the slowdown factor of
/// the link as reported by its sender.
#[derive(Clone, Debug, Default)]
pub struct LinkCosts {
    measured: HashMap<(Place, Place), f64>,
    degraded: HashMap<(SocketAddr, Place), f64>,
}

impl LinkCosts {
    /// Creates costs without measurements: links between places cost more than those within one.
    pub fn new() -> LinkCosts {
        LinkCosts::default()
    }

    /// Sets the measured transit time between two places, for both directions.
    pub fn measure(&mut self, a: &Place, b: &Place, transit: Duration) {
        let us = transit.as_secs_f64() * 1e6;
        self.measured.insert((a.clone(), b.clone()), us);
        self.measured.insert((b.clone(), a.clone()), us);
    }

    /// Records that the links of a daemon to a place are `factor` times slower than usual.
    pub fn degrade(&mut self, from: SocketAddr, to: &Place, factor: f64) {
        self.degraded.insert((from, to.clone()), factor);
    }

    /// Returns the cost from one place to another.
    pub fn between_us(&self, from: &Place, to: &Place) -> f64 {
        let measured = self.measured.get(&(from.clone(), to.clone()));
        measured.copied().unwrap_or(if from == to { WITHIN_US } else { BETWEEN_US })
    }

    /// Returns how many times slower than usual the links of a daemon to a place are.
    pub fn factor(&self, from: SocketAddr, to: &Place) -> f64 {
        if self.degraded.is_empty() {
            return 1.0;
        }
        self.degraded.get(&(from, to.clone())).copied().unwrap_or(1.0)
    }
}
