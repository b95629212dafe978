//! The record of a request that is held back.

use crate::process::Incarnation;
use crate::request::ContentId;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Unix time in milliseconds.
pub type UnixMillis = u64;

/// How long a request is held back.
pub const HOLD_TERM: Duration = Duration::from_secs(3_600);
/// Time until a trial of a request that was found alone: its endpoints may have ended for another reason.
const TRIAL_DELAY: Duration = Duration::from_secs(60);
/// The same where several requests ran on the same endpoints: all but one of them are innocent.
const TRIAL_DELAY_AMBIGUOUS: Duration = Duration::from_secs(5);
/// Maximum number of endpoints to name.
pub(super) const MAX_ENDPOINTS: usize = 8;
/// How far the clock of another machine may be ahead.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// A request that is held back, or was until it was released. All gateways and the store have the same record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldRequest {
    /// Identity of its content.
    pub content: ContentId,
    /// Increases with each change between held and released; odd while it is held. The higher one wins.
    pub generation: u32,
    /// When it was found.
    pub held_at: UnixMillis,
    /// Endpoints that ended under it.
    pub endpoints: Vec<Incarnation>,
    /// Number of them when it was found.
    #[serde(default)]
    pub crashes: usize,
    /// Name of its caller's workspace.
    #[serde(default)]
    pub workspace: Option<String>,
    /// Its path, if the gateway that found it has run it.
    #[serde(default)]
    pub path: Option<String>,
    /// Name of the part of prompts, if it is one.
    #[serde(default)]
    pub part: Option<String>,
    /// It may well be innocent, and is tried soon.
    #[serde(default)]
    pub is_doubtful: bool,
    /// The gateway that may send it once, to see whether it does no more harm.
    #[serde(default)]
    pub trial_by: Option<String>,
}

impl HeldRequest {
    /// Returns whether it is held back, and wasn't released.
    pub fn is_held(&self) -> bool {
        !self.generation.is_multiple_of(2)
    }

    /// Returns whether its term is over.
    pub fn is_expired(&self, now: UnixMillis) -> bool {
        now >= self.held_at.saturating_add(millis(HOLD_TERM))
    }

    /// Returns the time until its term is over.
    pub(super) fn time_left(&self, now: UnixMillis) -> Duration {
        Duration::from_millis(self.held_at.saturating_add(millis(HOLD_TERM)).saturating_sub(now))
    }

    /// Returns the time until it may be tried.
    pub(super) fn trial_in(&self, is_soon: bool, now: UnixMillis) -> Duration {
        let delay = if is_soon { TRIAL_DELAY_AMBIGUOUS } else { TRIAL_DELAY };
        Duration::from_millis(self.held_at.saturating_add(millis(delay)).saturating_sub(now))
    }

    /// Returns whether the same endpoints ended under both, so that one of them may be innocent.
    pub(super) fn shares_crashes(&self, other: &HeldRequest) -> bool {
        let shared = self.endpoints.iter().filter(|endpoint| other.endpoints.contains(endpoint));
        shared.count() >= 2
    }

    /// Merges the record of another gateway or the store. Returns whether this one changed. The result doesn't depend
    /// on the order of merges.
    pub fn merge(&mut self, other: HeldRequest, now: UnixMillis) -> bool {
        let before = self.clone();
        if other.generation > self.generation {
            let path = self.path.take();
            let workspace = self.workspace.take();
            let part = self.part.take();
            *self = HeldRequest {
                part: other.part.clone().or(part),
                path: other.path.clone().or(path),
                workspace: other.workspace.clone().or(workspace),
                ..other
            };
        } else if other.generation == self.generation {
            self.held_at = self.held_at.max(other.held_at);
            self.endpoints.extend(other.endpoints);
            self.crashes = self.crashes.max(other.crashes);
            self.path = self.path.take().max(other.path);
            self.workspace = self.workspace.take().max(other.workspace);
            self.part = self.part.take().max(other.part);
            self.is_doubtful &= other.is_doubtful;
            self.trial_by = self.trial_by.take().max(other.trial_by);
        } else if self.part.is_none() {
            self.part = other.part;
        }
        self.normalize(now);
        *self != before
    }

    pub(super) fn normalize(&mut self, now: UnixMillis) {
        self.endpoints.sort();
        self.endpoints.dedup();
        self.endpoints.truncate(MAX_ENDPOINTS);
        self.held_at = self.held_at.min(now.saturating_add(millis(MAX_CLOCK_SKEW)));
    }
}

fn millis(time: Duration) -> UnixMillis {
    time.as_millis() as UnixMillis
}
