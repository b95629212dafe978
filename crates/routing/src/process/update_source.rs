//! Selects the gateway to query for updates that this one lacks.

use crate::process::Revision;
use crate::version::ConfigVersion;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a gateway that did not answer is queried only if no other one knows more: one may send messages and
/// still be unreachable, and each try takes the time of a call.
const AVOID_FOR: Duration = Duration::from_secs(5);

/// How much a gateway knows: the configuration is compared first, then the revision of its endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Known {
    /// Version of its configuration.
    pub config: ConfigVersion,
    /// Revision up to which it knows the endpoints.
    pub endpoints_at: Revision,
}

impl Known {
    /// Returns whether any part is newer than in `other`.
    pub fn is_ahead_of(&self, other: &Known) -> bool {
        self.config > other.config || self.endpoints_at > other.endpoints_at
    }
}

/// A gateway that can be queried.
#[derive(Clone, Copy, Debug)]
pub struct UpdateSource<'a> {
    /// Its name.
    pub name: &'a str,
    /// How much it knows.
    pub known: Known,
    /// Whether it is in the same data centre.
    pub is_near: bool,
}

/// Selects which gateway to query.
#[derive(Debug, Default)]
pub struct UpdateSources {
    /// Gateways that did not answer, and when. Bounded by the number of gateways in contact.
    failed: HashMap<String, Instant>,
}

impl UpdateSources {
    /// Returns the gateway that knows most among those that know more than `own`, preferably one of the same data centre. A
    /// gateway that failed recently is chosen only if all others did, too; the one that failed first goes first.
    pub fn choose<'a>(
        &mut self,
        own: Known,
        candidates: impl Iterator<Item = UpdateSource<'a>>,
        now: Instant,
    ) -> Option<&'a str> {
        self.failed.retain(|_, at| now - *at < AVOID_FOR);
        let ahead = candidates.filter(|source| source.known.is_ahead_of(&own));
        let by_preference = |source: &UpdateSource<'_>| {
            (Reverse(self.failed.get(source.name)), source.is_near, source.known)
        };
        ahead.max_by_key(by_preference).map(|source| source.name)
    }

    /// Records that a gateway did not answer.
    pub fn on_failure(&mut self, name: &str, now: Instant) {
        self.failed.insert(name.to_owned(), now);
    }
}
