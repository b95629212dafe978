//! Simulates what gateways know about endpoints while the store is restored from older copies of itself.

#[path = "../common/mod.rs"]
mod common;
mod fleet;
mod focused;
mod fuzz;
mod gateway;
mod scenario;
mod store;
