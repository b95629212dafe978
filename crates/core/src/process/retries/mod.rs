//! Handling of failed attempts: a retry budget, and circuit breakers for failing endpoints.

mod breaker;
mod breakers;
mod retry_budget;

pub use breaker::*;
pub use breakers::*;
pub use retry_budget::*;
