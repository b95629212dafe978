//! The body of an answer: whole, or a stream that tells a cut from an end.

use crate::connection::Activity;
use crate::request::{ByteSegments, Cut, GoneGuard};
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A part of a streamed answer.
#[derive(Debug)]
pub enum Part {
    /// Bytes to pass on.
    Data(Bytes),
    /// The answer is whole.
    End,
}

/// The body of an answer. It carries the guards that end with the answer.
#[derive(Debug)]
pub struct AnswerBody {
    source: Source,
    gone: Option<GoneGuard>,
    activity: Option<Arc<Activity>>,
}

#[derive(Debug)]
enum Source {
    Whole(ByteSegments),
    /// Dropped without [`Part::End`], the answer is cut.
    Parts(mpsc::Receiver<Part>),
    /// Dropped without a last chunk, the answer is cut.
    Chunks {
        rx: mpsc::Receiver<Bytes>,
        last: Arc<OnceLock<Bytes>>,
    },
    /// The answer is cut; what was handed over before is still to be flushed.
    Cut,
    Ended,
}

impl AnswerBody {
    /// A whole body.
    pub fn whole(bytes: impl Into<ByteSegments>) -> AnswerBody {
        let bytes = bytes.into();
        let source = if bytes.is_empty() { Source::Ended } else { Source::Whole(bytes) };
        AnswerBody { source, gone: None, activity: None }
    }

    /// A body that comes in parts.
    pub fn parts(parts: mpsc::Receiver<Part>) -> AnswerBody {
        AnswerBody { source: Source::Parts(parts), gone: None, activity: None }
    }

    pub(crate) fn chunks(rx: mpsc::Receiver<Bytes>, last: Arc<OnceLock<Bytes>>) -> AnswerBody {
        AnswerBody { source: Source::Chunks { rx, last }, gone: None, activity: None }
    }

    /// Tells `activity` of the answer's end.
    pub fn with_activity(mut self, activity: Arc<Activity>) -> AnswerBody {
        self.activity = Some(activity);
        self
    }

    /// Gives the body what is to end with it. `has_body` is false where HTTP sends none.
    pub(crate) fn guarded(
        mut self,
        mut gone: GoneGuard,
        activity: Arc<Activity>,
        has_body: bool,
    ) -> AnswerBody {
        let whole = !matches!(self.source, Source::Chunks { .. } | Source::Parts(_));
        if matches!(self.source, Source::Ended) || (whole && !has_body) {
            gone.complete();
        }
        self.gone = Some(gone);
        self.activity = Some(activity);
        self
    }

    /// hyper flushes while the body is pending, and drops its buffer on an error.
    fn begin_cut<T>(&mut self, cx: &Context<'_>) -> Poll<T> {
        self.source = Source::Cut;
        cx.waker().wake_by_ref();
        Poll::Pending
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
                let segment = bytes.pop();
                if bytes.is_empty() {
                    self.complete();
                }
                segment.map(|segment| Ok(Frame::data(segment)))
            }
            Source::Parts(parts) => match parts.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Part::Data(bytes))) => Some(Ok(Frame::data(bytes))),
                Poll::Ready(Some(Part::End)) => {
                    self.complete();
                    None
                }
                Poll::Ready(None) => return self.begin_cut(cx),
            },
            Source::Chunks { rx, last } => match rx.poll_recv(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(chunk)) => Some(Ok(Frame::data(chunk))),
                Poll::Ready(None) => match last.get().cloned() {
                    Some(chunk) => {
                        self.complete();
                        (!chunk.is_empty()).then_some(Ok(Frame::data(chunk)))
                    }
                    None => return self.begin_cut(cx),
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
            Source::Parts(_) | Source::Chunks { .. } | Source::Cut => SizeHint::default(),
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
