//! What is known of the limits that endpoints name.

use super::rate_limit::RateLimit;
use crate::process::Incarnation;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a gateway reports what an endpoint's answer to itself said.
const REPORT_FOR: Duration = Duration::from_secs(60);
/// Maximum number of endpoints in a message.
const MAX_REPORTED: usize = 256;

/// What an endpoint's latest answer to a gateway said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The endpoint.
    pub endpoint: Incarnation,
    /// The limit that it named, if it named one.
    pub limit: Option<RateLimit>,
    /// Age of the answer in ms.
    pub age_ms: u32,
}

/// A change of an endpoint's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// It names this limit from now on.
    Named(RateLimit),
    /// It names none any more.
    Withdrawn,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    limit: Option<RateLimit>,
    /// When the answer came that said so.
    at: Instant,
    /// Whether the answer came to this gateway.
    is_own: bool,
}

/// The limits of endpoints. A limit stays in force until an answer doesn't name it, however old it is: an endpoint that gets
/// nothing can't name it again.
#[derive(Debug, Default)]
pub struct EndpointLimits {
    known: HashMap<Incarnation, Known>,
}

impl EndpointLimits {
    /// Applies what an answer says that came `now` to a request that was sent at `sent_at`.
    pub fn on_answer(
        &mut self,
        endpoint: &Incarnation,
        limit: Option<RateLimit>,
        sent_at: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let before = self.known.get(endpoint).copied();
        if limit.is_none() {
            // An answer to an earlier request may have been on its way when the limit was named.
            before.filter(|before| before.limit.is_some() && sent_at > before.at)?;
        }
        self.set(endpoint, Known { limit, at: now, is_own: true })
    }

    /// Applies another gateway's report that came `now`.
    pub fn on_report(&mut self, report: &LimitReport, now: Instant) -> Option<LimitChange> {
        let at = now.checked_sub(Duration::from_millis(report.age_ms.into()))?;
        if self.known.get(&report.endpoint).is_some_and(|known| known.at >= at) {
            return None;
        }
        self.set(&report.endpoint, Known { limit: report.limit, at, is_own: false })
    }

    fn set(&mut self, endpoint: &Incarnation, known: Known) -> Option<LimitChange> {
        let before = self.known.insert(endpoint.clone(), known).and_then(|before| before.limit);
        match (before, known.limit) {
            (before, Some(limit)) if before != Some(limit) => Some(LimitChange::Named(limit)),
            (Some(_), None) => Some(LimitChange::Withdrawn),
            _ => None,
        }
    }

    /// Returns what endpoints said to this gateway itself, for the others.
    pub fn reports(&self, now: Instant) -> Vec<LimitReport> {
        let own = self
            .known
            .iter()
            .filter(|(_, known)| known.is_own && now.duration_since(known.at) < REPORT_FOR);
        let report = |(endpoint, known): (&Incarnation, &Known)| LimitReport {
            endpoint: endpoint.clone(),
            limit: known.limit,
            age_ms: now.duration_since(known.at).as_millis() as u32,
        };
        own.take(MAX_REPORTED).map(report).collect()
    }

    /// Returns the limit of an endpoint, if it named one.
    pub fn limit(&self, endpoint: &Incarnation) -> Option<RateLimit> {
        self.known.get(endpoint)?.limit
    }

    /// Returns the endpoints that named a limit, with the time since the latest answer that named it.
    pub fn limited(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&Incarnation, RateLimit, Duration)> {
        self.known.iter().filter_map(move |(endpoint, known)| {
            Some((endpoint, known.limit?, now.duration_since(known.at)))
        })
    }

    /// Drops what is known of endpoints that are gone.
    pub fn retain(&mut self, is_current: impl Fn(&Incarnation) -> bool) {
        self.known.retain(|endpoint, _| is_current(endpoint));
    }
}
