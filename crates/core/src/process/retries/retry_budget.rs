//! Retry budget: limits retries to a part of the recent successes.

use crate::clock::Clock;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Retries that each success adds to a budget.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Initial budget of a workspace or endpoint, in retries.
pub const INITIAL_BUDGET: f64 = 10.0;
/// Largest budget, in retries.
pub const MAX_SAVED_RETRIES: f64 = 100.0;
/// Retries added per second without a success, up to [`INITIAL_BUDGET`].
pub const BUDGET_REFILL_PER_SECOND: f64 = 0.2;
/// Half-life of the part of a budget above [`INITIAL_BUDGET`]: old successes pay for no retries.
pub const BUDGET_HALF_LIFE: Duration = Duration::from_secs(10);
/// Maximum number of workspaces and of endpoints with a budget; further ones get no retries.
pub const MAX_BUDGETS: usize = 16_384;
/// A budget that wasn't used for this long equals a new one, and may be removed.
pub const BUDGET_IDLE: Duration = Duration::from_secs(120);

/// Budget of one workspace or endpoint.
struct Bucket {
    tokens: f64,
    updated_at: Instant,
}

impl Bucket {
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        if self.tokens > INITIAL_BUDGET {
            let left = 0.5f64.powf(passed / BUDGET_HALF_LIFE.as_secs_f64());
            self.tokens = INITIAL_BUDGET + (self.tokens - INITIAL_BUDGET) * left;
        } else {
            self.tokens = (self.tokens + passed * BUDGET_REFILL_PER_SECOND).min(INITIAL_BUDGET);
        }
    }

    fn time_until_retry(&self) -> Duration {
        Duration::from_secs_f64(((1.0 - self.tokens) / BUDGET_REFILL_PER_SECOND).max(0.0))
    }
}

/// Budgets by key.
struct Buckets<K> {
    buckets: HashMap<K, Bucket>,
    last_sweep: Instant,
}

impl<K: Hash + Eq + Clone> Buckets<K> {
    fn new(now: Instant) -> Buckets<K> {
        Buckets { buckets: HashMap::new(), last_sweep: now }
    }

    fn get(&mut self, key: &K, max: usize, now: Instant) -> Option<&mut Bucket> {
        if !self.buckets.contains_key(key) && !self.has_capacity(max, now) {
            return None;
        }
        let new = || Bucket { tokens: INITIAL_BUDGET, updated_at: now };
        let bucket = self.buckets.entry(key.clone()).or_insert_with(new);
        bucket.refill(now);
        Some(bucket)
    }

    fn has_capacity(&mut self, max: usize, now: Instant) -> bool {
        let is_due = now.saturating_duration_since(self.last_sweep) >= BUDGET_IDLE / 4;
        if self.buckets.len() >= max && is_due {
            self.last_sweep = now;
            self.buckets
                .retain(|_, bucket| now.saturating_duration_since(bucket.updated_at) < BUDGET_IDLE);
        }
        self.buckets.len() < max
    }
}

/// Retry budgets of workspaces `W` and endpoints `E`. A retry is taken out of both, so that neither
/// a workspace nor an endpoint can turn failures into a flood of retries.
pub struct RetryBudget<W, E, C> {
    clock: C,
    max: usize,
    workspaces: Buckets<W>,
    endpoints: Buckets<E>,
    spent: u64,
    refused: u64,
}

impl<W: Hash + Eq + Clone, E: Hash + Eq + Clone, C: Clock> RetryBudget<W, E, C> {
    /// Creates an empty set of budgets.
    pub fn new(clock: C) -> RetryBudget<W, E, C> {
        let now = clock.now();
        let (workspaces, endpoints) = (Buckets::new(now), Buckets::new(now));
        RetryBudget { clock, max: MAX_BUDGETS, workspaces, endpoints, spent: 0, refused: 0 }
    }

    /// Sets the maximum number of workspaces and of endpoints with a budget.
    pub fn with_max(self, max: usize) -> RetryBudget<W, E, C> {
        RetryBudget { max, ..self }
    }

    /// Records the success of an attempt for a workspace at an endpoint.
    pub fn on_success(&mut self, workspace: &W, endpoint: &E) {
        let now = self.clock.now();
        let earn = |bucket: Option<&mut Bucket>| {
            if let Some(bucket) = bucket {
                bucket.tokens = (bucket.tokens + RETRIES_PER_SUCCESS).min(MAX_SAVED_RETRIES);
            }
        };
        earn(self.workspaces.get(workspace, self.max, now));
        earn(self.endpoints.get(endpoint, self.max, now));
    }

    /// Takes a retry for a workspace at an endpoint out of both budgets. Otherwise returns the time
    /// until a retry is available if nothing succeeds in between.
    pub fn spend(&mut self, workspace: &W, endpoint: &E) -> Result<(), Duration> {
        let now = self.clock.now();
        let workspace_budget = self.workspaces.get(workspace, self.max, now);
        let endpoint_budget = self.endpoints.get(endpoint, self.max, now);
        let (Some(workspace_budget), Some(endpoint_budget)) = (workspace_budget, endpoint_budget)
        else {
            self.refused += 1;
            return Err(BUDGET_IDLE);
        };
        if workspace_budget.tokens < 1.0 || endpoint_budget.tokens < 1.0 {
            self.refused += 1;
            return Err(workspace_budget
                .time_until_retry()
                .max(endpoint_budget.time_until_retry()));
        }
        workspace_budget.tokens -= 1.0;
        endpoint_budget.tokens -= 1.0;
        self.spent += 1;
        Ok(())
    }

    /// Returns the number of retries that were allowed.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the number of retries that were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Returns the numbers of workspaces and of endpoints with a budget.
    pub fn counts(&self) -> (usize, usize) {
        (self.workspaces.buckets.len(), self.endpoints.buckets.len())
    }
}
