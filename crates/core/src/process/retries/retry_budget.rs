//! How many retries there may be: a part of what succeeded of late.

use crate::clock::Clock;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Retries that each success pays for.
pub const RETRIES_A_SUCCESS: f64 = 0.1;
/// What a workspace or endpoint of which nothing is known has.
pub const BUDGET_START: f64 = 10.0;
/// The most that is saved.
pub const BUDGET_MOST: f64 = 100.0;
/// What comes back a second without a success, up to [`BUDGET_START`].
pub const BUDGET_REFILL_A_SECOND: f64 = 0.2;
/// What is saved above [`BUDGET_START`] halves in this time: older successes pay for nothing.
pub const BUDGET_HALF_LIFE: Duration = Duration::from_secs(10);
/// The most workspaces, and the most endpoints, with a budget; those beyond it get no retries.
pub const MAX_BUDGETS: usize = 16_384;
/// A budget that was not touched for so long is that of a newcomer again, and is forgotten.
pub const BUDGET_IDLE: Duration = Duration::from_secs(120);

struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn renew(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        if self.tokens > BUDGET_START {
            let left = 0.5f64.powf(passed / BUDGET_HALF_LIFE.as_secs_f64());
            self.tokens = BUDGET_START + (self.tokens - BUDGET_START) * left;
        } else {
            self.tokens = (self.tokens + passed * BUDGET_REFILL_A_SECOND).min(BUDGET_START);
        }
    }

    fn wait(&self) -> Duration {
        Duration::from_secs_f64(((1.0 - self.tokens) / BUDGET_REFILL_A_SECOND).max(0.0))
    }
}

/// Budgets by one kind of name.
struct Buckets<K> {
    buckets: HashMap<K, Bucket>,
    swept: Instant,
}

impl<K: Hash + Eq + Clone> Buckets<K> {
    fn new(now: Instant) -> Buckets<K> {
        Buckets { buckets: HashMap::new(), swept: now }
    }

    fn get(&mut self, key: &K, max: usize, now: Instant) -> Option<&mut Bucket> {
        if !self.buckets.contains_key(key) && !self.has_room(max, now) {
            return None;
        }
        let new = || Bucket { tokens: BUDGET_START, at: now };
        let bucket = self.buckets.entry(key.clone()).or_insert_with(new);
        bucket.renew(now);
        Some(bucket)
    }

    fn has_room(&mut self, max: usize, now: Instant) -> bool {
        let is_due = now.saturating_duration_since(self.swept) >= BUDGET_IDLE / 4;
        if self.buckets.len() >= max && is_due {
            self.swept = now;
            self.buckets.retain(|_, kept| now.saturating_duration_since(kept.at) < BUDGET_IDLE);
        }
        self.buckets.len() < max
    }
}

/// Retries that workspaces `W` and endpoints `E` may have. A retry takes from both, so that
/// neither the one that asks nor the one that is asked makes a failure into a flood.
pub struct RetryBudget<W, E, C> {
    clock: C,
    max: usize,
    workspaces: Buckets<W>,
    endpoints: Buckets<E>,
    spent: u64,
    refused: u64,
}

impl<W: Hash + Eq + Clone, E: Hash + Eq + Clone, C: Clock> RetryBudget<W, E, C> {
    /// Nothing succeeded and nothing was retried yet.
    pub fn new(clock: C) -> RetryBudget<W, E, C> {
        let now = clock.now();
        let (workspaces, endpoints) = (Buckets::new(now), Buckets::new(now));
        RetryBudget { clock, max: MAX_BUDGETS, workspaces, endpoints, spent: 0, refused: 0 }
    }

    /// Keeps at most `max` budgets of workspaces, and of endpoints.
    pub fn with_max(self, max: usize) -> RetryBudget<W, E, C> {
        RetryBudget { max, ..self }
    }

    /// An attempt for a workspace succeeded at an endpoint.
    pub fn on_success(&mut self, workspace: &W, endpoint: &E) {
        let now = self.clock.now();
        let earn = |bucket: Option<&mut Bucket>| {
            if let Some(bucket) = bucket {
                bucket.tokens = (bucket.tokens + RETRIES_A_SUCCESS).min(BUDGET_MOST);
            }
        };
        earn(self.workspaces.get(workspace, self.max, now));
        earn(self.endpoints.get(endpoint, self.max, now));
    }

    /// Takes a retry for a workspace at an endpoint out of both budgets; else tells when one that
    /// succeeds at nothing until then may come back.
    pub fn spend(&mut self, workspace: &W, endpoint: &E) -> Result<(), Duration> {
        let now = self.clock.now();
        let asked = self.workspaces.get(workspace, self.max, now);
        let at = self.endpoints.get(endpoint, self.max, now);
        let (Some(asked), Some(at)) = (asked, at) else {
            self.refused += 1;
            return Err(BUDGET_IDLE);
        };
        if asked.tokens < 1.0 || at.tokens < 1.0 {
            self.refused += 1;
            return Err(asked.wait().max(at.wait()));
        }
        asked.tokens -= 1.0;
        at.tokens -= 1.0;
        self.spent += 1;
        Ok(())
    }

    /// Retries that were paid for.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Retries that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// How many workspaces and endpoints have a budget.
    pub fn counts(&self) -> (usize, usize) {
        (self.workspaces.buckets.len(), self.endpoints.buckets.len())
    }
}
