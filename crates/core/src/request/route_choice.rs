//! Choice of a route: an endpoint for each stage of a pipeline.

use crate::id::{EndpointId, Layer};
use crate::request::{Hop, LayerRange, Peer, Route};

/// An engine that a route may pass.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The daemon beside it.
    pub daemon: Peer,
    /// The engine.
    pub endpoint: EndpointId,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// Work in progress there; less goes first.
    pub load: u32,
}

impl Candidate {
    fn hop(&self) -> Hop {
        Hop { daemon: self.daemon, endpoint: self.endpoint.clone(), layers: self.layers }
    }
}

/// Chooses the route through the least loaded engines that together hold layers 0 to `layers`.
///
/// `None` if no chain of the candidates covers them.
pub fn choose_route(candidates: &[Candidate], layers: Layer) -> Option<Route> {
    // cheapest[l]: least load of a chain that covers the layers below l, and its last candidate.
    let mut cheapest: Vec<Option<(u64, Option<usize>)>> = vec![None; usize::from(layers) + 1];
    cheapest[0] = Some((0, None));
    for end in 1..=layers {
        for (index, candidate) in candidates.iter().enumerate() {
            if candidate.layers.end != end || candidate.layers.count() == 0 {
                continue;
            }
            let Some((before, _)) = cheapest[usize::from(candidate.layers.first)] else { continue };
            let cost = before + 1 + u64::from(candidate.load);
            let slot = &mut cheapest[usize::from(end)];
            if slot.is_none_or(|(least, _)| cost < least) {
                *slot = Some((cost, Some(index)));
            }
        }
    }
    collect_route(candidates, &cheapest, layers)
}

fn collect_route(
    candidates: &[Candidate],
    cheapest: &[Option<(u64, Option<usize>)>],
    layers: Layer,
) -> Option<Route> {
    let mut hops = Vec::new();
    let mut end = layers;
    while end > 0 {
        let (_, index) = cheapest[usize::from(end)]?;
        let candidate = &candidates[index?];
        hops.push(candidate.hop());
        end = candidate.layers.first;
    }
    hops.reverse();
    (!hops.is_empty()).then_some(Route { hops })
}
