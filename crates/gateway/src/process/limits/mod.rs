//! Limits that endpoints name in their answers.

mod named_limits;
mod permits;

pub(crate) use permits::{PERMIT_PATH, Permits, read_permit_request};
