//! The leads: who gives orders to the engines, and which.

mod driver;
mod engine_table;
mod lead_agent;
mod model_lead;

pub use lead_agent::*;

use driver::Driver;
use engine_table::EngineTable;
use model_lead::ModelLead;

/// Where the lead of a model is written in the store.
pub fn lead_key(model: &str) -> String {
    format!("leads/{model}")
}
