//! What the tests of this crate share.

pub mod fleet_sim;
