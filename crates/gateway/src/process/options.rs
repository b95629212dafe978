//! Options of a gateway beyond the platform's settings.

/// Options that the operator may set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of gateways from which a fleet uses relays instead of sending all to all. It has to be the same everywhere.
    pub relays_from: usize,
}

impl Options {
    /// Default of `relays_from`: one gateway gives out scarce capacity for fleets of up to a hundred, and receives messages of each.
    pub const RELAYS_FROM: usize = 101;
}

impl Default for Options {
    fn default() -> Options {
        Options { relays_from: Options::RELAYS_FROM }
    }
}
