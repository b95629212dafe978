//! Decides which gateways probe the engines of an idle path, and when.
//!
//! All gateways with streams over a dead engine miss its events at the same moment. If each of them probed every
//! engine of the path, the probes for one fault would grow with the fleet, and so would those for each long pause
//! of a healthy path. A few gateways probe at once and report what they find; the others probe later, in turn, in
//! case the first ones are late or can't reach the engines.

use sorrellock_core::process::membership::rendezvous_weight;
use std::time::Duration;

/// How long gateways wait from the moment at which the path counts as idle, by the number of gateways ahead of
/// them: each delay applies below its count.
const WAVES: [(usize, Duration); 3] =
    [(2, Duration::ZERO), (4, Duration::from_millis(60)), (8, Duration::from_millis(120))];
/// Delay of the gateway after the last wave.
const LAST_WAVE: Duration = Duration::from_millis(180);
/// Additional delay of each later gateway.
const STEP: Duration = Duration::from_millis(10);
/// Maximum delay: a gateway that receives no reports finds a dead engine by then, well before its callers leave.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// Returns how many of the `others` with streams on a path probe it before gateway `own`. Gateways are identified
/// by their incarnations. All agree on the order, which depends on the path's data centre: the same few probe its
/// engines each time, over connections that they keep open.
pub fn probers_before(data_centre: &str, own: u64, others: impl Iterator<Item = u64>) -> usize {
    let weight = |gateway| (rendezvous_weight(data_centre.as_bytes(), gateway), gateway);
    let own = weight(own);
    others.filter(|other| weight(*other) > own).count()
}

/// Returns the same where only the number of the others is known: each gateway takes one of as many places, by its incarnation.
pub fn probers_before_among(path: &[u8], own: u64, others: u32) -> usize {
    (rendezvous_weight(path, own) % (u64::from(others) + 1)) as usize
}

/// Returns how long a gateway waits before it probes an idle path, with `before` gateways ahead of it.
pub fn probe_delay(before: usize) -> Duration {
    let wave = WAVES.iter().find(|(count, _)| before < *count);
    if let Some((_, delay)) = wave {
        return *delay;
    }
    let first_of_last = WAVES.last().map_or(0, |(count, _)| *count);
    let later = u32::try_from(before - first_of_last).unwrap_or(u32::MAX);
    LAST_WAVE.saturating_add(STEP.saturating_mul(later)).min(MAX_DELAY)
}
