//! What the tests of this crate share.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod fleet_sim;
