//! Permits to send to an endpoint that named a limit, granted by one gateway for all.

use super::rate_limit::RateLimit;
use crate::process::Incarnation;
use serde::{Deserialize, Serialize};
use sorrellock_core::process::membership::rendezvous;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Permits that may be granted at once after a pause.
const MAX_BURST: f64 = 2.0;
/// Minimum rate, in permits a second: an endpoint that gets nothing can't withdraw its limit.
const MIN_PER_S: f64 = 0.2;
/// How long a gateway that was denied a permit counts as waiting for one.
const WAITS_FOR: Duration = Duration::from_secs(5);
/// Bounds of the time after which a gateway asks again.
const MIN_RETRY: Duration = Duration::from_millis(50);
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Returns the gateway of `gateways` that grants the permits of an endpoint.
pub fn permit_keeper(
    endpoint: &Incarnation,
    gateways: impl IntoIterator<Item = u64>,
) -> Option<u64> {
    rendezvous(endpoint.id.as_bytes(), gateways)
}

/// Answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// One request may be sent now.
    Granted,
    /// None may be sent now.
    Denied {
        /// Time until the gateway may ask again.
        retry_in: Duration,
    },
}

/// The permits of one endpoint. It starts without any, as another gateway may have granted some just before.
#[derive(Debug)]
pub struct PermitBucket {
    tokens: f64,
    filled_at: Instant,
    /// Gateways that were denied a permit, and when.
    waiting: HashMap<u64, Instant>,
}

impl PermitBucket {
    /// Creates a bucket that fills from `now` on.
    pub fn new(now: Instant) -> PermitBucket {
        PermitBucket { tokens: 0.0, filled_at: now, waiting: HashMap::new() }
    }

    /// Decides on a permit for the gateway `asker`. `share` is the fraction of the limit that this gateway may grant,
    /// as others may grant the rest while they don't reach it.
    pub fn take(&mut self, limit: RateLimit, share: f64, asker: u64, now: Instant) -> Permit {
        let per_s = limit.per_s().max(MIN_PER_S) * share;
        let elapsed = now.duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + per_s * elapsed).min(MAX_BURST);
        self.filled_at = now;
        self.waiting.retain(|_, since| now.duration_since(*since) < WAITS_FOR);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            self.waiting.remove(&asker);
            return Permit::Granted;
        }
        self.waiting.insert(asker, now);
        // With many gateways waiting, each asks only about as often as its turn comes.
        let next = (1.0 - self.tokens).max(0.5 * self.waiting.len() as f64) / per_s;
        let retry_in = Duration::from_secs_f64(next.min(MAX_RETRY.as_secs_f64())).max(MIN_RETRY);
        Permit::Denied { retry_in }
    }
}
