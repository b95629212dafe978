//! Calls of processes to the store: single rules of the schedule, and a small fleet on simulated time.

mod eras;
mod fleet;
mod schedule;
mod silences;
