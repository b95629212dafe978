//! What a connection is doing, and since when.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doing {
    /// Reads a head.
    Head,
    /// Reads a body, or awaits or writes an answer.
    Request,
    /// Waits for the next request.
    Idle,
}

/// What a connection is doing, shared by its socket, its service and its timer.
#[derive(Debug)]
pub struct Activity {
    state: Mutex<(Doing, Instant)>,
}

impl Default for Activity {
    fn default() -> Activity {
        Activity::new()
    }
}

impl Activity {
    /// A connection that was just accepted: its first head is due.
    pub fn new() -> Activity {
        Activity { state: Mutex::new((Doing::Head, Instant::now())) }
    }

    /// Bytes came in: between requests they begin a head.
    pub fn on_read(&self) {
        let mut state = self.lock();
        if state.0 == Doing::Idle {
            *state = (Doing::Head, Instant::now());
        }
    }

    /// Bytes went out: the caller still reads the last answer.
    pub fn on_write(&self) {
        let mut state = self.lock();
        if state.0 == Doing::Idle {
            state.1 = Instant::now();
        }
    }

    /// A head is complete.
    pub fn on_request(&self) {
        *self.lock() = (Doing::Request, Instant::now());
    }

    /// An answer is complete.
    pub fn on_answered(&self) {
        *self.lock() = (Doing::Idle, Instant::now());
    }

    /// What the connection is doing, and for how long.
    pub fn now(&self) -> (Doing, Duration) {
        let state = self.lock();
        (state.0, state.1.elapsed())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, (Doing, Instant)> {
        self.state.lock().expect("no panic holds this lock")
    }
}
