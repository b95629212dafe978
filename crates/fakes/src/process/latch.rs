//! Holds requests back while a stand-in hangs.

use crate::process::count;
use sorrellock_http::Request;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;

/// Requests that a hanging stand-in holds; more are cut off.
const MAX_HELD: usize = 16_384;

/// Holds requests back while it is shut.
#[derive(Debug, Default)]
pub(crate) struct Latch {
    state: Mutex<LatchState>,
}

#[derive(Debug, Default)]
struct LatchState {
    shut: bool,
    held: Vec<Request>,
}

impl Latch {
    /// Gives the request back if the latch is open, else holds it, or cuts it off and counts it.
    pub(crate) fn pass(&self, req: Request, cut: &AtomicU64) -> Option<Request> {
        let mut state = self.lock();
        if !state.shut {
            return Some(req);
        }
        if state.held.len() < MAX_HELD {
            state.held.push(req);
            return None;
        }
        drop(state);
        count(cut);
        req.responder.abort();
        None
    }

    pub(crate) fn shut(&self) {
        self.lock().shut = true;
    }

    /// Opens the latch and gives what it held.
    pub(crate) fn open(&self) -> Vec<Request> {
        let mut state = self.lock();
        state.shut = false;
        std::mem::take(&mut state.held)
    }

    pub(crate) fn is_shut(&self) -> bool {
        self.lock().shut
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LatchState> {
        self.state.lock().expect("no panic holds this lock")
    }
}
