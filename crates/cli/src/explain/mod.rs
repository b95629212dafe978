//! What the logs of gateways say of requests that weren't served as callers expect, by cause.

mod account;
mod cause;
mod explain_error;
mod grouping;
mod log_line;
mod run;

pub use account::*;
pub use cause::*;
pub use explain_error::*;
pub use grouping::*;
pub use log_line::*;
pub use run::run;
