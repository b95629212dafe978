//! Which other gateway is asked for what this one doesn't know.

use crate::process::Revision;
use crate::version::ConfigVersion;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// For how long a gateway that gave no answer is asked only where no other one knows more: one may be heard
/// and not be reached, and each try takes the time of a call.
const AVOID_FOR: Duration = Duration::from_secs(5);

/// How much a gateway knows: the configuration first, then the endpoints up to a revision of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Known {
    /// Number of its configuration.
    pub config: ConfigVersion,
    /// Revision up to which it knows the endpoints.
    pub endpoints_at: Revision,
}

impl Known {
    /// Whether something in it is newer than in `other`.
    pub fn is_ahead_of(&self, other: &Known) -> bool {
        self.config > other.config || self.endpoints_at > other.endpoints_at
    }
}

/// Chooses whom to ask.
#[derive(Debug, Default)]
pub struct NewsSources {
    /// Gateways that gave no answer, and when. Those that are heard bound it.
    failed: HashMap<String, Instant>,
}

impl NewsSources {
    /// Of the gateways that are heard, the one that knows most and answered the last time, or didn't for a while.
    pub fn choose<'a>(
        &mut self,
        own: Known,
        heard: impl Iterator<Item = (&'a str, Known)>,
        now: Instant,
    ) -> Option<&'a str> {
        self.failed.retain(|_, at| now - *at < AVOID_FOR);
        let ahead = heard.filter(|(_, known)| known.is_ahead_of(&own));
        let by_trust = |(name, known): &(&str, Known)| (Reverse(self.failed.get(*name)), *known);
        ahead.max_by_key(by_trust).map(|(name, _)| name)
    }

    /// A gateway gave no answer.
    pub fn on_failure(&mut self, name: &str, now: Instant) {
        self.failed.insert(name.to_owned(), now);
    }
}
