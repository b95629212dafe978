//! Determines the present incarnation of each endpoint from updates that may be late or contradict each other.
//!
//! Starts can't be ordered, because clocks step. Entries are ordered by their revision; an answer of the endpoint
//! itself counts for the instant at which it was requested. An incarnation that an answer ended is over for good.
//! One that only entries ended may become present again, as the previous incarnation may have written its entry
//! late.

use crate::process::{EndpointId, Incarnation, Revision, StartMillis};
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// Maximum number of endpoints whose incarnations are remembered: five times the largest list in use. The
/// endpoint that was added first is evicted first.
const MAX_ENDPOINTS: usize = 4_096;
/// Maximum number of ended incarnations remembered per endpoint: updates are late by seconds, and a start takes
/// some seconds.
const MAX_ENDED: usize = 8;
/// Number of entries of one incarnation that must contradict the present one before they are accepted without an
/// answer: the first may have been written late.
const MIN_CONTRADICTIONS: u32 = 2;

/// What an entry shows about its endpoint's incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryUpdate {
    /// The entry is of the present incarnation, or of the first one that is known.
    Present,
    /// The entry gives no start and shows nothing about the incarnation.
    NoStart,
    /// The entry is of a new incarnation.
    Began {
        /// The incarnation that ended.
        ended: Incarnation,
    },
    /// The entry is outdated, or of an incarnation that is over; it changes nothing.
    Late,
    /// The entry is of an incarnation that other entries ended. Only the endpoint can settle whether it was
    /// written late; it changes nothing meanwhile.
    Contradicts,
}

/// What an answer of an endpoint shows about its incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerUpdate {
    /// The answer is of the present incarnation.
    Present {
        /// Incarnations that only entries had ended, and that this answer confirms to be over for good.
        confirmed_ended: Vec<Incarnation>,
    },
    /// The answer gives no start, though the entry does; it can't be used.
    NoStart,
    /// The answer is of a new incarnation.
    Began {
        /// The incarnation that ended.
        ended: Incarnation,
    },
    /// The answer was requested before the present incarnation was known, or is of an incarnation that is over.
    Late,
}

/// Evidence that an incarnation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndedBy {
    /// An entry of another incarnation.
    Entry,
    /// An answer of a later incarnation, received here or by another process.
    Answer,
}

#[derive(Clone, Copy, Debug)]
struct Ended {
    started: Option<StartMillis>,
    by: EndedBy,
    /// The incarnation that replaced it.
    successor: Option<StartMillis>,
}

#[derive(Clone, Copy, Debug)]
struct Present {
    started: Option<StartMillis>,
    /// An answer of another incarnation that was requested before this is ignored: it may be older than this
    /// incarnation.
    confirmed_at: Instant,
}

/// The incarnations of one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointIncarnations {
    present: Option<Present>,
    ended: VecDeque<Ended>,
    /// Highest revision of its entry so far.
    entry_at: Revision,
    /// An incarnation whose entries contradict the present one, and how many did since that was last confirmed.
    contradictions: Option<(Option<StartMillis>, u32)>,
}

/// The incarnations of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    endpoints: HashMap<EndpointId, EndpointIncarnations>,
    /// Endpoints in the order in which they were added.
    order: VecDeque<EndpointId>,
}

impl Incarnations {
    /// Returns the start of an endpoint's present incarnation; the outer option is none if it is unknown.
    pub fn present(&self, id: &str) -> Option<Option<StartMillis>> {
        Some(self.endpoints.get(id)?.present?.started)
    }

    /// Returns whether an incarnation has ended by any evidence.
    pub fn has_ended(&self, incarnation: &Incarnation) -> bool {
        self.endpoints
            .get(&incarnation.id)
            .is_some_and(|incarnations| incarnations.ended(incarnation.started).is_some())
    }

    /// Returns whether an incarnation is over for good, as confirmed by an answer.
    pub fn is_confirmed_ended(&self, incarnation: &Incarnation) -> bool {
        self.endpoints
            .get(&incarnation.id)
            .is_some_and(|incarnations| incarnations.is_confirmed_ended(incarnation.started))
    }

    /// Applies an entry of `incarnation` that was written at `revision` and is read at `now`.
    pub fn on_entry(
        &mut self,
        incarnation: &Incarnation,
        revision: Revision,
        now: Instant,
    ) -> EntryUpdate {
        self.incarnations(&incarnation.id).on_entry(incarnation, revision, now)
    }

    /// Applies an answer of an endpoint that was requested at `requested_at` and arrived at `now`.
    pub fn on_answer(
        &mut self,
        id: &str,
        started: Option<StartMillis>,
        requested_at: Instant,
        now: Instant,
    ) -> AnswerUpdate {
        self.incarnations(id).on_answer(id, started, requested_at, now)
    }

    /// Applies a report of another process that an answer of the incarnation that began at `successor` ended
    /// `ended`. The report stays valid however late it arrives. Returns whether the present incarnation changed.
    pub fn on_end_reported(
        &mut self,
        ended: &Incarnation,
        successor: Option<StartMillis>,
        now: Instant,
    ) -> bool {
        self.incarnations(&ended.id).on_end_reported(ended.started, successor, now)
    }

    /// Marks an incarnation as over for good without a known successor, because another endpoint answers at its
    /// address. Returns whether that is new.
    pub fn on_replaced(&mut self, incarnation: &Incarnation) -> bool {
        self.incarnations(&incarnation.id).on_replaced(incarnation.started)
    }

    fn incarnations(&mut self, id: &str) -> &mut EndpointIncarnations {
        if !self.endpoints.contains_key(id) {
            if self.order.len() >= MAX_ENDPOINTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.endpoints.remove(&oldest);
            }
            self.order.push_back(id.to_owned());
        }
        self.endpoints.entry(id.to_owned()).or_default()
    }
}

impl EndpointIncarnations {
    fn ended(&self, started: Option<StartMillis>) -> Option<&Ended> {
        self.ended.iter().find(|ended| ended.started == started)
    }

    fn is_confirmed_ended(&self, started: Option<StartMillis>) -> bool {
        self.ended(started).is_some_and(|ended| ended.by == EndedBy::Answer)
    }

    fn on_entry(
        &mut self,
        incarnation: &Incarnation,
        revision: Revision,
        now: Instant,
    ) -> EntryUpdate {
        let is_known = revision <= self.entry_at;
        self.entry_at = self.entry_at.max(revision);
        let Some(present) = self.present else {
            if self.is_confirmed_ended(incarnation.started) {
                return EntryUpdate::Late;
            }
            self.begin(incarnation.started, now);
            return EntryUpdate::Present;
        };
        if incarnation.started == present.started {
            self.contradictions = None;
            return EntryUpdate::Present;
        }
        if incarnation.started.is_none() {
            return EntryUpdate::NoStart;
        }
        if is_known || self.is_confirmed_ended(incarnation.started) {
            return EntryUpdate::Late;
        }
        if self.ended(incarnation.started).is_some() && !self.is_accepted(incarnation.started) {
            return EntryUpdate::Contradicts;
        }
        self.end(present.started, EndedBy::Entry, incarnation.started);
        self.begin(incarnation.started, now);
        EntryUpdate::Began { ended: Incarnation::new(incarnation.id.clone(), present.started) }
    }

    /// Counts an entry that contradicts the present incarnation. Returns whether it is accepted now.
    fn is_accepted(&mut self, started: Option<StartMillis>) -> bool {
        let before = self.contradictions.filter(|(of, _)| *of == started);
        let count = before.map_or(0, |(_, count)| count) + 1;
        self.contradictions = Some((started, count));
        count >= MIN_CONTRADICTIONS
    }

    fn on_answer(
        &mut self,
        id: &str,
        started: Option<StartMillis>,
        requested_at: Instant,
        now: Instant,
    ) -> AnswerUpdate {
        let Some(present) = self.present else {
            if self.is_confirmed_ended(started) {
                return AnswerUpdate::Late;
            }
            self.begin(started, now);
            return AnswerUpdate::Present { confirmed_ended: Vec::new() };
        };
        if started == present.started {
            let confirmed_ended = self.on_confirmed(present, requested_at);
            let confirmed_ended =
                confirmed_ended.into_iter().map(|ended| Incarnation::new(id, ended));
            return AnswerUpdate::Present { confirmed_ended: confirmed_ended.collect() };
        }
        if started.is_none() {
            return AnswerUpdate::NoStart;
        }
        if self.is_confirmed_ended(started) || requested_at < present.confirmed_at {
            return AnswerUpdate::Late;
        }
        self.end(present.started, EndedBy::Answer, started);
        self.begin(started, now);
        AnswerUpdate::Began { ended: Incarnation::new(id, present.started) }
    }

    /// Handles an answer that confirms the present incarnation: all others that were known before it was
    /// requested are over. Returns those whose end was not yet confirmed.
    fn on_confirmed(
        &mut self,
        present: Present,
        requested_at: Instant,
    ) -> Vec<Option<StartMillis>> {
        if requested_at < present.confirmed_at {
            return Vec::new();
        }
        self.present = Some(Present { confirmed_at: requested_at, ..present });
        self.contradictions = None;
        let mut confirmed_ended = Vec::new();
        for ended in self.ended.iter_mut().filter(|ended| ended.by == EndedBy::Entry) {
            ended.by = EndedBy::Answer;
            confirmed_ended.push(ended.started);
        }
        confirmed_ended
    }

    fn on_end_reported(
        &mut self,
        ended: Option<StartMillis>,
        successor: Option<StartMillis>,
        now: Instant,
    ) -> bool {
        self.end(ended, EndedBy::Answer, successor);
        if self.present.is_none_or(|present| present.started != ended) {
            return false;
        }
        let latest = self.latest(successor);
        self.present = None;
        if !self.is_confirmed_ended(latest) {
            self.begin(latest, now);
        }
        true
    }

    fn on_replaced(&mut self, started: Option<StartMillis>) -> bool {
        let is_new = !self.is_confirmed_ended(started);
        self.end(started, EndedBy::Answer, None);
        if self.present.is_some_and(|present| present.started == started) {
            self.present = None;
        }
        is_new
    }

    /// Follows the chain of confirmed successors from `started` and returns the last one known.
    fn latest(&self, started: Option<StartMillis>) -> Option<StartMillis> {
        let mut latest = started;
        for _ in 0..MAX_ENDED {
            match self.ended(latest) {
                Some(ended) if ended.by == EndedBy::Answer => latest = ended.successor,
                _ => break,
            }
        }
        latest
    }

    fn begin(&mut self, started: Option<StartMillis>, now: Instant) {
        self.ended.retain(|ended| ended.started != started);
        self.present = Some(Present { started, confirmed_at: now });
        self.contradictions = None;
    }

    fn end(&mut self, started: Option<StartMillis>, by: EndedBy, successor: Option<StartMillis>) {
        if self.is_confirmed_ended(started) {
            return;
        }
        self.ended.retain(|ended| ended.started != started);
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { started, by, successor });
    }
}
