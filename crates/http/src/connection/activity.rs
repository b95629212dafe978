//! What a connection is doing, and since when.

use crate::connection::CallerSlot;
use sorrellock_core::process::callers::Stage;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// What a connection is doing, shared by its socket, its service and its timer.
#[derive(Debug)]
pub struct Activity {
    state: Mutex<(Stage, Instant)>,
    slot: Arc<CallerSlot>,
}

impl Activity {
    /// A connection that was just accepted: its first head is due.
    pub fn new(slot: CallerSlot) -> Activity {
        Activity { state: Mutex::new((Stage::Head, Instant::now())), slot: Arc::new(slot) }
    }

    /// Its place among the process's callers.
    pub fn slot(&self) -> &Arc<CallerSlot> {
        &self.slot
    }

    /// Bytes came in: between requests they begin a head.
    pub fn on_read(&self, bytes: usize) {
        if self.now().0 == Stage::Idle {
            self.set(Stage::Head);
        }
        self.slot.on_moved(bytes);
    }

    /// Bytes went out: the caller still reads the last answer.
    pub fn on_write(&self, bytes: usize) {
        let mut state = self.lock();
        if state.0 == Stage::Idle {
            state.1 = Instant::now();
        }
        drop(state);
        self.slot.on_moved(bytes);
    }

    /// Nothing can be written, as the caller doesn't read.
    pub fn on_blocked(&self) {
        self.slot.on_blocked();
    }

    /// A head is complete.
    pub fn on_request(&self) {
        self.set(Stage::Body);
    }

    /// A body is complete.
    pub fn on_body(&self) {
        self.set(Stage::Serving);
    }

    /// The head of an answer is ready.
    pub fn on_answer(&self) {
        self.set(Stage::Answering);
    }

    /// An answer is complete.
    pub fn on_answered(&self) {
        self.set(Stage::Idle);
    }

    /// What the connection is doing, and for how long.
    pub fn now(&self) -> (Stage, Duration) {
        let state = self.lock();
        (state.0, state.1.elapsed())
    }

    fn set(&self, stage: Stage) {
        *self.lock() = (stage, Instant::now());
        self.slot.set_stage(stage);
    }

    fn lock(&self) -> MutexGuard<'_, (Stage, Instant)> {
        self.state.lock().expect("no panic holds this lock")
    }
}
