//! Requests that ran on endpoints when these ended, too few yet to be held back.

use super::crash_guard::MAX_CRASHES;
use super::run_request::RunRequest;
use crate::process::Incarnation;
use crate::request::ContentId;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// How long the end of an endpoint counts for a request that ran there.
const SUSPECT_TERM: Duration = Duration::from_secs(600);
/// Maximum number of suspects: some twenty endpoints that end with all their slots taken.
const MAX_SUSPECTS: usize = 4_096;
/// Time within which the reports of a crash have reached all gateways, but for lost ones.
const REPORTS_ARRIVE_WITHIN: Duration = Duration::from_millis(150);
/// Time within which requests that ran on the same endpoint are sent again.
const SAME_EPISODE_WITHIN: Duration = Duration::from_secs(2);
/// Maximum number of endpoints from whose end a request is excused: reports of the oldest ones have expired.
const MAX_EXCUSED: usize = 16;

/// A request that ran on endpoints when these ended.
#[derive(Debug)]
pub(super) struct Suspect {
    /// Endpoints that ended under it since it last ran without harm.
    pub(super) endpoints: Vec<Incarnation>,
    /// Those that ended before: late reports of them don't count.
    excused: Vec<Incarnation>,
    /// The request, if a run of this gateway was among them.
    pub(super) request: Option<Rc<RunRequest>>,
    last: Instant,
}

/// A suspect as another gateway has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Identity of the request's content.
    pub content: ContentId,
    /// Endpoints that ended under it and count.
    pub endpoints: Vec<Incarnation>,
    /// Endpoints that ended under it before it ran without harm.
    pub excused: Vec<Incarnation>,
    /// Time since the latest end, in ms.
    pub age_ms: u64,
}

impl Suspect {
    /// Returns whether one more crash holds it back.
    fn is_last_chance(&self) -> bool {
        self.endpoints.len() + 1 == MAX_CRASHES
    }
}

/// When and where a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Now, to any endpoint.
    Any,
    /// Now, to the endpoint with this index, in an order that all gateways share.
    At(usize),
    /// Decided anew after this time.
    Wait(Duration),
}

/// The suspects by their content.
#[derive(Debug, Default)]
pub(super) struct CrashSuspects {
    suspects: HashMap<ContentId, Suspect>,
    evicted: u64,
    /// The hash over all, until something changes: it is part of each message.
    hash: Cell<Option<u64>>,
}

impl CrashSuspects {
    /// Counts the end of an endpoint for a request. Returns the suspect, with all its endpoints so far.
    pub(super) fn add(
        &mut self,
        content: ContentId,
        endpoint: &Incarnation,
        request: Option<Rc<RunRequest>>,
        now: Instant,
    ) -> &Suspect {
        self.hash.set(None);
        if !self.suspects.contains_key(&content) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict(now);
        }
        let new =
            || Suspect { endpoints: Vec::new(), excused: Vec::new(), request: None, last: now };
        let suspect = self.suspects.entry(content).or_insert_with(new);
        suspect.last = now;
        if !suspect.endpoints.contains(endpoint) && !suspect.excused.contains(endpoint) {
            suspect.endpoints.push(endpoint.clone());
        }
        suspect.request = suspect.request.take().or(request);
        suspect
    }

    /// Excuses a request from all ends so far, and from those of `endpoints`. Returns whether any counted.
    pub(super) fn excuse_all(&mut self, content: ContentId, endpoints: &[Incarnation]) -> bool {
        let Some(suspect) = self.suspects.get(&content) else { return false };
        let counted = suspect.endpoints.clone();
        self.excuse(content, &counted);
        self.excuse(content, endpoints);
        !counted.is_empty()
    }

    /// Excuses a suspect from the ends of `endpoints`.
    fn excuse(&mut self, content: ContentId, endpoints: &[Incarnation]) {
        let Some(suspect) = self.suspects.get_mut(&content) else { return };
        self.hash.set(None);
        suspect.endpoints.retain(|endpoint| !endpoints.contains(endpoint));
        for endpoint in endpoints {
            if !suspect.excused.contains(endpoint) {
                suspect.excused.push(endpoint.clone());
            }
        }
        let surplus = suspect.excused.len().saturating_sub(MAX_EXCUSED);
        suspect.excused.drain(..surplus);
    }

    pub(super) fn get(&self, content: ContentId) -> Option<&Suspect> {
        self.suspects.get(&content)
    }

    /// Returns whether one more crash holds a request back.
    pub(super) fn is_last_chance(&self, content: ContentId) -> bool {
        self.suspects.get(&content).is_some_and(Suspect::is_last_chance)
    }

    /// Returns the endpoints that ended under a request and count.
    pub(super) fn ended_under(&self, content: ContentId) -> &[Incarnation] {
        self.suspects.get(&content).map_or(&[], |suspect| suspect.endpoints.as_slice())
    }

    /// Returns the records of all suspects, for other gateways.
    pub(super) fn records(&self, now: Instant) -> Vec<SuspectRecord> {
        let record = |(content, suspect): (&ContentId, &Suspect)| SuspectRecord {
            content: *content,
            endpoints: suspect.endpoints.clone(),
            excused: suspect.excused.clone(),
            age_ms: now.duration_since(suspect.last).as_millis() as u64,
        };
        self.suspects.iter().map(record).collect()
    }

    /// Merges the record of another gateway. Returns whether the request is one too many by now. Its age is kept, so
    /// that gateways don't keep it alive in turn.
    pub(super) fn merge(&mut self, record: SuspectRecord, now: Instant) -> bool {
        let age = Duration::from_millis(record.age_ms);
        let Some(last) = now.checked_sub(age).filter(|_| age < SUSPECT_TERM) else { return false };
        self.excuse(record.content, &record.excused);
        let before = self.suspects.get(&record.content).map(|suspect| suspect.last);
        for endpoint in &record.endpoints {
            self.add(record.content, endpoint, None, now);
        }
        let Some(suspect) = self.suspects.get_mut(&record.content) else { return false };
        suspect.last = before.map_or(last, |before| before.max(last));
        suspect.endpoints.len() >= MAX_CRASHES
    }

    /// Returns a hash over the ends that count, which doesn't depend on their order.
    pub(super) fn hash(&self) -> u64 {
        let hash_of = |content: &ContentId, endpoint: &Incarnation| {
            xxh3_64(format!("{content}/{endpoint}").as_bytes())
        };
        if let Some(hash) = self.hash.get() {
            return hash;
        }
        let pairs = self.suspects.iter().flat_map(|(content, suspect)| {
            suspect.endpoints.iter().map(move |endpoint| hash_of(content, endpoint))
        });
        let hash = pairs.fold(0, |hash, pair| hash ^ pair);
        self.hash.set(Some(hash));
        hash
    }

    /// Returns how many endpoints ended under a request.
    pub(super) fn crashes(&self, content: ContentId) -> usize {
        self.suspects.get(&content).map_or(0, |suspect| suspect.endpoints.len())
    }

    /// Returns when and where a request may be sent, with `count` endpoints to choose from.
    pub(super) fn turn(&self, content: ContentId, count: usize, now: Instant) -> Turn {
        let is_peer = |suspect: &Suspect| {
            suspect.is_last_chance() && now.duration_since(suspect.last) < SAME_EPISODE_WITHIN
        };
        let Some(suspect) = self.suspects.get(&content).filter(|suspect| is_peer(suspect)) else {
            return Turn::Any;
        };
        let wait = REPORTS_ARRIVE_WITHIN.saturating_sub(now.duration_since(suspect.last));
        if !wait.is_zero() {
            return Turn::Wait(wait);
        }
        let before = self.suspects.iter().filter(|(other, _)| **other < content);
        let rank = before.filter(|(_, suspect)| is_peer(suspect)).count();
        if rank < count { Turn::At(rank) } else { Turn::Wait(REPORTS_ARRIVE_WITHIN) }
    }

    /// Returns the number of requests under which an endpoint ended that counts.
    pub(super) fn len(&self) -> usize {
        self.suspects.values().filter(|suspect| !suspect.endpoints.is_empty()).count()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns how many suspects were dropped for want of space.
    pub(super) fn evicted(&self) -> u64 {
        self.evicted
    }

    pub(super) fn drop_expired(&mut self, now: Instant) {
        let before = self.suspects.len();
        self.suspects.retain(|_, suspect| now.duration_since(suspect.last) < SUSPECT_TERM);
        if self.suspects.len() < before {
            self.hash.set(None);
        }
    }

    /// Makes space: drops the expired suspects, or else the one that was counted longest ago.
    fn evict(&mut self, now: Instant) {
        self.drop_expired(now);
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.last);
        if let Some(content) = oldest.map(|(content, _)| *content) {
            self.suspects.remove(&content);
            self.evicted += 1;
        }
    }
}
