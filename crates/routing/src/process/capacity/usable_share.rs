//! The share of the capacity that gateways may use while they don't reach all others.

/// Share of the capacity that is left free beside the part of those out of reach, as what they hold is whole requests.
const WHOLE_REQUESTS: f64 = 0.02;

/// Returns the share of the capacity that `live` gateways, which reach each other, may use of all that `count` ones have.
/// Half of them and more may use all: those out of reach have mostly ended, and callers would be refused while they
/// start again.
pub fn usable_share(live: usize, count: usize) -> f64 {
    if 2 * live >= count {
        return 1.0;
    }
    (live as f64 / count as f64 - WHOLE_REQUESTS).max(0.0)
}
