//! Chooses routes and replacement hops for one pipeline from a view of the fleet.

use crate::entry::version::FleetView;
use sorrellock_core::request::{Candidate, Hop, Route, RouteSource, choose_route};
use sorrellock_core::version::Pipeline;
use std::sync::Arc;

/// Chooses routes and replacement hops for one pipeline.
pub struct FleetRoutes<'a> {
    view: Arc<FleetView>,
    pipeline: &'a Pipeline,
}

impl<'a> FleetRoutes<'a> {
    /// Creates a source of routes over the engines of `view`.
    pub fn new(view: Arc<FleetView>, pipeline: &'a Pipeline) -> FleetRoutes<'a> {
        FleetRoutes { view, pipeline }
    }

    fn candidates(&self, without: &[Hop]) -> Vec<Candidate> {
        let mut candidates = self.view.engines(&self.pipeline.model);
        let is_excluded = |candidate: &Candidate| {
            without.iter().any(|hop| {
                hop.endpoint == candidate.endpoint || hop.daemon.addr == candidate.daemon.addr
            })
        };
        candidates.retain(|candidate| !is_excluded(candidate));
        candidates
    }
}

impl RouteSource for FleetRoutes<'_> {
    fn replacement(&self, hop: &Hop, without: &[Hop]) -> Option<Hop> {
        let candidates = self.candidates(without);
        let same_layers = candidates.iter().filter(|candidate| candidate.layers == hop.layers);
        let best = same_layers.min_by(|a, b| a.cost_us().total_cmp(&b.cost_us()))?;
        Some(Hop { daemon: best.daemon, endpoint: best.endpoint.clone(), layers: best.layers })
    }

    fn route(&self, without: &[Hop]) -> Option<Route> {
        let links = self.view.links();
        let layers = self.pipeline.layers;
        choose_route(&self.candidates(without), layers, self.view.place(), links, &mut rand::rng())
    }
}
