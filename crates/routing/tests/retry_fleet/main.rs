//! Many gateways that share a retry budget while they begin, end and lose sight of each other: how many repeats all of
//! them send.

mod focused;
mod fuzz;
mod process;
mod world;
