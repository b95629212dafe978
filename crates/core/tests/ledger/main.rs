//! Tests of the run-once ledger: against a naive ledger, and under faults with an oracle that counts runs.

mod claims;
mod daemons;
mod differential;
mod entries;
mod fuzz;
mod holders;
mod net;
mod oracle;
mod pacing;
mod rng;
mod store;
mod tables;
mod world;
