//! Search for the cheapest route over all stages.

use crate::id::{Layer, Place};
use crate::request::{Candidate, LinkCosts, Route};
use rand::{Rng, RngExt};

/// Largest share by which an engine's cost is raised at random. Engines whose costs differ by no more
/// than this count as nearly equal, and the choice among them is random.
pub const COST_JITTER: f64 = 0.1;

/// Chooses the cheapest route from `start` through engines that together hold layers 0 to
/// `layers`, and back to `start`. The cost is that of the engines and of the links between them.
///
/// Each engine's cost is raised by a random share below [`COST_JITTER`], so that entries with the same
/// information don't all choose the same route. Returns `None` if no chain of candidates covers the layers.
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
        let cost = candidates[index].cost_us() * (1.0 + COST_JITTER * rng.random::<f64>());
        search.relax(index, cost);
    }
    search.route()
}

/// Returns the cost of a route without jitter, in microseconds.
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

/// Cost of the cheapest chain that ends at a layer, including the link to the next place, and the
/// index of its last engine.
type Cheapest = Option<(f64, Option<usize>)>;

/// Dynamic programming over layers: keeps the cheapest chain for each end layer and next place.
struct Search<'a> {
    candidates: &'a [Candidate],
    links: &'a LinkCosts,
    places: Vec<&'a Place>,
    /// Index of each candidate's place.
    place_of: Vec<usize>,
    /// Cost between places, by their indices.
    between: Vec<Vec<f64>>,
    /// Indexed by end layer and next place.
    cheapest: Vec<Vec<Cheapest>>,
    /// For each candidate, its predecessor in the cheapest chain.
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

    /// Updates the cheapest chains with a candidate of this cost. Candidates must be passed in order of
    /// their first layer.
    fn relax(&mut self, index: usize, cost: f64) {
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
            if slot.is_none_or(|(min_cost, _)| total < min_cost) {
                *slot = Some((total, Some(index)));
            }
        }
    }

    /// Returns the cheapest chain that ends at the last layer and leads back to the start.
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
