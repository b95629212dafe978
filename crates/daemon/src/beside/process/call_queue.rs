//! Priority queue of the calls that wait for a thread.

use sorrellock_core::process::PriorityQueue;
use std::sync::{Condvar, Mutex};

/// Bounded, blocking queue between the receivers of calls and the threads that make them.
pub struct CallQueue<T> {
    state: Mutex<State<T>>,
    changed: Condvar,
}

struct State<T> {
    waiting: PriorityQueue<T>,
    closed: bool,
}

impl<T> CallQueue<T> {
    /// Creates an empty queue for at most `max` calls.
    pub fn new(max: usize) -> CallQueue<T> {
        let state = State { waiting: PriorityQueue::new(max), closed: false };
        CallQueue { state: Mutex::new(state), changed: Condvar::new() }
    }

    /// Queues a call. Returns the call that does not fit, if the queue is full.
    pub fn push(&self, priority: u8, call: T) -> Option<T> {
        let refused = self.state.lock().unwrap().waiting.push(priority, call);
        self.changed.notify_one();
        refused
    }

    /// Waits for the next call. Returns `None` once the queue is closed and empty.
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

    /// Closes the queue: threads end once it is empty.
    pub fn close(&self) {
        self.state.lock().unwrap().closed = true;
        self.changed.notify_all();
    }
}
