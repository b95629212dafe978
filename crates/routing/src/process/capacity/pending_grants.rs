//! Capacity that was given out, and that the loads of its gateways don't show yet.

use crate::process::Incarnation;
use sorrellock_core::id::{Incarnation as GatewayIncarnation, Sequence};
use std::time::{Duration, Instant};

/// Longest time that a grant counts whose gateway doesn't report it. By then its answer was lost, or the gateway is gone.
const GRANT_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
struct Grant {
    gateway: GatewayIncarnation,
    number: Sequence,
    head: Incarnation,
    tokens: f64,
    at: Instant,
}

/// Grants that count beside the loads that gateways report. Their number is bounded by what fits into the engines.
#[derive(Debug, Default)]
pub struct PendingGrants {
    grants: Vec<Grant>,
    last_number: Sequence,
}

impl PendingGrants {
    /// Records a grant of `tokens` on the path that begins at `head`. Returns its number, which increases with each grant.
    pub fn add(
        &mut self,
        gateway: GatewayIncarnation,
        head: &Incarnation,
        tokens: f64,
        now: Instant,
    ) -> Sequence {
        self.last_number += 1;
        let (number, head) = (self.last_number, head.clone());
        self.grants.push(Grant { gateway, number, head, tokens, at: now });
        number
    }

    /// Drops the grants that reported loads include. `last_taken` returns the highest number of the grants that a gateway's
    /// latest message includes.
    pub fn drop_reported(
        &mut self,
        last_taken: impl Fn(GatewayIncarnation) -> Option<Sequence>,
        now: Instant,
    ) {
        self.grants.retain(|grant| {
            let is_reported = last_taken(grant.gateway).is_some_and(|last| last >= grant.number);
            !is_reported && now.saturating_duration_since(grant.at) < GRANT_TIMEOUT
        });
    }

    /// Returns the first engine and the tokens of each grant.
    pub fn iter(&self) -> impl Iterator<Item = (&Incarnation, f64)> {
        self.grants.iter().map(|grant| (&grant.head, grant.tokens))
    }
}
