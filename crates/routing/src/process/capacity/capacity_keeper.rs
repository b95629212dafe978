//! Selects the gateway that gives out the capacity of a service.

use sorrellock_core::id::Incarnation;
use sorrellock_core::process::membership::rendezvous;

/// Returns the one of `gateways` that gives out the capacity of a service. A single one does for all data centres: a
/// request may run in any, and a caller that was refused returns to whichever gateway.
pub fn capacity_keeper(
    service: &str,
    gateways: impl IntoIterator<Item = Incarnation>,
) -> Option<Incarnation> {
    rendezvous(service.as_bytes(), gateways)
}
