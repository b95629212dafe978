//! The body of an answer: whole, or a stream of chunks.

use crate::connection::Activity;
use crate::request::{Cut, GoneGuard};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The body of an answer. It carries the guards that end with the answer.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    source: Source,
    gone: Option<GoneGuard>,
    activity: Option<Arc<Activity>>,
}

#[derive(Debug)]
enum Source {
    Whole(Bytes),
    Chunks {
        rx: mpsc::Receiver<Bytes>,
        last: Arc<OnceLock<Bytes>>,
    },
    /// The handler cut the stream; what it pushed before is still to be flushed.
    Cut,
    Ended,
}

impl AnswerBody {
    pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
        let source = if bytes.is_empty() { Source::Ended } else { Source::Whole(bytes) };
        AnswerBody { source, gone: None, activity: None }
    }

    pub(crate) fn chunks(rx: mpsc::Receiver<Bytes>, last: Arc<OnceLock<Bytes>>) -> AnswerBody {
        AnswerBody { source: Source::Chunks { rx, last }, gone: None, activity: None }
    }

    /// Gives the body what is to end with it. `has_body` is false where HTTP sends none.
    pub(crate) fn guarded(
        mut self,
        mut gone: GoneGuard,
        activity: Arc<Activity>,
        has_body: bool,
    ) -> AnswerBody {
        let whole = !matches!(self.source, Source::Chunks { .. });
        if matches!(self.source, Source::Ended) || (whole && !has_body) {
            gone.complete();
        }
        self.gone = Some(gone);
        self.activity = Some(activity);
        self
    }

    fn complete(&mut self) {
        self.source = Source::Ended;
        if let Some(gone) = &mut self.gone {
            gone.complete();
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let frame = match &mut self.source {
            Source::Ended => None,
            Source::Whole(bytes) => {
                let bytes = std::mem::take(bytes);
                self.complete();
                Some(Ok(Frame::data(bytes)))
            }
            Source::Chunks { rx, last } => match rx.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(chunk)) => Some(Ok(Frame::data(chunk))),
                Poll::Ready(None) => match last.get().cloned() {
                    Some(chunk) => {
                        self.complete();
                        (!chunk.is_empty()).then_some(Ok(Frame::data(chunk)))
                    }
                    None => {
                        // hyper flushes while the body is pending, and drops its buffer on an error.
                        self.source = Source::Cut;
                        cx.waker().wake_by_ref();
                        return Poll::Pending;
                    }
                },
            },
            Source::Cut => {
                self.complete();
                Some(Err(Cut))
            }
        };
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Ended)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Ended => SizeHint::with_exact(0),
            Source::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Source::Chunks { .. } | Source::Cut => SizeHint::default(),
        }
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(activity) = &self.activity {
            activity.on_answered();
        }
    }
}
