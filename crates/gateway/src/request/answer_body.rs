//! The body of an answer: whole, or a stream that tells a cut from an end.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sorrellock_http::Activity;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The connection is to be broken, so that the answer doesn't look whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer can't be completed")
    }
}

impl std::error::Error for Cut {}

/// A part of a streamed answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// Bytes to pass on.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// The body of an answer.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    source: Source,
    activity: Option<Arc<Activity>>,
}

#[derive(Debug)]
enum Source {
    Whole(Bytes),
    /// Dropped without [`Part::End`], the answer is cut.
    Parts(mpsc::Receiver<Part>),
    /// What was handed over before is still to be flushed.
    Cut,
    Ended,
}

impl AnswerBody {
    /// A whole body.
    pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
        let source = if bytes.is_empty() { Source::Ended } else { Source::Whole(bytes) };
        AnswerBody { source, activity: None }
    }

    /// A body that comes in parts.
    pub(crate) fn parts(parts: mpsc::Receiver<Part>) -> AnswerBody {
        AnswerBody { source: Source::Parts(parts), activity: None }
    }

    /// Tells `activity` of the answer's end.
    pub(crate) fn with_activity(mut self, activity: Arc<Activity>) -> AnswerBody {
        self.activity = Some(activity);
        self
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
                self.source = Source::Ended;
                Some(Ok(Frame::data(bytes)))
            }
            Source::Parts(parts) => match parts.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Part::Data(bytes))) => Some(Ok(Frame::data(bytes))),
                Poll::Ready(Some(Part::End)) => {
                    self.source = Source::Ended;
                    None
                }
                Poll::Ready(None) => {
                    // hyper flushes while the body is pending, and drops its buffer on an error.
                    self.source = Source::Cut;
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
            },
            Source::Cut => {
                self.source = Source::Ended;
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
            Source::Parts(_) | Source::Cut => SizeHint::default(),
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
