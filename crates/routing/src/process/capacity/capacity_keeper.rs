//! Selects the gateway that gives out the capacity of a service.

use sorrellock_core::id::Incarnation;
use sorrellock_core::process::membership::rendezvous;

/// Most gateways whose requests one keeper decides on. At three times as many, a small keeper is late with its answers.
const MAX_GATEWAYS: usize = 100;

/// Returns whether one gateway gives out the capacity for a fleet of `gateways`. In larger ones each decides by its own view.
pub fn has_keeper(gateways: usize) -> bool {
    gateways <= MAX_GATEWAYS
}

/// Returns the one of `gateways` that gives out the capacity of a service. A single one does for all data centres: a
/// request may run in any, and a caller that was refused returns to whichever gateway.
pub fn capacity_keeper(
    service: &str,
    gateways: impl IntoIterator<Item = Incarnation>,
) -> Option<Incarnation> {
    rendezvous(service.as_bytes(), gateways)
}
