//! A simulated fleet for the fuzz test: real stage tables and drivers on a faulty network and faulty engines.

pub mod choices;
pub mod daemon;
pub mod engine;
pub mod entry;
mod lost_token;
pub mod world;
