//! When processes ask the store: rules of the schedule one by one, and a small fleet on simulated time.

mod eras;
mod fleet;
mod schedule;
mod silences;
