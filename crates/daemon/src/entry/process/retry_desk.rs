//! Chooses the endpoint for each attempt of a call and decides whether a retry is allowed.

use crate::entry::version::KnownEndpoint;
use crate::process::{Count, Counters, Journal};
use serde_json::{Value, json};
use sorrellock_core::clock::SystemClock;
use sorrellock_core::id::{EndpointId, WorkspaceId};
use sorrellock_core::process::retries::{AttemptEnd, BreakerState, Breakers, Permit, RetryBudget};
use sorrellock_core::request::{Peer, Refusal};
use sorrellock_wire::message::CallEnd;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An endpoint that had less time than this to answer doesn't count as failed: otherwise a workspace with
/// short deadlines could open the breakers for all workspaces.
const MIN_TIME_TO_BLAME: Duration = Duration::from_secs(1);
/// The maximum number of endpoints whose breaker isn't closed in a dump.
const MAX_DUMPED: usize = 64;

/// Holds the circuit breakers and retry budgets for an entry's calls to plain services.
pub struct RetryDesk {
    state: Mutex<State>,
    counters: Arc<Counters>,
    journal: Arc<Journal>,
}

struct State {
    breakers: Breakers<EndpointId, SystemClock>,
    budget: RetryBudget<WorkspaceId, EndpointId, SystemClock>,
}

impl RetryDesk {
    /// Creates closed breakers and unspent budgets.
    pub fn new(counters: Arc<Counters>, journal: Arc<Journal>) -> RetryDesk {
        let (breakers, budget) = (Breakers::new(SystemClock), RetryBudget::new(SystemClock));
        RetryDesk { state: Mutex::new(State { breakers, budget }), counters, journal }
    }

    /// Chooses the first of `untried` whose breaker admits an attempt, or the very first if none does.
    pub fn choose(&self, untried: &[&KnownEndpoint]) -> Option<(EndpointId, Peer, Permit)> {
        let breakers = &mut self.state.lock().unwrap().breakers;
        let admitted = untried.iter().find_map(|known| {
            let permit = breakers.admit(&known.fact.id)?;
            Some((*known, permit))
        });
        let (known, permit) = match admitted {
            Some(found) => found,
            None => {
                let known = untried.first()?;
                self.counters.count(Count::BreakersForced);
                (*known, breakers.force(&known.fact.id))
            }
        };
        if permit.is_probe() {
            self.counters.count(Count::BreakerProbes);
        }
        Some((known.fact.id.clone(), known.daemon, permit))
    }

    /// Returns whether an endpoint's breaker is closed.
    pub fn is_closed(&self, endpoint: &EndpointId) -> bool {
        self.state.lock().unwrap().breakers.state(endpoint) == BreakerState::Closed
    }

    /// Spends a retry from the budget; on refusal, returns the delay after which to retry.
    pub fn spend_retry(
        &self,
        workspace: &WorkspaceId,
        endpoint: &EndpointId,
    ) -> Result<(), Duration> {
        let paid = self.state.lock().unwrap().budget.spend(workspace, endpoint);
        let count = if paid.is_ok() { Count::Retries } else { Count::RetriesRefused };
        self.counters.count(count);
        paid
    }

    /// Handles the end of an attempt at an endpoint of `daemon`.
    pub fn on_end(
        &self,
        workspace: &WorkspaceId,
        endpoint: &EndpointId,
        daemon: Peer,
        permit: Permit,
        end: AttemptEnd,
    ) {
        let mut state = self.state.lock().unwrap();
        if end == AttemptEnd::Success {
            state.budget.on_success(workspace, endpoint);
        }
        let new_state = state.breakers.on_end(endpoint, permit, end);
        drop(state);
        let Some(now) = new_state else { return };
        let (count, what, cause) = match now {
            BreakerState::Closed => {
                (Count::BreakersClosed, "breaker closed", format!("{endpoint} answers again"))
            }
            _ => (Count::BreakersOpened, "breaker opened", format!("{endpoint} fails in a row")),
        };
        self.counters.count(count);
        self.journal.note(what, Some(daemon.addr), "end of an attempt", cause);
    }

    /// Returns the state, for a dump.
    pub fn dump(&self) -> Value {
        let state = self.state.lock().unwrap();
        let not_closed: Vec<_> = state.breakers.not_closed().take(MAX_DUMPED).collect();
        let (workspaces, endpoints) = state.budget.counts();
        json!({
            "breakers": state.breakers.count(),
            "breakers_untracked": state.breakers.untracked(),
            "not_closed": not_closed,
            "budgets": { "workspaces": workspaces, "endpoints": endpoints },
            "retries": state.budget.spent(),
            "retries_refused": state.budget.refused(),
        })
    }
}

/// Classifies the end of a call for the breaker of its endpoint, which had `given` to answer.
pub fn attempt_end(end: &CallEnd, given: Duration) -> AttemptEnd {
    match end {
        CallEnd::Done { .. } => AttemptEnd::Success,
        CallEnd::NotRun { refusal: Refusal::Capacity, .. } => AttemptEnd::Failure,
        CallEnd::NotRun { .. } => AttemptEnd::Neutral,
        CallEnd::Unknown { .. } => no_answer(given),
    }
}

/// Classifies a missing answer for the breaker of an endpoint that had `given` to answer.
pub fn no_answer(given: Duration) -> AttemptEnd {
    if given < MIN_TIME_TO_BLAME { AttemptEnd::Neutral } else { AttemptEnd::Failure }
}
