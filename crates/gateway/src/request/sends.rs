//! The sends of one request.

use sorrellock_routing::process::retries::RepeatCause;
use sorrellock_routing::request::Evidence;
use std::cell::Cell;

/// The sends of one request whose bytes were written, over all of its attempts.
#[derive(Debug, Default)]
pub(crate) struct Sends {
    written: Cell<u32>,
    /// Attempts without an answer.
    open: Cell<u32>,
    is_refused: Cell<bool>,
}

impl Sends {
    /// Returns why the next send would be a repeat; `None` if nothing was sent yet. `is_resumed`: it goes on after events
    /// that were delivered.
    pub(crate) fn repeat_cause(&self, is_resumed: bool) -> Option<RepeatCause> {
        if self.written.get() == 0 {
            return None;
        }
        Some(match (is_resumed, self.open.get() > 0, self.is_refused.get()) {
            (true, ..) => RepeatCause::Resumed,
            (_, true, _) => RepeatCause::Overdue,
            (_, _, true) => RepeatCause::Refused,
            _ => RepeatCause::Failed,
        })
    }

    /// Records that the bytes of a send are written now.
    pub(crate) fn begin(&self) -> OpenSend<'_> {
        self.written.set(self.written.get() + 1);
        self.open.set(self.open.get() + 1);
        OpenSend { sends: self }
    }

    /// Records how the latest attempt ended without an answer.
    pub(crate) fn on_failed(&self, evidence: Evidence) {
        self.is_refused.set(evidence == Evidence::NotRun);
    }
}

/// A send without an answer.
pub(crate) struct OpenSend<'a> {
    sends: &'a Sends,
}

impl OpenSend<'_> {
    /// Takes the send back, as none of its bytes were written.
    pub(crate) fn undo(self) {
        self.sends.written.set(self.sends.written.get() - 1);
    }
}

impl Drop for OpenSend<'_> {
    fn drop(&mut self) {
        self.sends.open.set(self.sends.open.get() - 1);
    }
}
