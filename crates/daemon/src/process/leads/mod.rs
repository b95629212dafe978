//! The leads of models: their election, and the orders that they send to engines.

mod driver;
mod engine_table;
mod lead_agent;
mod model_lead;

pub use lead_agent::*;

use driver::Driver;
use engine_table::EngineTable;
use model_lead::ModelLead;

/// Returns the key in the store of the record that names a model's lead.
pub fn lead_key(model: &str) -> String {
    format!("leads/{model}")
}
