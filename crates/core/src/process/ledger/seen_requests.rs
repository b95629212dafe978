//! What a daemon remembers of requests without a key: a repeated message never runs twice.

use crate::id::{Attempt, Incarnation, Sequence};
use crate::request::RequestKey;
use std::collections::{HashMap, VecDeque};

/// Incarnations of entries whose forgotten requests are marked.
const MAX_ENTRIES: usize = 4096;

/// What is to be done with a request that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeenVerdict {
    /// It is new.
    New,
    /// This attempt or a higher one came before: drop it.
    Repeated,
    /// Whether it came before is remembered no longer.
    Forgotten,
}

/// Requests without a key that came in, started or refused, with their highest attempt.
#[derive(Clone, Debug)]
pub struct SeenRequests {
    attempts: HashMap<RequestKey, Attempt>,
    order: VecDeque<RequestKey>,
    forgotten: HashMap<Incarnation, Sequence>,
    forgotten_order: VecDeque<Incarnation>,
    max_requests: usize,
}

impl SeenRequests {
    /// An empty table of at most `max_requests` requests.
    pub fn new(max_requests: usize) -> SeenRequests {
        SeenRequests {
            attempts: HashMap::new(),
            order: VecDeque::new(),
            forgotten: HashMap::new(),
            forgotten_order: VecDeque::new(),
            max_requests,
        }
    }

    /// Judges an attempt that came in, and remembers it.
    pub fn see(&mut self, request: RequestKey, attempt: Attempt) -> SeenVerdict {
        if let Some(seen) = self.attempts.get_mut(&request) {
            if attempt <= *seen {
                return SeenVerdict::Repeated;
            }
            *seen = attempt;
            return SeenVerdict::New;
        }
        let forgotten = self.forgotten.get(&request.entry).copied().unwrap_or_default();
        if request.sequence <= forgotten {
            return SeenVerdict::Forgotten;
        }
        if self.attempts.len() >= self.max_requests {
            self.forget_oldest();
        }
        self.attempts.insert(request, attempt);
        self.order.push_back(request);
        SeenVerdict::New
    }

    /// How many requests it remembers.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether it remembers none.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else { return };
        self.attempts.remove(&oldest);
        if let Some(mark) = self.forgotten.get_mut(&oldest.entry) {
            *mark = oldest.sequence.max(*mark);
            return;
        }
        if self.forgotten_order.len() >= MAX_ENTRIES
            && let Some(entry) = self.forgotten_order.pop_front()
        {
            self.forgotten.remove(&entry);
        }
        self.forgotten.insert(oldest.entry, oldest.sequence);
        self.forgotten_order.push_back(oldest.entry);
    }
}
