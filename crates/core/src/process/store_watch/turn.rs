//! One process among those that watch the same.

/// One process among those that watch the same and hear each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// How many of them come before it, in an order that all agree on.
    pub rank: u32,
    /// How many there are, itself included.
    pub count: u32,
}

impl Turn {
    /// A process that hears nobody.
    pub const ALONE: Turn = Turn { rank: 0, count: 1 };

    /// The turn of the process with `rank` others before it, of which there are `count`.
    pub fn new(rank: u32, count: u32) -> Turn {
        let count = count.max(1);
        Turn { rank: rank.min(count - 1), count }
    }
}
