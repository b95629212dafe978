//! Splits a stream into whole events and keeps them in order across two runs.

use bytes::{Bytes, BytesMut};
use std::fmt;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Why a stream can't continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// Events between the last one and this one are missing.
    Gap {
        /// Id of the last event.
        last: u64,
        /// Id of this event.
        found: u64,
    },
    /// The event is too large.
    TooLarge,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::Gap { last, found } => write!(f, "event {found} came after {last}"),
            EventError::TooLarge => f.write_str("an event is too large"),
        }
    }
}

impl std::error::Error for EventError {}

/// Splits a stream into whole events. Events that were already passed on are dropped.
#[derive(Debug, Default)]
pub struct EventParser {
    /// Bytes of an incomplete event.
    partial: BytesMut,
    /// Id of the last event that was passed on.
    last: Option<u64>,
    events: u64,
}

impl EventParser {
    /// Creates the parser of a stream that continues after event `last`.
    pub fn new(last: Option<u64>) -> EventParser {
        EventParser { partial: BytesMut::new(), last, events: 0 }
    }

    /// Returns the id of the last event that was passed on.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events passed on.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Drops the bytes of an incomplete event, as a new run continues the stream.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    /// Returns whether bytes of an incomplete event are left.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Appends bytes, and returns those of whole events that are to be passed on.
    pub fn push(&mut self, chunk: Bytes) -> Result<Bytes, EventError> {
        if self.partial.is_empty() && ends_event(&chunk) && self.is_one_new_event(&chunk)? {
            return Ok(chunk);
        }
        self.partial.extend_from_slice(&chunk);
        let mut out = BytesMut::new();
        while let Some(end) = find_end(&self.partial) {
            let event = self.partial.split_to(end);
            if self.admit(&event)? {
                out.extend_from_slice(&event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLarge);
        }
        Ok(out.freeze())
    }

    /// Handles the usual case: returns whether a chunk is one new event, to be passed on unchanged.
    fn is_one_new_event(&mut self, chunk: &Bytes) -> Result<bool, EventError> {
        if find_end(chunk) != Some(chunk.len()) {
            return Ok(false);
        }
        self.admit(chunk)
    }

    /// Returns whether an event is to be passed on, and counts it if so. An event without an id always is.
    fn admit(&mut self, event: &[u8]) -> Result<bool, EventError> {
        if let Some(found) = event_id(event) {
            match self.last {
                Some(last) if found <= last => return Ok(false),
                Some(last) if found > last + 1 => return Err(EventError::Gap { last, found }),
                _ => self.last = Some(found),
            }
        }
        self.events += 1;
        Ok(true)
    }
}

fn ends_event(bytes: &[u8]) -> bool {
    bytes.ends_with(b"\n\n") || bytes.ends_with(b"\r\n\r\n")
}

/// Returns where the first event ends, one past its empty line.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let dos = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (plain, dos) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

/// Returns the id of an event, if it is a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
