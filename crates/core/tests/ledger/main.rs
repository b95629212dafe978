//! Tests of the run-once ledger: against a naive ledger, and under faults with an oracle that counts runs.

mod besides;
mod claims;
mod dice;
mod differential;
mod entries;
mod fuzz;
mod holders;
mod net;
mod oracle;
mod pacing;
mod store;
mod tables;
mod world;
