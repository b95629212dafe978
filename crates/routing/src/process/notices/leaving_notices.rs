//! Endpoints that said in an answer to this gateway that they leave.

use crate::process::Incarnation;
use std::collections::HashMap;
use std::time::Instant;

/// Maximum number of endpoints that are kept: several times those that leave a large fleet in a day.
const MAX_KEPT: usize = 4_096;

/// Endpoints that said in an answer that they leave.
///
/// That holds until their incarnation ends, whatever the store or other gateways say. They are kept when their entry is gone, as it may come back.
#[derive(Debug, Default)]
pub struct LeavingNotices {
    since: HashMap<Incarnation, Instant>,
    evicted: u64,
}

impl LeavingNotices {
    /// Records that an endpoint said so `now`. Returns whether that is new.
    pub fn add(&mut self, endpoint: &Incarnation, now: Instant) -> bool {
        if self.since.contains_key(endpoint) {
            return false;
        }
        if self.since.len() >= MAX_KEPT {
            self.evict_oldest();
        }
        self.since.insert(endpoint.clone(), now);
        true
    }

    fn evict_oldest(&mut self) {
        let oldest = self.since.iter().min_by_key(|(_, since)| **since);
        if let Some(endpoint) = oldest.map(|(endpoint, _)| endpoint.clone()) {
            self.since.remove(&endpoint);
            self.evicted += 1;
        }
    }

    /// Returns whether an endpoint said that it leaves.
    pub fn contains(&self, endpoint: &Incarnation) -> bool {
        self.since.contains_key(endpoint)
    }

    /// Returns the endpoints, and when each first said so.
    pub fn all(&self) -> impl Iterator<Item = (&Incarnation, Instant)> {
        self.since.iter().map(|(endpoint, since)| (endpoint, *since))
    }

    /// Returns the number of endpoints.
    pub fn len(&self) -> usize {
        self.since.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    /// Returns how many were dropped to make room.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }
}
