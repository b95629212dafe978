//! Decides when an attempt is late enough to start another one in parallel.

use std::time::Duration;

/// Fraction of the time left after which an attempt is overdue at the latest, unless its endpoint is known to be
/// slower.
const OVERDUE_SHARE: f64 = 0.4;
/// Multiple of an endpoint's mean time before which an attempt there is not overdue.
const OVERDUE_MEANS: u32 = 4;

/// Returns how long an attempt may take before it is overdue. `left` is the time until the caller's answer is
/// due, `target_latency` the route's target, and `mean` what the endpoint usually takes (zero if unknown).
pub fn overdue_after(left: Duration, target_latency: Duration, mean: Duration) -> Duration {
    let usual = left.mul_f64(OVERDUE_SHARE).min(target_latency);
    usual.max(mean * OVERDUE_MEANS).min(left)
}
