//! Contents and parts of prompts that ran on endpoints when these ended, too few yet to be held back.

use super::crash_guard::MAX_CRASHES;
use super::held_request::HeldRequest;
use super::run_request::RunRequest;
use super::sound_runs::SoundRuns;
use crate::process::Incarnation;
use crate::request::ContentId;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
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

/// A suspect is held back if its being innocent is less likely than this.
const MAX_CHANCE: f64 = 1e-3;
/// Number of crashes, each so long after the one before that a sound run would have been noticed between, after which the most
/// likely suspect is held back in any case.
const MAX_EPISODES: u32 = 5;
const EPISODE_LENGTH: Duration = Duration::from_millis(500);
/// Chances that differ by less are the same.
const SAME_CHANCE: f64 = 1.01;
/// Time within which all gateways have reported their runs on an endpoint that ended: two messages.
const ALL_REPORTED_WITHIN: Duration = Duration::from_millis(600);
/// Maximum number of ended endpoints whose number of suspects is remembered, and the number taken for others.
const MAX_CROWDS: usize = 256;
const USUAL_CROWD: i32 = 16;

/// A content or part that ran on endpoints when these ended.
#[derive(Debug)]
pub(super) struct Suspect {
    /// Endpoints that ended under it since it last ran without harm.
    pub(super) endpoints: Vec<Incarnation>,
    /// Those that ended before: late reports of them don't count.
    excused: Vec<Incarnation>,
    /// The request, if a run of this gateway was among them.
    pub(super) request: Option<Rc<RunRequest>>,
    last: Instant,
    /// Number of this gateway's sound runs when the first of its endpoints ended.
    sound_before: u64,
    /// Number of crashes that each came a while after the one before, and when the last of these came.
    episodes: u32,
    last_episode: Option<Instant>,
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
    fn new(now: Instant) -> Suspect {
        Suspect {
            endpoints: Vec::new(),
            excused: Vec::new(),
            request: None,
            last: now,
            sound_before: 0,
            episodes: 0,
            last_episode: None,
        }
    }

    /// Counts the end of an endpoint. Returns whether it is new.
    fn count(&mut self, endpoint: &Incarnation, sound_runs: u64, now: Instant) -> bool {
        if self.endpoints.contains(endpoint) || self.excused.contains(endpoint) {
            return false;
        }
        if self.endpoints.is_empty() {
            self.sound_before = sound_runs;
            self.episodes = 0;
            self.last_episode = None;
        }
        self.endpoints.push(endpoint.clone());
        if self.last_episode.is_none_or(|at| now.duration_since(at) >= EPISODE_LENGTH) {
            self.episodes += 1;
            self.last_episode = Some(now);
        }
        true
    }
}

/// The contents that ran on an endpoint when it ended.
#[derive(Debug)]
struct Crowd {
    endpoint: Incarnation,
    contents: i32,
    /// When the first of them was counted.
    since: Instant,
}

/// A suspect that is to be held back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Verdict {
    pub(super) identity: ContentId,
    /// It may well be innocent, and is to be tried soon.
    pub(super) is_doubtful: bool,
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
    /// The runs that did no harm.
    pub(super) sound: SoundRuns,
    /// The latest crashes.
    crowds: VecDeque<Crowd>,
    evicted: u64,
    /// The hash over all, until something changes: it is part of each message.
    hash: Cell<Option<u64>>,
}

impl CrashSuspects {
    /// Counts the end of an endpoint for a content or part.
    pub(super) fn add(
        &mut self,
        content: ContentId,
        endpoint: &Incarnation,
        request: Option<Rc<RunRequest>>,
        now: Instant,
    ) {
        self.hash.set(None);
        if !self.suspects.contains_key(&content) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict(now);
        }
        let sound_runs = self.sound.total();
        let suspect = self.suspects.entry(content).or_insert_with(|| Suspect::new(now));
        suspect.last = now;
        suspect.request = suspect.request.take().or(request);
        if suspect.count(endpoint, sound_runs, now) && !content.is_part() {
            self.add_to_crowd(endpoint, now);
        }
    }

    /// Counts a content that ran on an endpoint when it ended.
    fn add_to_crowd(&mut self, endpoint: &Incarnation, now: Instant) {
        if let Some(crowd) = self.crowds.iter_mut().rev().find(|one| one.endpoint == *endpoint) {
            crowd.contents += 1;
            return;
        }
        if self.crowds.len() >= MAX_CROWDS {
            self.crowds.pop_front();
        }
        self.crowds.push_back(Crowd { endpoint: endpoint.clone(), contents: 1, since: now });
    }

    fn crowd(&self, endpoint: &Incarnation) -> Option<&Crowd> {
        self.crowds.iter().rev().find(|one| one.endpoint == *endpoint)
    }

    /// Returns whether all gateways that had runs on an endpoint have reported them.
    fn is_reported(&self, endpoint: &Incarnation, now: Instant) -> bool {
        let crowd = self.crowd(endpoint);
        crowd.is_none_or(|crowd| now.duration_since(crowd.since) >= ALL_REPORTED_WITHIN)
    }

    /// Returns how likely it is that a suspect that is innocent ran on all of its endpoints, of which only `independent` count, and
    /// in none of the sound runs since then.
    fn chance(&self, identity: ContentId, suspect: &Suspect, independent: usize) -> f64 {
        let others = 1.0 - self.sound.share(identity);
        let is_there = |endpoint| {
            let crowd = self.crowd(endpoint).map_or(USUAL_CROWD, |crowd| crowd.contents);
            1.0 - others.powi(crowd)
        };
        let sound_runs = self.sound.total() - suspect.sound_before;
        let is_absent = others.powf(sound_runs as f64);
        let is_in_all: f64 = suspect.endpoints.iter().map(is_there).product();
        is_in_all.powf(independent as f64 / suspect.endpoints.len() as f64) * is_absent
    }

    /// Returns the suspects to hold back now: contents that can hardly be innocent, and otherwise the least likely to be innocent
    /// of those that explain crashes which no held request explains. A content that is held back in vain keeps its own repeats
    /// waiting, a part may keep all requests of a route.
    pub(super) fn verdicts(&self, held: &[&HeldRequest], now: Instant) -> Vec<Verdict> {
        let candidates = self.suspects.iter().filter(|(_, one)| one.endpoints.len() >= MAX_CRASHES);
        let candidates: Vec<(&ContentId, &Suspect)> = candidates.collect();
        if candidates.is_empty() {
            return Vec::new();
        }
        let contents = self.repeated_contents(held);
        let mut verdicts = Vec::new();
        let mut others: Vec<(f64, Verdict)> = Vec::new();
        for (identity, suspect) in candidates {
            let independent = match identity.is_part() {
                true => independent_crashes(&suspect.endpoints, &contents),
                false => suspect.endpoints.len(),
            };
            let chance = self.chance(*identity, suspect, independent);
            let is_doubtful = chance > MAX_CHANCE;
            let verdict = Verdict { identity: *identity, is_doubtful };
            if !identity.is_part() && !is_doubtful {
                verdicts.push(verdict);
            } else if independent >= MAX_CRASHES
                && (!is_doubtful || suspect.episodes >= MAX_EPISODES)
                && self.explains_crashes(*identity, suspect, held, now)
            {
                others.push((chance, verdict));
            }
        }
        if verdicts.is_empty() {
            let best = others.iter().map(|(chance, _)| *chance).fold(f64::INFINITY, f64::min);
            others.retain(|(chance, _)| *chance <= best * SAME_CHANCE);
            verdicts.extend(others.into_iter().map(|(_, verdict)| verdict));
        }
        verdicts
    }

    /// Returns whether a suspect explains crashes which nothing that is held back explains. Crashes of several contents with the
    /// same part are explained by the part.
    fn explains_crashes(
        &self,
        identity: ContentId,
        suspect: &Suspect,
        held: &[&HeldRequest],
        now: Instant,
    ) -> bool {
        let is_explained = |endpoint: &Incarnation| {
            let mut held = held.iter().filter(|one| !identity.is_part() || one.content.is_part());
            held.any(|held| held.endpoints.iter().any(|one| one == endpoint))
        };
        let unexplained = || suspect.endpoints.iter().filter(|one| !is_explained(one));
        // A held request may have run there, too, as another gateway knows.
        let explains_more = suspect.endpoints.len() > MAX_CRASHES
            && unexplained().any(|one| self.is_reported(one, now));
        explains_more || unexplained().count() >= MAX_CRASHES
    }

    /// Returns the endpoints of each content under which several ended.
    fn repeated_contents<'a>(&'a self, held: &[&'a HeldRequest]) -> Vec<&'a [Incarnation]> {
        let suspects = self.suspects.iter().map(|(id, one)| (id, one.endpoints.as_slice()));
        let held = held.iter().map(|one| (&one.content, one.endpoints.as_slice()));
        let contents = suspects.chain(held).filter(|(identity, _)| !identity.is_part());
        contents.map(|(_, endpoints)| endpoints).filter(|all| all.len() > 1).collect()
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
        let suspect = self.suspects.get(&content);
        suspect.is_some_and(|suspect| self.has_last_chance(content, suspect))
    }

    fn has_last_chance(&self, content: ContentId, suspect: &Suspect) -> bool {
        suspect.endpoints.len() + 1 == MAX_CRASHES
            && self.chance(content, suspect, suspect.endpoints.len()) * self.sound.share(content)
                <= MAX_CHANCE
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

    /// Merges the record of another gateway. Its age is kept, so that gateways don't keep it alive in turn.
    pub(super) fn merge(&mut self, record: SuspectRecord, now: Instant) {
        let age = Duration::from_millis(record.age_ms);
        let Some(last) = now.checked_sub(age).filter(|_| age < SUSPECT_TERM) else { return };
        self.excuse(record.content, &record.excused);
        let before = self.suspects.get(&record.content).map(|suspect| suspect.last);
        for endpoint in &record.endpoints {
            self.add(record.content, endpoint, None, now);
        }
        if let Some(suspect) = self.suspects.get_mut(&record.content) {
            suspect.last = before.map_or(last, |before| before.max(last));
        }
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
        let is_peer = |content: ContentId, suspect: &Suspect| {
            now.duration_since(suspect.last) < SAME_EPISODE_WITHIN
                && !content.is_part()
                && self.has_last_chance(content, suspect)
        };
        let suspect = self.suspects.get(&content).filter(|suspect| is_peer(content, suspect));
        let Some(suspect) = suspect else { return Turn::Any };
        let wait = REPORTS_ARRIVE_WITHIN.saturating_sub(now.duration_since(suspect.last));
        if !wait.is_zero() {
            return Turn::Wait(wait);
        }
        let before = self.suspects.iter().filter(|(other, _)| **other < content);
        let rank = before.filter(|(other, suspect)| is_peer(**other, suspect)).count();
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

/// Returns how many of the crashes of a part count: those of one content, which is sent again after each, are one.
fn independent_crashes(endpoints: &[Incarnation], contents: &[&[Incarnation]]) -> usize {
    let shared =
        |other: &&[Incarnation]| endpoints.iter().filter(|one| other.contains(one)).count();
    let most = contents.iter().map(shared).max().unwrap_or_default();
    endpoints.len() + 1 - most.max(1)
}
