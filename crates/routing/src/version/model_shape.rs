//! The shape of a model and of the accelerators that hold its layers.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A kind of accelerator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Card {
    /// Its name.
    pub name: String,
    /// Memory for layers and KV cache, in MB.
    pub memory_mb: f64,
    /// Factor on the duration of a decoding step.
    pub step_factor: f64,
    /// Factor on the duration of prefill.
    pub prefill_factor: f64,
}

/// The shape of a model, as its engines run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ModelShape {
    /// Total number of layers.
    pub layers: u32,
    /// Memory of one layer's weights, in MB.
    pub layer_mb: f64,
    /// KV cache of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Mean length of a prompt, in tokens.
    pub usual_prompt: f64,
    /// Mean length of an answer, in tokens.
    pub usual_answer: f64,
    /// Duration of one decoding step over all layers at factor 1, in ms.
    pub step_ms: f64,
    /// Time that each decoding request adds to a step, in ms.
    pub step_ms_per_request: f64,
    /// Time that 1,000 tokens of context add to a step, in ms.
    pub step_ms_per_context_k: f64,
    /// Time to load all layers of the model into one engine.
    pub load_time: Duration,
    /// Number of loads that can run at once without slowing each other.
    pub loads_at_once: u32,
    /// Number of requests that an engine accepts as the first of their path.
    pub slots: u32,
    /// Kinds of accelerators.
    pub cards: Vec<Card>,
}

impl ModelShape {
    /// Returns the accelerator with this name.
    pub fn card(&self, name: &str) -> Option<&Card> {
        self.cards.iter().find(|card| card.name == name)
    }

    /// Returns the KV cache of one token in one layer, in MB.
    pub fn kv_mb_per_token_layer(&self) -> f64 {
        self.kv_token_bytes / 1e6 / f64::from(self.layers.max(1))
    }

    /// Returns the maximum number of layers that a card's memory holds, without any space for KV cache.
    pub fn max_layers(&self, card: &Card) -> u32 {
        ((card.memory_mb / self.layer_mb).floor() as u32).min(self.layers)
    }

    /// Returns the KV cache that fits beside `held` layers, in tokens times layers.
    pub fn kv_capacity(&self, card: &Card, held: u32) -> f64 {
        let free_mb = card.memory_mb - f64::from(held) * self.layer_mb;
        (free_mb / self.kv_mb_per_token_layer()).max(0.0)
    }

    /// Returns the number of tokens whose KV cache fits beside `held` layers, over the `held` layers.
    pub fn token_capacity(&self, card: &Card, held: u32) -> f64 {
        if held == 0 { 0.0 } else { self.kv_capacity(card, held) / f64::from(held) }
    }

    /// Returns the memory of all layers' weights, in MB.
    pub fn model_mb(&self) -> f64 {
        f64::from(self.layers) * self.layer_mb
    }

    /// Returns the KV cache of a mean request over all layers, in MB.
    pub fn request_mb(&self) -> f64 {
        self.kv_mb_per_token_layer() * f64::from(self.layers) * self.usual_tokens()
    }

    /// Returns the mean number of tokens of a request, prompt and answer.
    pub fn usual_tokens(&self) -> f64 {
        self.usual_prompt + self.usual_answer
    }
}
