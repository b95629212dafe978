//! The calls that wait for a thread, in order of priority.

use sorrellock_core::process::PriorityQueue;
use std::sync::{Condvar, Mutex};

/// A bounded queue between those who bring calls and the threads that make them.
pub struct CallQueue<T> {
    state: Mutex<State<T>>,
    changed: Condvar,
}

struct State<T> {
    waiting: PriorityQueue<T>,
    closed: bool,
}

impl<T> CallQueue<T> {
    /// An empty queue in which at most `max` calls wait.
    pub fn new(max: usize) -> CallQueue<T> {
        let state = State { waiting: PriorityQueue::new(max), closed: false };
        CallQueue { state: Mutex::new(state), changed: Condvar::new() }
    }

    /// Adds a call, or gives back the one for which there is no room.
    pub fn push(&self, priority: u8, call: T) -> Option<T> {
        let refused = self.state.lock().unwrap().waiting.push(priority, call);
        self.changed.notify_one();
        refused
    }

    /// Waits for the next call; none once the queue is closed and empty.
    pub fn pop(&self) -> Option<T> {
        let mut state = self.state.lock().unwrap();
        loop {
            if let Some(call) = state.waiting.pop() {
                return Some(call);
            }
            if state.closed {
                return None;
            }
            state = self.changed.wait(state).unwrap();
        }
    }

    /// Lets the threads end once nothing waits.
    pub fn close(&self) {
        self.state.lock().unwrap().closed = true;
        self.changed.notify_all();
    }
}
