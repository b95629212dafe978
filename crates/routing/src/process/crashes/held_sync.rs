//! Decides when a gateway reads the records of another one, and when those of held requests from the store.

use super::crash_exchange::CrashDigest;
use std::time::{Duration, Instant};

/// How long the records of two gateways may differ before one reads the other's: by then both have got the reports
/// from which each makes its records.
const DIFFERS_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum interval between two reads of another gateway's records.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which one gateway of those that reach each other lists the store's records.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
/// The same while a registered gateway is silent, as it may have found what only the store tells.
const LIST_INTERVAL_PARTED: Duration = Duration::from_secs(2);
/// Interval at which a gateway lists them until it has succeeded once.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// State of the synchronization of one gateway.
#[derive(Debug, Default)]
pub struct HeldSync {
    differs_since: Option<Instant>,
    last_fetch: Option<Instant>,
    fetches: usize,
    last_list: Option<Instant>,
    has_listed: bool,
}

impl HeldSync {
    /// Returns the gateway whose records to read now, from the live ones with the summary of their records.
    pub fn fetch_from<T>(
        &mut self,
        own: CrashDigest,
        peers: impl Iterator<Item = (T, CrashDigest)>,
        now: Instant,
    ) -> Option<T> {
        let mut differing: Vec<T> =
            peers.filter(|(_, digest)| *digest != own).map(|(peer, _)| peer).collect();
        if differing.is_empty() {
            self.differs_since = None;
            return None;
        }
        let since = *self.differs_since.get_or_insert(now);
        let is_early = self.last_fetch.is_some_and(|at| now.duration_since(at) < FETCH_INTERVAL);
        if is_early || now.duration_since(since) < DIFFERS_TIMEOUT {
            return None;
        }
        self.last_fetch = Some(now);
        self.fetches += 1;
        // Another one each time, as one may not answer.
        Some(differing.swap_remove(self.fetches % differing.len()))
    }

    /// Returns whether the records that outlast all gateways have been read once.
    pub fn has_listed(&self) -> bool {
        self.has_listed
    }

    /// Returns whether to list the store's records now. `is_first` tells whether this gateway sorts before all live
    /// ones, `is_parted` whether a registered gateway is silent.
    pub fn is_list_due(&self, is_first: bool, is_parted: bool, now: Instant) -> bool {
        let interval = match (self.has_listed, is_parted) {
            (false, _) => FIRST_LIST_INTERVAL,
            (true, true) => LIST_INTERVAL_PARTED,
            (true, false) => LIST_INTERVAL,
        };
        (is_first || !self.has_listed)
            && self.last_list.is_none_or(|at| now.duration_since(at) >= interval)
    }

    /// Records that another gateway's records were read at the start, in place of the store's.
    pub fn on_first_read(&mut self, now: Instant) {
        self.last_list = Some(now);
        self.has_listed = true;
    }

    /// Records that the store's records were requested, and whether they came.
    pub fn on_list(&mut self, has_succeeded: bool, now: Instant) {
        self.last_list = Some(now);
        self.has_listed |= has_succeeded;
    }
}
