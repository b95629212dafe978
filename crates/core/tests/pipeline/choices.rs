//! Random choices of one schedule, drawn from a seed that a failing test prints.

use quickcheck::{Arbitrary, Gen};

/// Random choices of one schedule.
pub struct Choices {
    source: Gen,
}

impl Choices {
    pub fn new(seed: u64) -> Choices {
        Choices { source: Gen::from_size_and_seed(64, seed) }
    }

    /// Returns a random number below `end`.
    pub fn below(&mut self, end: usize) -> usize {
        (u64::arbitrary(&mut self.source) % end.max(1) as u64) as usize
    }

    /// Returns true with probability `1 / odds`.
    pub fn one_in(&mut self, odds: usize) -> bool {
        self.below(odds) == 0
    }
}
