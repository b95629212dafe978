//! The bytes of a body in segments.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The bytes of a body in segments. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct ByteSegments {
    segments: VecDeque<Bytes>,
    len: usize,
}

impl ByteSegments {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of segments.
    pub(crate) fn count(&self) -> usize {
        self.segments.len()
    }

    /// Returns the segments in order.
    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Bytes::as_ref)
    }

    /// Appends a segment.
    pub(crate) fn push(&mut self, segment: Bytes) {
        self.len += segment.len();
        self.segments.push_back(segment);
    }

    /// Takes the first segment.
    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        let segment = self.segments.pop_front()?;
        self.len -= segment.len();
        Some(segment)
    }
}

impl From<Bytes> for ByteSegments {
    fn from(bytes: Bytes) -> ByteSegments {
        let mut segments = ByteSegments::default();
        if !bytes.is_empty() {
            segments.push(bytes);
        }
        segments
    }
}

impl Body for ByteSegments {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.pop().map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len as u64)
    }
}
