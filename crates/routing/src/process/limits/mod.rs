//! Limits that endpoints name for the requests of all gateways together.

mod endpoint_limits;
mod permit_bucket;
mod rate_limit;

pub use endpoint_limits::*;
pub use permit_bucket::*;
pub use rate_limit::*;
