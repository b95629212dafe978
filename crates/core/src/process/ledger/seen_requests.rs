//! Detection of repeated requests without a key at a daemon, so that a repeated message never runs twice.

use crate::id::{Attempt, Incarnation, Sequence};
use crate::request::RequestKey;
use std::collections::{HashMap, VecDeque};

/// Maximum number of entry incarnations for which the highest forgotten sequence is kept.
const MAX_ENTRIES: usize = 4096;

/// What to do with a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeenVerdict {
    /// The request or the attempt is new.
    New,
    /// This attempt or a higher one arrived before: drop it.
    Repeated,
    /// The table no longer knows whether the request arrived before.
    Forgotten,
}

/// Requests without a key that arrived, whether started or refused, with their highest attempt.
#[derive(Clone, Debug)]
pub struct SeenRequests {
    attempts: HashMap<RequestKey, Attempt>,
    order: VecDeque<RequestKey>,
    /// The highest sequence of a forgotten request, for each entry incarnation.
    forgotten: HashMap<Incarnation, Sequence>,
    forgotten_order: VecDeque<Incarnation>,
    max_requests: usize,
}

impl SeenRequests {
    /// Creates an empty table of at most `max_requests` requests.
    pub fn new(max_requests: usize) -> SeenRequests {
        SeenRequests {
            attempts: HashMap::new(),
            order: VecDeque::new(),
            forgotten: HashMap::new(),
            forgotten_order: VecDeque::new(),
            max_requests,
        }
    }

    /// Records an attempt that arrived, and returns what to do with it.
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

    /// Returns the number of requests in the table.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// Whether the table is empty.
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
