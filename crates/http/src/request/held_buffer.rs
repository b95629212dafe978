//! A buffer whose memory is charged to a caller.

use crate::connection::{CallerSlot, Charge};
use crate::request::ByteSegments;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use sorrellock_core::process::callers::{Held, SMALL_ANSWER_BYTES};
use std::fmt;

/// Size of the first segment of a body whose length isn't announced.
const FIRST_SEGMENT_BYTES: usize = 1 << 10;
/// Maximum size of a segment.
const MAX_SEGMENT_BYTES: usize = 64 << 10;

/// There is no room for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// It is larger than allowed.
    TooLarge,
    /// It ended early, or can't be decoded.
    Broken,
    /// The process has no room for it.
    NoRoom,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReadError::TooLarge => "it is larger than allowed",
            ReadError::Broken => "it ended early or can't be decoded",
            ReadError::NoRoom => "there is no room for it",
        })
    }
}

impl std::error::Error for ReadError {}

/// Memory that is charged to a caller until its last handle is dropped.
struct Segment {
    bytes: Vec<u8>,
    _charge: Option<Charge>,
}

impl Segment {
    fn room(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }
}

impl AsRef<[u8]> for Segment {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Where a buffer's charges come from.
enum Funds<'a> {
    /// Each segment of a request's body is charged as it is needed.
    AsNeeded(&'a CallerSlot),
    /// Room for a whole answer is held before it takes more than what each connection has for answers.
    WholeAnswer {
        slot: &'a CallerSlot,
        /// Size of the whole, or the most that it can be.
        max_bytes: usize,
        /// What is left of the connection's own.
        own: usize,
        held: Option<Charge>,
    },
}

impl Funds<'_> {
    /// Returns the charge of a segment; none if it is the connection's own.
    async fn take(&mut self, bytes: usize) -> Result<Option<Charge>, NoRoom> {
        match self {
            Funds::AsNeeded(slot) => slot.hold(Held::Body, bytes).await.ok_or(NoRoom).map(Some),
            Funds::WholeAnswer { own, .. } if bytes <= *own => {
                *own -= bytes;
                Ok(None)
            }
            Funds::WholeAnswer { slot, max_bytes, held, .. } => {
                if held.is_none() {
                    *held = slot.hold_when_free(Held::Answer, *max_bytes).await;
                }
                held.as_mut().map(|held| Some(held.split(bytes))).ok_or(NoRoom)
            }
        }
    }
}

/// Copies what comes in into segments, so that what is charged is what is allocated, however small the pieces.
struct HeldBuffer<'a> {
    funds: Funds<'a>,
    /// Announced length.
    announced: Option<usize>,
    last: Option<Segment>,
    full: ByteSegments,
}

impl<'a> HeldBuffer<'a> {
    fn new(funds: Funds<'a>, announced: Option<usize>) -> HeldBuffer<'a> {
        HeldBuffer { funds, announced, last: None, full: ByteSegments::default() }
    }

    fn len(&self) -> usize {
        self.full.len() + self.last.as_ref().map_or(0, |last| last.bytes.len())
    }

    async fn write(&mut self, mut data: &[u8]) -> Result<(), NoRoom> {
        while !data.is_empty() {
            let last = match &mut self.last {
                Some(last) if last.room() > 0 => last,
                _ => self.add_segment().await?,
            };
            let (now, later) = data.split_at(data.len().min(last.room()));
            last.bytes.extend_from_slice(now);
            data = later;
        }
        Ok(())
    }

    async fn add_segment(&mut self) -> Result<&mut Segment, NoRoom> {
        let capacity = self.next_capacity();
        let charge = self.funds.take(capacity).await?;
        self.seal();
        Ok(self.last.insert(Segment { bytes: Vec::with_capacity(capacity), _charge: charge }))
    }

    fn next_capacity(&self) -> usize {
        let wanted = match self.announced {
            Some(announced) => announced.saturating_sub(self.len()),
            None => self.len(),
        };
        wanted.clamp(FIRST_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
    }

    fn seal(&mut self) {
        if let Some(last) = self.last.take() {
            self.full.push(Bytes::from_owner(last));
        }
    }

    fn finish(mut self) -> ByteSegments {
        self.seal();
        self.full
    }
}

/// Reads the body of a request into memory that is charged to its caller. One that announces more than `max_bytes`, or more
/// than there can be room for, is not read at all.
pub async fn read_body(
    slot: &CallerSlot,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<ByteSegments, ReadError> {
    let announced = announced_len(body, max_bytes)?;
    if announced.is_some_and(|bytes| bytes > slot.bounds().max_large_body_bytes()) {
        return Err(ReadError::NoRoom);
    }
    let buf = HeldBuffer::new(Funds::AsNeeded(slot), announced);
    read_into(buf, body, max_bytes).await
}

/// Reads the body of an answer into memory that is charged to its caller. Room for all of a large one is held first: two
/// answers of which each holds a part would wait for each other.
pub async fn read_answer(
    slot: &CallerSlot,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<ByteSegments, ReadError> {
    let max_bytes = max_bytes.min(slot.bounds().answer_bytes.saturating_sub(MAX_SEGMENT_BYTES));
    let announced = announced_len(body, max_bytes)?;
    let funds = Funds::WholeAnswer {
        slot,
        // The last segment may not be full.
        max_bytes: announced.unwrap_or(max_bytes) + MAX_SEGMENT_BYTES,
        own: SMALL_ANSWER_BYTES,
        held: None,
    };
    read_into(HeldBuffer::new(funds, announced), body, max_bytes).await
}

fn announced_len(body: &Incoming, max_bytes: usize) -> Result<Option<usize>, ReadError> {
    let size = body.size_hint();
    if size.lower() > max_bytes as u64 {
        return Err(ReadError::TooLarge);
    }
    Ok(size.exact().map(|bytes| bytes as usize))
}

async fn read_into(
    mut buf: HeldBuffer<'_>,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<ByteSegments, ReadError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadError::Broken)?;
        let Some(data) = frame.data_ref() else { continue };
        if data.len() > max_bytes - buf.len() {
            return Err(ReadError::TooLarge);
        }
        buf.write(data).await.map_err(|NoRoom| ReadError::NoRoom)?;
    }
    Ok(buf.finish())
}

/// Joins segments into one piece of memory, charged like these.
pub(crate) async fn join_body(
    slot: &CallerSlot,
    mut segments: ByteSegments,
) -> Result<Bytes, NoRoom> {
    if segments.count() <= 1 {
        return Ok(segments.pop().unwrap_or_default());
    }
    let charge = slot.hold(Held::Body, segments.len()).await.ok_or(NoRoom)?;
    let mut whole = Segment { bytes: Vec::with_capacity(segments.len()), _charge: Some(charge) };
    while let Some(segment) = segments.pop() {
        whole.bytes.extend_from_slice(&segment);
    }
    Ok(Bytes::from_owner(whole))
}
