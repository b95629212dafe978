//! Takes the answer to one request.

use crate::request::{Answer, AnswerBody, BodyStream, Cut, Gone, head, plain};
use bytes::Bytes;
use http::StatusCode;
use std::sync::{Arc, OnceLock};
use tokio::sync::{mpsc, oneshot};

/// Takes the answer to one request, from any thread. Dropped without an answer, it gives 500.
#[derive(Debug)]
pub struct Responder {
    tx: oneshot::Sender<Result<Answer, Cut>>,
    gone: Arc<Gone>,
    chunk_queue: usize,
}

impl Responder {
    pub(crate) fn new(
        tx: oneshot::Sender<Result<Answer, Cut>>,
        gone: Arc<Gone>,
        chunk_queue: usize,
    ) -> Responder {
        Responder { tx, gone, chunk_queue }
    }

    /// Answers whole. A status or header that HTTP forbids gives 500.
    pub fn send(self, status: u16, headers: &[(&str, &str)], body: impl Into<Bytes>) {
        let answer = checked(head(status, headers, AnswerBody::whole(body.into())));
        // The listener sees for itself when the caller is gone.
        let _ = self.tx.send(Ok(answer));
    }

    /// Sends the head, and the body as it is handed over. A status or header that HTTP forbids
    /// gives 500, and the stream is gone.
    pub fn stream(self, status: u16, headers: &[(&str, &str)]) -> BodyStream {
        let (tx, rx) = mpsc::channel(self.chunk_queue);
        let last = Arc::new(OnceLock::new());
        let body = AnswerBody::chunks(rx, Arc::clone(&last));
        let answer = checked(head(status, headers, body));
        let _ = self.tx.send(Ok(answer));
        BodyStream::new(tx, last, self.gone)
    }

    /// Breaks the connection without an answer.
    pub fn abort(self) {
        let _ = self.tx.send(Err(Cut));
    }

    /// Calls `hook` at once if the caller goes away before the answer is complete, also after it
    /// began. It runs on the listener's thread and must not block.
    pub fn on_gone(&self, hook: impl FnOnce() + Send + 'static) {
        self.gone.on_gone(hook);
    }

    /// Whether the caller went away.
    pub fn is_gone(&self) -> bool {
        self.gone.is_gone()
    }
}

fn checked(answer: Result<Answer, (String, AnswerBody)>) -> Answer {
    answer.unwrap_or_else(|(why, _)| plain(StatusCode::INTERNAL_SERVER_ERROR, &[], &why))
}
