//! What it costs to pass a link between two daemons.

use crate::id::Place;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Cost within a place, and between places, where nothing was measured, in microseconds.
const WITHIN_US: f64 = 50.0;
const BETWEEN_US: f64 = 500.0;

/// What it costs to pass a link, in microseconds: measured transit where there is one, times how
/// much slower than usual the link is, as its sender told.
#[derive(Clone, Debug, Default)]
pub struct LinkCosts {
    measured: HashMap<(Place, Place), f64>,
    degraded: HashMap<(SocketAddr, Place), f64>,
}

impl LinkCosts {
    /// Nothing measured: links between places cost more than those within one.
    pub fn new() -> LinkCosts {
        LinkCosts::default()
    }

    /// Transit between two places, in either direction.
    pub fn measure(&mut self, a: &Place, b: &Place, transit: Duration) {
        let us = transit.as_secs_f64() * 1e6;
        self.measured.insert((a.clone(), b.clone()), us);
        self.measured.insert((b.clone(), a.clone()), us);
    }

    /// The links of a daemon to a place are `factor` times slower than usual.
    pub fn degrade(&mut self, from: SocketAddr, to: &Place, factor: f64) {
        self.degraded.insert((from, to.clone()), factor);
    }

    /// Cost from one place to another.
    pub fn between_us(&self, from: &Place, to: &Place) -> f64 {
        let measured = self.measured.get(&(from.clone(), to.clone()));
        measured.copied().unwrap_or(if from == to { WITHIN_US } else { BETWEEN_US })
    }

    /// How many times slower than usual the links of a daemon to a place are.
    pub fn factor(&self, from: SocketAddr, to: &Place) -> f64 {
        if self.degraded.is_empty() {
            return 1.0;
        }
        self.degraded.get(&(from, to.clone())).copied().unwrap_or(1.0)
    }
}
