//! The next step from the layers that are held to those that are planned.

use crate::process::placement::Placement;
use crate::process::{Incarnation, LayerRange};
use std::collections::BTreeMap;

/// What an engine holds while layers move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holding {
    /// The layers that it can run now.
    pub ready: LayerRange,
    /// The most layers that it may hold for a while.
    pub max_layers: u32,
    /// An order is under way: it takes no other.
    pub is_busy: bool,
}

/// What one engine is to hold next.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The engine, in the incarnation that takes the order.
    pub incarnation: Incarnation,
    /// Requests wait for it: no whole chain exists.
    pub is_urgent: bool,
    /// The layers to order.
    pub layers: LayerRange,
    /// Layers are given up that requests use: these must stop to do so first.
    pub gives_up: bool,
}

/// The orders that bring the engines of a data centre nearer to the plan now. Layers are given up
/// once another engine runs them, unless they are of no use as no whole chain exists. `is_idle`: no
/// streams pass through the chain.
pub fn next_steps(
    plan: &Placement,
    holdings: &BTreeMap<Incarnation, Holding>,
    layers: u32,
    is_idle: bool,
) -> Vec<Step> {
    let is_served = (0..layers).all(|layer| holders_of(holdings, layer).next().is_some());
    let mut steps = Vec::new();
    for (incarnation, want) in plan {
        let Some(holding) = holdings.get(incarnation) else { continue };
        if holding.is_busy || holding.ready == *want {
            continue;
        }
        let next = match is_served {
            true => careful(incarnation, *want, holding, holdings, plan),
            false if is_idle => Some(*want),
            false => Some(growing(*want, holding)),
        };
        let Some(next) = next.filter(|next| *next != holding.ready) else { continue };
        let gives_up = is_served && holding.ready.overlap(next) < holding.ready.len();
        steps.push(Step {
            incarnation: incarnation.clone(),
            is_urgent: !is_served,
            layers: next,
            gives_up,
        });
    }
    steps
}

/// What an engine takes while requests wait: it keeps what it holds if that fits, as giving layers
/// up takes seconds.
fn growing(want: LayerRange, holding: &Holding) -> LayerRange {
    let both = holding.ready.hull(want);
    if both.len() <= holding.max_layers { both } else { want }
}

/// What an engine may hold next without taking a layer away that only it runs.
fn careful(
    incarnation: &Incarnation,
    want: LayerRange,
    holding: &Holding,
    holdings: &BTreeMap<Incarnation, Holding>,
    plan: &Placement,
) -> Option<LayerRange> {
    // Another that holds the layer but is to give it up as well is no reason to give it up.
    let stays = |layer: u32| {
        let mut others = holders_of(holdings, layer).filter(|other| *other != incarnation);
        others.any(|other| plan.get(other).is_some_and(|range| range.contains(layer)))
    };
    let must_keep = |layer: &u32| want.contains(*layer) || !stays(*layer);
    let kept: Vec<u32> = (holding.ready.from..holding.ready.to).filter(must_keep).collect();
    let kept = match (kept.first(), kept.last()) {
        (Some(first), Some(last)) => LayerRange::new(*first, last + 1),
        _ => return Some(want),
    };
    if kept.hull(want) == want {
        return Some(want);
    }
    let both = holding.ready.hull(want);
    if both.len() <= holding.max_layers {
        return Some(both);
    }
    let least = kept.hull(want);
    if least.len() <= holding.max_layers {
        return Some(least);
    }
    grown_in_part(kept, want, holding.max_layers)
}

/// As many layers towards `want` beside `kept` as fit; nothing if none does.
fn grown_in_part(kept: LayerRange, want: LayerRange, most: u32) -> Option<LayerRange> {
    let free = most.saturating_sub(kept.len());
    let down = kept.from.saturating_sub(want.from).min(free);
    let up = want.to.saturating_sub(kept.to).min(free - down);
    (down + up > 0).then(|| LayerRange::new(kept.from - down, kept.to + up))
}

fn holders_of(
    holdings: &BTreeMap<Incarnation, Holding>,
    layer: u32,
) -> impl Iterator<Item = &Incarnation> {
    let holds = move |held: &&Holding| held.ready.contains(layer);
    holdings.iter().filter(move |(_, held)| holds(held)).map(|(incarnation, _)| incarnation)
}
