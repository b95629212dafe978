//! Which life of each endpoint is the present one, from news that may be late or contradict each other.
//!
//! Starts can't be ordered: clocks step. Entries are ordered by their revision; an answer of the endpoint
//! itself counts for the instant at which it was asked for. A life that an answer ended is over for good.
//! One that only entries ended may come back, as the life before may write its entry late.

use crate::process::{EndpointId, Incarnation, Revision, StartMillis};
use std::collections::{HashMap, VecDeque};
use std::time::Instant;

/// The most endpoints whose lives are remembered: five times the largest list in use. The one that became
/// known first is forgotten first.
const MAX_ENDPOINTS: usize = 4_096;
/// The most ended lives of one endpoint that are remembered: news is late by seconds, a start takes some.
const MAX_ENDED: usize = 8;
/// Entries of one life that contradict the present one before they are believed without an answer: the
/// first may have been written late.
const CONTRADICTIONS_TO_BELIEF: u32 = 2;

/// What an entry tells of its endpoint's life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryNews {
    /// It is of the present life, or of the first one that is known.
    Present,
    /// It tells no start, and nothing of the life.
    Untold,
    /// It is of a new life.
    Began {
        /// The life that is over.
        ended: Incarnation,
    },
    /// It is of a life that is over: it changes nothing.
    Late,
    /// It is of a life that entries told the end of. Only the endpoint can tell whether it was written
    /// late; it changes nothing meanwhile.
    Contradicts,
}

/// What an answer of an endpoint tells of its life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerNews {
    /// It is of the present life.
    Present {
        /// Lives that only entries had ended, and that are over for good by this.
        now_over: Vec<Incarnation>,
    },
    /// It tells no start, while the entry does: it can't be used.
    Untold,
    /// It is of a new life.
    Began {
        /// The life that is over.
        ended: Incarnation,
    },
    /// It was asked for before the present life was known, or is of a life that is over.
    Late,
}

/// What tells that a life is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndedBy {
    /// An entry of another life.
    Entry,
    /// An answer of a later life, here or at another process.
    Answer,
}

#[derive(Clone, Copy, Debug)]
struct Ended {
    started: Option<StartMillis>,
    by: EndedBy,
    /// The life that was found in its place.
    successor: Option<StartMillis>,
}

#[derive(Clone, Copy, Debug)]
struct Present {
    started: Option<StartMillis>,
    /// Since when an answer of another life is news: an earlier one may be older than this life.
    proven: Instant,
}

/// The lives of one endpoint.
#[derive(Clone, Debug, Default)]
struct EndpointLives {
    present: Option<Present>,
    ended: VecDeque<Ended>,
    /// The highest revision of its entry so far.
    entry_at: Revision,
    /// Entries of a life that contradict the present one, since that was last confirmed.
    contradictions: Option<(Option<StartMillis>, u32)>,
}

/// The lives of all endpoints.
#[derive(Clone, Debug, Default)]
pub struct Lives {
    endpoints: HashMap<EndpointId, EndpointLives>,
    /// Endpoints in the order in which they became known.
    order: VecDeque<EndpointId>,
}

impl Lives {
    /// The start of an endpoint's present life; the outer none where nothing is known of it.
    pub fn present(&self, id: &str) -> Option<Option<StartMillis>> {
        Some(self.endpoints.get(id)?.present?.started)
    }

    /// Whether a life is over, as far as any news tells.
    pub fn has_ended(&self, life: &Incarnation) -> bool {
        self.endpoints.get(&life.id).is_some_and(|lives| lives.ended(life.started).is_some())
    }

    /// Whether a life is over for good: an answer of a later one tells it.
    pub fn is_over(&self, life: &Incarnation) -> bool {
        self.endpoints.get(&life.id).is_some_and(|lives| lives.is_over(life.started))
    }

    /// Takes an entry of `life` that was written at `revision` and is read at `now`.
    pub fn on_entry(&mut self, life: &Incarnation, revision: Revision, now: Instant) -> EntryNews {
        self.lives(&life.id).on_entry(life, revision, now)
    }

    /// Takes an answer of an endpoint that was asked for at `asked` and came at `now`.
    pub fn on_answer(
        &mut self,
        id: &str,
        started: Option<StartMillis>,
        asked: Instant,
        now: Instant,
    ) -> AnswerNews {
        self.lives(id).on_answer(id, started, asked, now)
    }

    /// Takes from another process that an answer of the life that began at `successor` told the end of
    /// `ended`. That stays true, however late it is heard. Tells whether the present life changed.
    pub fn on_end_told(
        &mut self,
        ended: &Incarnation,
        successor: Option<StartMillis>,
        now: Instant,
    ) -> bool {
        self.lives(&ended.id).on_end_told(ended.started, successor, now)
    }

    /// Another endpoint answers at the address of a life: it is over for good, and none is known to follow
    /// it. Tells whether that is news.
    pub fn on_replaced(&mut self, life: &Incarnation) -> bool {
        self.lives(&life.id).on_replaced(life.started)
    }

    fn lives(&mut self, id: &str) -> &mut EndpointLives {
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

    fn on_entry(&mut self, life: &Incarnation, revision: Revision, now: Instant) -> EntryNews {
        let is_known = revision <= self.entry_at;
        self.entry_at = self.entry_at.max(revision);
        let Some(present) = self.present else {
            if self.is_over(life.started) {
                return EntryNews::Late;
            }
            self.begin(life.started, now);
            return EntryNews::Present;
        };
        if life.started == present.started {
            self.contradictions = None;
            return EntryNews::Present;
        }
        if life.started.is_none() {
            return EntryNews::Untold;
        }
        if is_known || self.is_over(life.started) {
            return EntryNews::Late;
        }
        if self.ended(life.started).is_some() && !self.is_believed(life.started) {
            return EntryNews::Contradicts;
        }
        self.end(present.started, EndedBy::Entry, life.started);
        self.begin(life.started, now);
        EntryNews::Began { ended: Incarnation::new(life.id.clone(), present.started) }
    }

    /// Counts an entry that contradicts the present life. Whether it is believed now.
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

    /// An answer confirms the present life: all that were known before it was asked for are over. Tells
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
        let is_news = !self.is_over(started);
        self.end(started, EndedBy::Answer, None);
        if self.present.is_some_and(|present| present.started == started) {
            self.present = None;
        }
        is_news
    }

    /// The last known of the lives that were found one in the place of the other, from `started` on.
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
