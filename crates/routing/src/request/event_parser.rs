//! Splits a stream into whole events and keeps them in order across two runs.

use bytes::{Bytes, BytesMut};
use std::fmt;
use std::ops::RangeInclusive;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The ids that the first event of a new stream may have.
const FIRST_IDS: RangeInclusive<u64> = 0..=1;

/// Why a run can't continue its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventError {
    /// The id is higher than the one that follows the last event: events between them are missing.
    Gap {
        /// Id of the last event.
        last: u64,
        /// Id of this event.
        found: u64,
    },
    /// The id is lower than the one that follows the last event of the run.
    Repeated {
        /// Id of the last event.
        last: u64,
        /// Id of this event.
        found: u64,
    },
    /// The event has data, but no id or one that isn't a number.
    NoId,
    /// The event is too large.
    TooLarge,
}

impl fmt::Display for EventError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventError::Gap { last, found } | EventError::Repeated { last, found } => {
                write!(f, "event {found} came after {last}")
            }
            EventError::NoId => f.write_str("an event has no valid id"),
            EventError::TooLarge => f.write_str("an event is too large"),
        }
    }
}

impl std::error::Error for EventError {}

/// The events of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedChunk {
    /// Bytes of the events that are to be passed on.
    pub events: Bytes,
    /// What is wrong with the event after these; the rest of the run is of no use.
    pub error: Option<EventError>,
}

/// Splits a stream into whole events and checks their ids, which increase by one in each run. A run may begin after the
/// last event that was passed on, or repeat the stream from its start. Events that were already passed on are dropped.
#[derive(Debug, Default)]
pub struct EventParser {
    /// Bytes of an incomplete event.
    partial: BytesMut,
    /// Id of the last event that was passed on.
    last: Option<u64>,
    /// Id of the last event of the current run.
    last_of_run: Option<u64>,
    events: u64,
}

impl EventParser {
    /// Creates the parser of a stream that continues after event `last`.
    pub fn new(last: Option<u64>) -> EventParser {
        EventParser { last, ..EventParser::default() }
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
        self.last_of_run = None;
    }

    /// Returns whether the stream is complete if its run ends now. It isn't within an event, or while a run that began
    /// anew repeats events that were passed on.
    pub fn may_end(&self) -> bool {
        self.partial.is_empty() && self.last_of_run.is_none_or(|id| Some(id) == self.last)
    }

    /// Appends bytes, and returns those of whole events that are to be passed on.
    pub fn push(&mut self, chunk: Bytes) -> ParsedChunk {
        if self.partial.is_empty() && find_end(&chunk) == Some(chunk.len()) {
            return self.push_event(chunk);
        }
        self.partial.extend_from_slice(&chunk);
        let mut events = BytesMut::new();
        let error = self.take_events(&mut events).err();
        ParsedChunk { events: events.freeze(), error }
    }

    /// Handles the usual case, in which a chunk is one event, without copying it.
    fn push_event(&mut self, event: Bytes) -> ParsedChunk {
        match self.admit(&event) {
            Ok(true) => ParsedChunk { events: event, error: None },
            Ok(false) => ParsedChunk { events: Bytes::new(), error: None },
            Err(err) => ParsedChunk { events: Bytes::new(), error: Some(err) },
        }
    }

    /// Moves the whole events that are to be passed on to `events`.
    fn take_events(&mut self, events: &mut BytesMut) -> Result<(), EventError> {
        while let Some(end) = find_end(&self.partial) {
            let event = self.partial.split_to(end);
            if self.admit(&event)? {
                events.extend_from_slice(&event);
            }
        }
        match self.partial.len() > MAX_EVENT_BYTES {
            true => Err(EventError::TooLarge),
            false => Ok(()),
        }
    }

    /// Returns whether an event is to be passed on, and counts it if so.
    fn admit(&mut self, event: &[u8]) -> Result<bool, EventError> {
        let found = match read_event_id(event) {
            EventId::Number(found) => found,
            EventId::NotNeeded => return Ok(true),
            EventId::Invalid => return Err(EventError::NoId),
        };
        self.check_order(found)?;
        self.last_of_run = Some(found);
        if self.last.is_some_and(|last| found <= last) {
            return Ok(false);
        }
        self.last = Some(found);
        self.events += 1;
        Ok(true)
    }

    /// Checks that an id is the next one of the current run.
    fn check_order(&self, found: u64) -> Result<(), EventError> {
        let last = self.last_of_run.or(self.last);
        let may_begin = self.last_of_run.is_none() && FIRST_IDS.contains(&found);
        if may_begin || last.is_some_and(|last| last.checked_add(1) == Some(found)) {
            return Ok(());
        }
        let last = last.unwrap_or_default();
        match found > last {
            true => Err(EventError::Gap { last, found }),
            false => Err(EventError::Repeated { last, found }),
        }
    }
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

/// The id of an event.
enum EventId {
    Number(u64),
    /// Comments and the like have no data, and need no id.
    NotNeeded,
    Invalid,
}

fn read_event_id(event: &[u8]) -> EventId {
    let mut ids = event.split(|byte| *byte == b'\n').filter_map(|line| field(line, b"id"));
    match (ids.next(), ids.next()) {
        (Some(id), None) => parse_id(id).map_or(EventId::Invalid, EventId::Number),
        (None, None) if !has_data(event) => EventId::NotNeeded,
        _ => EventId::Invalid,
    }
}

fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| field(line, b"data").is_some())
}

/// Returns the value of a line if it is that of the field `name`.
fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    match line.strip_prefix(name)?.trim_ascii_end() {
        [] => Some(&[]),
        [b':', value @ ..] => Some(value.trim_ascii_start()),
        _ => None,
    }
}

fn parse_id(text: &[u8]) -> Option<u64> {
    // Other spellings of a number, such as 007 or +7, are damaged ids.
    let is_plain = text.iter().all(u8::is_ascii_digit) && (text == b"0" || !text.starts_with(b"0"));
    std::str::from_utf8(text).ok().filter(|_| is_plain)?.parse().ok()
}
