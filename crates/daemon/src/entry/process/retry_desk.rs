//! Which endpoint an attempt of a call may go to, and whether it may be made again.

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

/// An endpoint that had less time than this to answer isn't to blame: else a workspace with short
/// deadlines could open the breakers for all.
const BLAME_LEAST: Duration = Duration::from_secs(1);
/// How many endpoints whose breaker isn't closed a dump names.
const DUMPED: usize = 64;

/// Breakers and budgets of an entry's calls to plain services.
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
    /// Nothing was sent yet.
    pub fn new(counters: Arc<Counters>, journal: Arc<Journal>) -> RetryDesk {
        let (breakers, budget) = (Breakers::new(SystemClock), RetryBudget::new(SystemClock));
        RetryDesk { state: Mutex::new(State { breakers, budget }), counters, journal }
    }

    /// Chooses the first of `untried` whose breaker lets an attempt through, or the first of all
    /// if none does.
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

    /// Whether an endpoint's breaker is closed.
    pub fn is_closed(&self, endpoint: &EndpointId) -> bool {
        self.state.lock().unwrap().breakers.state(endpoint) == BreakerState::Closed
    }

    /// Pays for a retry; else tells when to come back.
    pub fn pay(&self, workspace: &WorkspaceId, endpoint: &EndpointId) -> Result<(), Duration> {
        let paid = self.state.lock().unwrap().budget.spend(workspace, endpoint);
        let count = if paid.is_ok() { Count::Retries } else { Count::RetriesRefused };
        self.counters.count(count);
        paid
    }

    /// Takes the end of an attempt, which went to an endpoint of `daemon`.
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
        let news = state.breakers.on_end(endpoint, permit, end);
        drop(state);
        let Some(now) = news else { return };
        let (count, what, cause) = match now {
            BreakerState::Closed => {
                (Count::BreakersClosed, "breaker closed", format!("{endpoint} answers again"))
            }
            _ => (Count::BreakersOpened, "breaker opened", format!("{endpoint} fails in a row")),
        };
        self.counters.count(count);
        self.journal.note(what, Some(daemon.addr), "end of an attempt", cause);
    }

    /// The state, for a dump.
    pub fn dump(&self) -> Value {
        let state = self.state.lock().unwrap();
        let not_closed: Vec<_> = state.breakers.not_closed().take(DUMPED).collect();
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

/// What the end of a call tells of its endpoint, which had `given` to answer.
pub fn attempt_end(end: &CallEnd, given: Duration) -> AttemptEnd {
    match end {
        CallEnd::Done { .. } => AttemptEnd::Success,
        CallEnd::NotRun { refusal: Refusal::Capacity, .. } => AttemptEnd::Failure,
        CallEnd::NotRun { .. } => AttemptEnd::Neutral,
        CallEnd::Unknown { .. } => no_answer(given),
    }
}

/// What it tells of an endpoint that an answer did not come, for which there was `given`.
pub fn no_answer(given: Duration) -> AttemptEnd {
    if given < BLAME_LEAST { AttemptEnd::Neutral } else { AttemptEnd::Failure }
}
