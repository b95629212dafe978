//! What endpoints say of themselves in their answers to this gateway, and what that means for its requests to them.
//!
//! The limits that they name hold for all gateways together: see [`limits`](crate::process::limits).

mod backoffs;
mod leaving_notices;
mod send_block;

pub use backoffs::*;
pub use leaving_notices::*;
pub use send_block::*;
