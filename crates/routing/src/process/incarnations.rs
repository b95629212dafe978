//! Which incarnation of each endpoint is the present one, from news that may be late or contradict each other.
//!
//! Starts can't be ordered: clocks step. Entries are ordered by their revision; an answer of the endpoint
//! itself counts for the instant at which it was asked for. An incarnation that an answer ended is over for good.
//! One that only entries ended may come back, as the incarnation before may write its entry late.

use crate::process::{EndpointId, Incarnation, Revision, StartMillis};
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// The most endpoints whose incarnations are remembered: five times the largest list in use. The one that became
/// known first is forgotten first.
const MAX_ENDPOINTS: usize = 4_096;
/// The most ended incarnations of one endpoint that are remembered: news is late by seconds, a start takes some.
const MAX_ENDED: usize = 8;
/// Entries of one incarnation that contradict the present one before they are believed without an answer: the
/// first may have been written late.
const CONTRADICTIONS_TO_BELIEF: u32 = 2;

/// What an entry tells of its endpoint's incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryNews {
    /// It is of the present incarnation, or of the first one that is known.
    Present,
    /// It tells no start, and nothing of the incarnation.
    Untold,
    /// It is of a new incarnation.
    Began {
        /// The incarnation that is over.
        ended: Incarnation,
    },
    /// It is of an incarnation that is over: it changes nothing.
    Late,
    /// It is of an incarnation that entries told the end of. Only the endpoint can tell whether it was written
    /// late; it changes nothing meanwhile.
    Contradicts,
}

/// What an answer of an endpoint tells of its incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerNews {
    /// It is of the present incarnation.
    Present {
        /// Incarnations that only entries had ended, and that are over for good by this.
        now_over: Vec<Incarnation>,
    },
    /// It tells no start, while the entry does: it can't be used.
    Untold,
    /// It is of a new incarnation.
    Began {
        /// The incarnation that is over.
        ended: Incarnation,
    },
    /// It was asked for before the present incarnation was known, or is of an incarnation that is over.
    Late,
}

/// What tells that an incarnation is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndedBy {
    /// An entry of another incarnation.
    Entry,
    /// An answer of a later incarnation, here or at another process.
    Answer,
}

#[derive(Clone, Copy, Debug)]
struct Ended {
    started: Option<StartMillis>,
    by: EndedBy,
    /// The incarnation that was found in its place.
    successor: Option<StartMillis>,
}

#[derive(Clone, Copy, Debug)]
struct Present {
    started: Option<StartMillis>,
    /// Since when an answer of another incarnation is news: an earlier one may be older than this incarnation.
    proven: Instant,
}

/// The lives of one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointLives {
    present: Option<Present>,
    ended: VecDeque<Ended>,
    /// The highest revision of its entry so far.
    entry_at: Revision,
    /// Entries of an incarnation that contradict the present one, since that was last confirmed.
    contradictions: Option<(Option<StartMillis>, u32)>,
}

/// The lives of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Incarnations {
    endpoints: HashMap<EndpointId, EndpointLives>,
    /// Endpoints in the order in which they became known.
    order: VecDeque<EndpointId>,
}

impl Incarnations {
    /// The start of an endpoint's present incarnation; the outer none where nothing is known of it.
    pub fn present(&self, id: &str) -> Option<Option<StartMillis>> {
        Some(self.endpoints.get(id)?.present?.started)
    }

    /// Whether an incarnation is over, as far as any news tells.
    pub fn has_ended(&self, incarnation: &Incarnation) -> bool {
        self.endpoints
            .get(&incarnation.id)
            .is_some_and(|incarnations| incarnations.ended(incarnation.started).is_some())
    }

    /// Whether an incarnation is over for good: an answer of a later one tells it.
    pub fn is_over(&self, incarnation: &Incarnation) -> bool {
        self.endpoints
            .get(&incarnation.id)
            .is_some_and(|incarnations| incarnations.is_over(incarnation.started))
    }

    /// Takes an entry of `incarnation` that was written at `revision` and is read at `now`.
    pub fn on_entry(
        &mut self,
        incarnation: &Incarnation,
        revision: Revision,
        now: Instant,
    ) -> EntryNews {
        self.incarnations(&incarnation.id).on_entry(incarnation, revision, now)
    }

    /// Takes an answer of an endpoint that was asked for at `asked` and came at `now`.
    pub fn on_answer(
        &mut self,
        id: &str,
        started: Option<StartMillis>,
        asked: Instant,
        now: Instant,
    ) -> AnswerNews {
        self.incarnations(id).on_answer(id, started, asked, now)
    }

    /// Takes from another process that an answer of the incarnation that began at `successor` told the end of
    /// `ended`. That stays true, however late it is heard. Tells whether the present incarnation changed.
    pub fn on_end_told(
        &mut self,
        ended: &Incarnation,
        successor: Option<StartMillis>,
        now: Instant,
    ) -> bool {
        self.incarnations(&ended.id).on_end_told(ended.started, successor, now)
    }

    /// Another endpoint answers at the address of an incarnation: it is over for good, and none is known to follow
    /// it. Tells whether that is news.
    pub fn on_replaced(&mut self, incarnation: &Incarnation) -> bool {
        self.incarnations(&incarnation.id).on_replaced(incarnation.started)
    }

    fn incarnations(&mut self, id: &str) -> &mut EndpointLives {
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

impl EndpointLives {
    fn ended(&self, started: Option<StartMillis>) -> Option<&Ended> {
        self.ended.iter().find(|ended| ended.started == started)
    }

    fn is_over(&self, started: Option<StartMillis>) -> bool {
        self.ended(started).is_some_and(|ended| ended.by == EndedBy::Answer)
    }

    fn on_entry(
        &mut self,
        incarnation: &Incarnation,
        revision: Revision,
        now: Instant,
    ) -> EntryNews {
        let is_known = revision <= self.entry_at;
        self.entry_at = self.entry_at.max(revision);
        let Some(present) = self.present else {
            if self.is_over(incarnation.started) {
                return EntryNews::Late;
            }
            self.begin(incarnation.started, now);
            return EntryNews::Present;
        };
        if incarnation.started == present.started {
            self.contradictions = None;
            return EntryNews::Present;
        }
        if incarnation.started.is_none() {
            return EntryNews::Untold;
        }
        if is_known || self.is_over(incarnation.started) {
            return EntryNews::Late;
        }
        if self.ended(incarnation.started).is_some() && !self.is_believed(incarnation.started) {
            return EntryNews::Contradicts;
        }
        self.end(present.started, EndedBy::Entry, incarnation.started);
        self.begin(incarnation.started, now);
        EntryNews::Began { ended: Incarnation::new(incarnation.id.clone(), present.started) }
    }

    /// Counts an entry that contradicts the present incarnation. Whether it is believed now.
    fn is_believed(&mut self, started: Option<StartMillis>) -> bool {
        let before = self.contradictions.filter(|(of, _)| *of == started);
        let count = before.map_or(0, |(_, count)| count) + 1;
        self.contradictions = Some((started, count));
        count >= CONTRADICTIONS_TO_BELIEF
    }

    fn on_answer(
        &mut self,
        id: &str,
        started: Option<StartMillis>,
        asked: Instant,
        now: Instant,
    ) -> AnswerNews {
        let Some(present) = self.present else {
            if self.is_over(started) {
                return AnswerNews::Late;
            }
            self.begin(started, now);
            return AnswerNews::Present { now_over: Vec::new() };
        };
        if started == present.started {
            let now_over = self.on_confirmed(present, asked);
            let now_over = now_over.into_iter().map(|ended| Incarnation::new(id, ended));
            return AnswerNews::Present { now_over: now_over.collect() };
        }
        if started.is_none() {
            return AnswerNews::Untold;
        }
        if self.is_over(started) || asked < present.proven {
            return AnswerNews::Late;
        }
        self.end(present.started, EndedBy::Answer, started);
        self.begin(started, now);
        AnswerNews::Began { ended: Incarnation::new(id, present.started) }
    }

    /// An answer confirms the present incarnation: all that were known before it was asked for are over. Tells
    /// of which that wasn't sure.
    fn on_confirmed(&mut self, present: Present, asked: Instant) -> Vec<Option<StartMillis>> {
        if asked < present.proven {
            return Vec::new();
        }
        self.present = Some(Present { proven: asked, ..present });
        self.contradictions = None;
        let mut now_over = Vec::new();
        for ended in self.ended.iter_mut().filter(|ended| ended.by == EndedBy::Entry) {
            ended.by = EndedBy::Answer;
            now_over.push(ended.started);
        }
        now_over
    }

    fn on_end_told(
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
        if !self.is_over(latest) {
            self.begin(latest, now);
        }
        true
    }

    fn on_replaced(&mut self, started: Option<StartMillis>) -> bool {
        let is_new = !self.is_over(started);
        self.end(started, EndedBy::Answer, None);
        if self.present.is_some_and(|present| present.started == started) {
            self.present = None;
        }
        is_new
    }

    /// The last known of the incarnations that were found one in the place of the other, from `started` on.
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
        self.present = Some(Present { started, proven: now });
        self.contradictions = None;
    }

    fn end(&mut self, started: Option<StartMillis>, by: EndedBy, successor: Option<StartMillis>) {
        if self.is_over(started) {
            return;
        }
        self.ended.retain(|ended| ended.started != started);
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { started, by, successor });
    }
}
