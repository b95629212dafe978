//! The cheapest route over all stages.

use crate::id::{Layer, Place};
use crate::request::{Candidate, LinkCosts, Route};
use rand::{Rng, RngExt};

/// Costs of engines that differ by no more than this share count as near equals: chance decides.
pub const NEAR: f64 = 0.1;

/// Chooses the cheapest route from `start` through engines that together hold layers 0 to
/// `layers`, and back to `start`: cost of the engines and of the links between them.
///
/// Each engine's cost is raised by a random share below [`NEAR`], so that entries that know the
/// same don't all choose the same. `None` if no chain of the candidates covers the layers.
pub fn choose_route(
    candidates: &[Candidate],
    layers: Layer,
    start: &Place,
    links: &LinkCosts,
    rng: &mut impl Rng,
) -> Option<Route> {
    let mut search = Search::new(candidates, layers, start, links);
    let mut order: Vec<usize> = (0..candidates.len()).collect();
    order.sort_by_key(|index| candidates[*index].layers.first);
    for index in order {
        let cost = candidates[index].cost_us() * (1.0 + NEAR * rng.random::<f64>());
        search.pass(index, cost);
    }
    search.route()
}

/// Cost of a route without chance, in microseconds.
pub fn route_cost_us(hops: &[&Candidate], start: &Place, links: &LinkCosts) -> f64 {
    let mut cost = 0.0;
    let mut from = None;
    for hop in hops {
        cost += link_us(links, start, from, &hop.place) + hop.cost_us();
        from = Some(*hop);
    }
    cost + link_us(links, start, from, start)
}

fn link_us(links: &LinkCosts, start: &Place, from: Option<&Candidate>, to: &Place) -> f64 {
    match from {
        Some(from) => links.between_us(&from.place, to) * links.factor(from.daemon.addr, to),
        None => links.between_us(start, to),
    }
}

/// Cost of the cheapest chain that ends at a layer, link to the next place included, and its last
/// engine.
type Cheapest = Option<(f64, Option<usize>)>;

/// A search by layers: what is kept is one chain for each layer and place to go on to.
struct Search<'a> {
    candidates: &'a [Candidate],
    links: &'a LinkCosts,
    places: Vec<&'a Place>,
    /// Index of each candidate's place.
    place_of: Vec<usize>,
    /// Cost between places, by their indices.
    between: Vec<Vec<f64>>,
    /// By layer and place.
    cheapest: Vec<Vec<Cheapest>>,
    /// For each candidate, the one before it.
    before: Vec<Option<usize>>,
}

impl<'a> Search<'a> {
    fn new(
        candidates: &'a [Candidate],
        layers: Layer,
        start: &'a Place,
        links: &'a LinkCosts,
    ) -> Search<'a> {
        let mut places = vec![start];
        let mut place_of = Vec::with_capacity(candidates.len());
        for candidate in candidates {
            let known = places.iter().position(|place| **place == candidate.place);
            place_of.push(known.unwrap_or(places.len()));
            if known.is_none() {
                places.push(&candidate.place);
            }
        }
        let row = |from: &&Place| places.iter().map(|to| links.between_us(from, to)).collect();
        let between: Vec<Vec<f64>> = places.iter().map(row).collect();
        let mut cheapest = vec![vec![None; places.len()]; usize::from(layers) + 1];
        cheapest[0] = between[0].iter().map(|cost| Some((*cost, None))).collect();
        let before = vec![None; candidates.len()];
        Search { candidates, links, places, place_of, between, cheapest, before }
    }

    /// Takes a candidate of this cost into account; those with lower first layers came before.
    fn pass(&mut self, index: usize, cost: f64) {
        let candidate = &self.candidates[index];
        let (first, end) = (usize::from(candidate.layers.first), usize::from(candidate.layers.end));
        if end <= first || end >= self.cheapest.len() {
            return;
        }
        let place = self.place_of[index];
        let Some((so_far, before)) = self.cheapest[first][place] else { return };
        self.before[index] = before;
        for (to, to_name) in self.places.iter().enumerate() {
            let factor = self.links.factor(candidate.daemon.addr, to_name);
            let total = so_far + cost + self.between[place][to] * factor;
            let slot = &mut self.cheapest[end][to];
            if slot.is_none_or(|(least, _)| total < least) {
                *slot = Some((total, Some(index)));
            }
        }
    }

    /// The cheapest chain that ends at the last layer and leads back to the start.
    fn route(&self) -> Option<Route> {
        let (_, mut next) = self.cheapest.last()?[0]?;
        let mut hops = Vec::new();
        while let Some(index) = next {
            hops.push(self.candidates[index].hop());
            next = self.before[index];
        }
        hops.reverse();
        (!hops.is_empty()).then_some(Route { hops })
    }
}
