//! A bounded priority queue.

use std::collections::{BTreeMap, VecDeque};

/// Bounded queue: higher priority first, then in order of arrival.
#[derive(Debug)]
pub struct PriorityQueue<T> {
    max: usize,
    len: usize,
    waiting: BTreeMap<u8, VecDeque<T>>,
}

impl<T> PriorityQueue<T> {
    /// Creates an empty queue of at most `max` items.
    pub fn new(max: usize) -> PriorityQueue<T> {
        PriorityQueue { max, len: 0, waiting: BTreeMap::new() }
    }

    /// Adds an item behind those of the same priority. A full queue drops the newest item of the
    /// lowest priority if that is lower than `priority`, otherwise `item`. Returns the dropped item.
    pub fn push(&mut self, priority: u8, item: T) -> Option<T> {
        let displaced = if self.len < self.max {
            None
        } else if self.lowest().is_some_and(|lowest| lowest < priority) {
            self.take(|waiting| waiting.first_entry(), VecDeque::pop_back)
        } else {
            return Some(item);
        };
        self.waiting.entry(priority).or_default().push_back(item);
        self.len += 1;
        displaced
    }

    /// Removes and returns the oldest item of the highest priority.
    pub fn pop(&mut self) -> Option<T> {
        self.take(|waiting| waiting.last_entry(), VecDeque::pop_front)
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn lowest(&self) -> Option<u8> {
        self.waiting.first_key_value().map(|(priority, _)| *priority)
    }

    fn take<'a>(
        &'a mut self,
        level: impl FnOnce(&'a mut BTreeMap<u8, VecDeque<T>>) -> Option<Level<'a, T>>,
        one: impl FnOnce(&mut VecDeque<T>) -> Option<T>,
    ) -> Option<T> {
        let mut level = level(&mut self.waiting)?;
        let item = one(level.get_mut());
        if level.get().is_empty() {
            level.remove();
        }
        self.len -= usize::from(item.is_some());
        item
    }
}

type Level<'a, T> = std::collections::btree_map::OccupiedEntry<'a, u8, VecDeque<T>>;
