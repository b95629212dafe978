//! Capacity that was given out, and that the loads of its gateways don't show yet.

use crate::process::Incarnation;
use sorrellock_core::id::Incarnation as GatewayIncarnation;
use std::time::{Duration, Instant};

/// Time from a grant until its gateway's messages show it: the answer's way, and the turn of a busy event loop.
const TRAVEL_TIME: Duration = Duration::from_millis(50);
/// Longest time that a grant counts without a message of its gateway. By then the gateway is gone.
const GRANT_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Grant {
    gateway: GatewayIncarnation,
    head: Incarnation,
    tokens: f64,
    at: Instant,
}

/// Grants that count beside the loads that gateways report. Their number is bounded by what fits into the engines.
#[derive(Debug, Default)]
pub struct PendingGrants {
    grants: Vec<Grant>,
}

impl PendingGrants {
    /// Records a grant of `tokens` on the path that begins at `head`.
    pub fn add(
        &mut self,
        gateway: GatewayIncarnation,
        head: &Incarnation,
        tokens: f64,
        now: Instant,
    ) {
        self.grants.push(Grant { gateway, head: head.clone(), tokens, at: now });
    }

    /// Drops the grants that reported loads include. `last_message` returns when a gateway's latest message arrived.
    pub fn drop_reported(
        &mut self,
        last_message: impl Fn(GatewayIncarnation) -> Option<Instant>,
        now: Instant,
    ) {
        self.grants.retain(|grant| {
            let is_reported =
                last_message(grant.gateway).is_some_and(|at| at >= grant.at + TRAVEL_TIME);
            !is_reported && now.saturating_duration_since(grant.at) < GRANT_TIMEOUT
        });
    }

    /// Returns the first engine and the tokens of each grant.
    pub fn iter(&self) -> impl Iterator<Item = (&Incarnation, f64)> {
        self.grants.iter().map(|grant| (&grant.head, grant.tokens))
    }
}
