//! Fixtures shared by the tests of the gateway's decisions.
#![allow(dead_code)]

use sorrellock_routing::process::placement::PlannedEngine;
use sorrellock_routing::process::{Endpoint, Holder, Incarnation, LayerRange, StartMillis};
use sorrellock_routing::version::{Card, ModelShape};
use std::time::Duration;

/// Returns the incarnation of an engine that is known by its id alone.
pub fn incarnation(id: &str) -> Incarnation {
    Incarnation::new(id, None)
}

/// Returns an endpoint that is ready, in an incarnation.
pub fn endpoint(id: &str, started: Option<StartMillis>) -> Endpoint {
    Endpoint {
        id: id.into(),
        started,
        service: "lexis".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        data_centre: "north".into(),
        is_leaving: false,
        card: None,
        layers: LayerRange::default(),
        slots: 6,
    }
}

/// Returns a model of `layers` layers of 1,750 MB, with four kinds of accelerators.
pub fn shape(layers: u32) -> ModelShape {
    let card = |name: &str, memory_mb: f64, step_factor: f64| Card {
        name: name.into(),
        memory_mb,
        step_factor,
        prefill_factor: step_factor,
    };
    ModelShape {
        layers,
        layer_mb: 1_750.0,
        kv_token_bytes: 590_000.0,
        usual_prompt: 772.0,
        usual_answer: 174.0,
        step_ms: 0.85,
        step_ms_per_request: 0.004,
        step_ms_per_context_k: 0.005,
        load_time: Duration::from_secs(14),
        loads_at_once: 6,
        slots: 192,
        cards: vec![
            card("h100", 72_000.0, 1.4),
            card("a100", 36_000.0, 3.1),
            card("l4", 21_600.0, 16.0),
            card("t4", 14_400.0, 15.0),
        ],
    }
}

/// Returns an engine with accelerator `card` that holds `from..to`.
pub fn engine(shape: &ModelShape, id: &str, card: &str, from: u32, to: u32) -> PlannedEngine {
    let card = shape.card(card).expect("the kind is one of the shape's");
    PlannedEngine {
        incarnation: incarnation(id),
        memory_mb: card.memory_mb,
        step_factor: card.step_factor,
        held: LayerRange::new(from, to),
        is_pinned: false,
        chain: None,
    }
}

/// Returns empty engines, the given number of each kind.
pub fn empty_engines(shape: &ModelShape, counts: &[(&str, usize)]) -> Vec<PlannedEngine> {
    let each = |(card, count): &(&str, usize)| {
        let card = (*card).to_owned();
        (0..*count).map(move |index| (format!("{card}-{index}"), card.clone())).collect::<Vec<_>>()
    };
    let named = counts.iter().flat_map(each);
    named.map(|(id, card)| engine(shape, &id, &card, 0, 0)).collect()
}

/// Returns a holder of `from..to` in a data centre.
pub fn holder(id: &str, data_centre: &str, from: u32, to: u32, layer_cost: f64) -> Holder {
    Holder {
        incarnation: incarnation(id),
        addr: "127.0.0.1:1".parse().expect("an address"),
        data_centre: data_centre.into(),
        layers: LayerRange::new(from, to),
        layer_cost,
        kv_capacity: 10_000.0,
    }
}
