//! The streamed body of an answer, as its handler sees it.

use crate::request::Gone;
use bytes::Bytes;
use std::fmt;
use std::sync::{Arc, OnceLock};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;

/// Why a chunk was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PushError {
    /// The caller went away.
    Gone,
    /// Too many chunks wait for the caller to read.
    Full,
}

impl fmt::Display for PushError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PushError::Gone => f.write_str("the caller went away"),
            PushError::Full => f.write_str("too many chunks wait for the caller to read"),
        }
    }
}

impl std::error::Error for PushError {}

/// The streamed body of an answer. Unless it is [finished](BodyStream::finish), the connection
/// is broken at its end, so that the caller can tell a cut answer from a whole one.
#[derive(Debug)]
pub struct BodyStream {
    tx: mpsc::Sender<Bytes>,
    last: Arc<OnceLock<Bytes>>,
    gone: Arc<Gone>,
}

impl BodyStream {
    pub(crate) fn new(
        tx: mpsc::Sender<Bytes>,
        last: Arc<OnceLock<Bytes>>,
        gone: Arc<Gone>,
    ) -> BodyStream {
        BodyStream { tx, last, gone }
    }

    /// Hands over a chunk, to be sent at once. Never blocks. Empty chunks are passed over.
    pub fn push(&self, chunk: impl Into<Bytes>) -> Result<(), PushError> {
        let chunk = chunk.into();
        if self.is_gone() {
            return Err(PushError::Gone);
        }
        if chunk.is_empty() {
            return Ok(());
        }
        self.tx.try_send(chunk).map_err(|err| match err {
            TrySendError::Full(_) => PushError::Full,
            TrySendError::Closed(_) => PushError::Gone,
        })
    }

    /// Ends the body in order, behind the chunks handed over.
    pub fn finish(self) {
        self.finish_with(Bytes::new());
    }

    /// Ends the body in order with a last chunk, which is taken even where the queue is full.
    pub fn finish_with(self, chunk: impl Into<Bytes>) {
        let _ = self.last.set(chunk.into());
    }

    /// Breaks the connection, so that the caller sees a cut.
    pub fn abort(self) {}

    /// Calls `hook` at once if the caller goes away before the body is complete. It runs on the
    /// listener's thread and must not block.
    pub fn on_gone(&self, hook: impl FnOnce() + Send + 'static) {
        self.gone.on_gone(hook);
    }

    /// Whether the caller went away.
    pub fn is_gone(&self) -> bool {
        self.gone.is_gone()
    }
}
