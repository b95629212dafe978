//! What a failed attempt may lead to: a retry from a budget, and breakers before endpoints that
//! fail.

mod breaker;
mod breakers;
mod retry_budget;

pub use breaker::*;
pub use breakers::*;
pub use retry_budget::*;
