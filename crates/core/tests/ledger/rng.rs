//! Seeded random numbers.

/// A small generator (splitmix64): the same seed gives the same schedule on any machine.
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number below `end`.
    pub fn below(&mut self, end: usize) -> usize {
        (self.next() % end.max(1) as u64) as usize
    }

    /// Returns true with a probability of `percent` in a hundred.
    pub fn percent(&mut self, percent: usize) -> bool {
        self.below(100) < percent
    }
}
