//! Limits that endpoints name in their answers.

mod named_limits;
