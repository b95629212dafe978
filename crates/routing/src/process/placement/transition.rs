//! The next steps from the current layers of engines to the planned ones.

use crate::process::placement::Placement;
use crate::process::{Incarnation, LayerRange};
use std::collections::BTreeMap;

/// The layers of an engine during a transition.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holding {
    /// The layers that it can run.
    pub ready: LayerRange,
    /// Maximum number of layers that it may hold temporarily.
    pub max_layers: u32,
    /// Whether it is executing an order, and accepts no other.
    pub is_busy: bool,
}

/// The next order for an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// The engine, in the incarnation that receives the order.
    pub incarnation: Incarnation,
    /// Whether requests wait for it, as no complete chain exists.
    pub is_urgent: bool,
    /// The layers to order.
    pub layers: LayerRange,
    /// Whether it releases layers in use: requests must stop using them first.
    pub releases_layers: bool,
}

/// Returns the orders to issue now to bring the engines of a data centre closer to the plan. Layers are
/// released only after another engine runs them, unless they are of no use because no complete chain
/// exists. `is_idle` states that no streams pass through the chain.
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
            true => next_when_served(incarnation, *want, holding, holdings, plan),
            false if is_idle => Some(*want),
            false => Some(next_when_unserved(*want, holding)),
        };
        let Some(next) = next.filter(|next| *next != holding.ready) else { continue };
        let releases_layers = is_served && holding.ready.overlap(next) < holding.ready.len();
        steps.push(Step {
            incarnation: incarnation.clone(),
            is_urgent: !is_served,
            layers: next,
            releases_layers,
        });
    }
    steps
}

/// Returns the layers of an engine while requests wait: it keeps its current ones if all fit, as
/// releasing layers takes seconds.
fn next_when_unserved(want: LayerRange, holding: &Holding) -> LayerRange {
    let both = holding.ready.hull(want);
    if both.len() <= holding.max_layers { both } else { want }
}

/// Returns the layers that an engine may hold next without releasing one that no other engine keeps.
fn next_when_served(
    incarnation: &Incarnation,
    want: LayerRange,
    holding: &Holding,
    holdings: &BTreeMap<Incarnation, Holding>,
    plan: &Placement,
) -> Option<LayerRange> {
    // Other holders count only if the plan lets them keep the layer.
    let is_kept_elsewhere = |layer: u32| {
        let mut others = holders_of(holdings, layer).filter(|other| *other != incarnation);
        others.any(|other| plan.get(other).is_some_and(|range| range.contains(layer)))
    };
    let must_keep = |layer: &u32| want.contains(*layer) || !is_kept_elsewhere(*layer);
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
    let minimal = kept.hull(want);
    if minimal.len() <= holding.max_layers {
        return Some(minimal);
    }
    extend_partially(kept, want, holding.max_layers)
}

/// Extends `kept` by as many layers towards `want` as fit. Returns `None` if none does.
fn extend_partially(kept: LayerRange, want: LayerRange, max_layers: u32) -> Option<LayerRange> {
    let free = max_layers.saturating_sub(kept.len());
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
