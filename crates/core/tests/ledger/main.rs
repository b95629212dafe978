//! The run-once ledger against oracles: a naive one, and a count of runs under faults.

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
