//! Code shared by the tests of this crate.

#![allow(dead_code, reason = "each test program uses a part")]

pub mod fleet_sim;
