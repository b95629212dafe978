//! Which gateways probe the engines of a path that has gone idle, and when.
//!
//! All gateways with streams over a dead engine miss their events at the same moment. If each probed every engine of the
//! path, the probes for one fault would grow with the fleet, and so would those for each long pause of a path that is well. A few
//! probe at once and report what they find; the others probe in their turn, in case these are late or can't reach the engines.

use sorrellock_core::process::membership::rendezvous_weight;
use std::time::Duration;

/// How long gateways wait from the moment at which the path counts as idle, by the number of gateways that go before:
/// up to each position, so long.
const WAVES: [(usize, Duration); 3] =
    [(2, Duration::ZERO), (4, Duration::from_millis(60)), (8, Duration::from_millis(120))];
/// The same for the ninth.
const LAST_WAVE: Duration = Duration::from_millis(180);
/// What each later one leaves to the one before it.
const STEP: Duration = Duration::from_millis(10);
/// The longest wait: a gateway that hears no reports finds a dead engine by then, well before its callers leave.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// How many of the `others` with streams on a path go before a gateway in probing it. Gateways are told apart by their
/// incarnations. All agree on the order, which is that of the path's data centre: the same few probe its engines each time,
/// over connections that they keep.
pub fn probers_before(data_centre: &str, own: u64, others: impl Iterator<Item = u64>) -> usize {
    let weight = |gateway| (rendezvous_weight(data_centre.as_bytes(), gateway), gateway);
    let own = weight(own);
    others.filter(|other| weight(*other) > own).count()
}

/// How long a gateway waits before it probes an idle path, with `before` gateways that go first.
pub fn probe_delay(before: usize) -> Duration {
    let wave = WAVES.iter().find(|(count, _)| before < *count);
    if let Some((_, delay)) = wave {
        return *delay;
    }
    let first_of_last = WAVES.last().map_or(0, |(count, _)| *count);
    let later = u32::try_from(before - first_of_last).unwrap_or(u32::MAX);
    LAST_WAVE.saturating_add(STEP.saturating_mul(later)).min(MAX_DELAY)
}
