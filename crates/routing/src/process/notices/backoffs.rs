//! Endpoints that asked this gateway to send nothing for a while.

use crate::process::Incarnation;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Maximum wait that is kept, so that its end is a valid instant.
const MAX_WAIT: Duration = Duration::from_secs(100 * 365 * 86_400);
/// Time until another trial may follow one without an answer.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of back-offs that are kept: more than the endpoints of a large fleet.
const MAX_KEPT: usize = 4_096;

/// An endpoint's back-off.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    /// When the trial was sent that is under way.
    trial_at: Option<Instant>,
}

impl Backoff {
    fn blocked_for(self, now: Instant) -> Option<Duration> {
        let trial_until = self.trial_at.map(|at| at + TRIAL_TIMEOUT);
        let until = trial_until.unwrap_or(self.until).max(self.until);
        let left = until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }
}

/// The request that finds out whether an endpoint takes requests again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trial {
    sent_at: Instant,
}

/// A change of an endpoint's back-off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackoffChange {
    /// The endpoint gets no requests for this time.
    Begun(Duration),
    /// It takes requests again.
    Ended,
}

/// The back-offs that endpoints asked this gateway for.
///
/// Each answer that asks for a wait counts for itself, so a later one only extends it: neither a shorter wait nor an answer that asks for none ends an
/// earlier one. After the end a single request is sent, and others follow once the endpoint has answered it without asking for another wait.
#[derive(Debug, Default)]
pub struct Backoffs {
    known: HashMap<Incarnation, Backoff>,
    evicted: u64,
}

impl Backoffs {
    /// Applies an answer that came `now` and asks for a wait, or for none.
    pub fn on_answer(
        &mut self,
        endpoint: &Incarnation,
        wait: Option<Duration>,
        now: Instant,
    ) -> Option<BackoffChange> {
        let Some(wait) = wait.filter(|wait| !wait.is_zero()) else {
            let is_over = self.known.get(endpoint).is_some_and(|known| known.until <= now);
            return is_over.then(|| {
                self.known.remove(endpoint);
                BackoffChange::Ended
            });
        };
        let until = now + wait.min(MAX_WAIT);
        let before = self.known.get(endpoint).map(|known| known.until);
        let until = before.map_or(until, |before| before.max(until));
        if before.is_none() && self.known.len() >= MAX_KEPT {
            self.evict_first_to_end();
        }
        self.known.insert(endpoint.clone(), Backoff { until, trial_at: None });
        let is_new = before.is_none_or(|before| before <= now);
        is_new.then(|| BackoffChange::Begun(until - now))
    }

    fn evict_first_to_end(&mut self) {
        let first = self.known.iter().min_by_key(|(_, known)| known.until);
        if let Some(endpoint) = first.map(|(endpoint, _)| endpoint.clone()) {
            self.known.remove(&endpoint);
            self.evicted += 1;
        }
    }

    /// Returns the time until an endpoint may be sent a request; `None` if it may now.
    pub fn blocked_for(&self, endpoint: &Incarnation, now: Instant) -> Option<Duration> {
        self.known.get(endpoint)?.blocked_for(now)
    }

    /// Admits a request whose bytes are written `now`, as a trial if it is the first after a back-off. Returns the time until
    /// another may be tried if it isn't admitted.
    pub fn admit(
        &mut self,
        endpoint: &Incarnation,
        now: Instant,
    ) -> Result<Option<Trial>, Duration> {
        let Some(known) = self.known.get_mut(endpoint) else { return Ok(None) };
        if let Some(left) = known.blocked_for(now) {
            return Err(left);
        }
        known.trial_at = Some(now);
        Ok(Some(Trial { sent_at: now }))
    }

    /// Records that a trial is over, so that another may follow if it brought no answer.
    pub fn on_trial_over(&mut self, endpoint: &Incarnation, trial: Trial) {
        let known = self.known.get_mut(endpoint);
        if let Some(known) = known.filter(|known| known.trial_at == Some(trial.sent_at)) {
            known.trial_at = None;
        }
    }

    /// Ends the back-offs of an endpoint, whichever its incarnation. Returns whether there were any.
    pub fn clear(&mut self, id: &str) -> bool {
        let before = self.known.len();
        self.known.retain(|endpoint, _| endpoint.id != id);
        self.known.len() < before
    }

    /// Returns the endpoints that get no requests now, with the time until they may.
    pub fn active(&self, now: Instant) -> impl Iterator<Item = (&Incarnation, Duration)> {
        self.known.iter().filter_map(move |(endpoint, known)| {
            let left = known.until.saturating_duration_since(now);
            (!left.is_zero()).then_some((endpoint, left))
        })
    }

    /// Drops the back-offs that are over and whose endpoints are gone. An entry that is gone may come back before.
    pub fn retain(&mut self, is_current: impl Fn(&Incarnation) -> bool, now: Instant) {
        self.known.retain(|endpoint, known| is_current(endpoint) || known.until > now);
    }

    /// Returns how many were dropped to make room.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
