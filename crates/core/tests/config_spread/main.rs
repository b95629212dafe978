//! Distribution of the configuration between daemons: focused tests, and stateful fuzzing against an oracle.

mod fleet;
mod focused;
mod fuzz;
mod silence;
mod store;
mod world;
