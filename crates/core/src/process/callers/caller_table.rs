//! Decides which connections of callers a process keeps, and how many bytes they may hold.
//!
//! Nothing waits for a caller that makes no progress: where room is scarce, such a caller is closed in favour of one that
//! does. If there is none, the newcomer is refused at once, since a body that was let in would otherwise never be complete
//! while others take its room.

use crate::process::callers::{CallerBounds, SMALL_BODY_BYTES};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time without progress after which a caller may be closed while room is scarce.
pub const STALL_AFTER: Duration = Duration::from_secs(1);
/// The same for a caller that reads an answer: the answer is ready, and the caller may be on a poor link.
pub const UNREAD_AFTER: Duration = Duration::from_secs(5);
/// Divisor of what a caller holds for the bytes that count as progress, so that single bytes don't.
const PROGRESS_DIVISOR: usize = 16;
/// Bytes that count as progress of a caller that holds little.
const MIN_PROGRESS_BYTES: usize = 256;
/// Number of connections that may be on their way to being closed beyond the bound.
const MAX_CLOSING: usize = 32;

/// Identifies a connection of a caller within a process.
pub type ConnectionId = u64;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Receives a head, or the first one is due.
    Head,
    /// Receives a body.
    Body,
    /// Its request is being served.
    Serving,
    /// Sends an answer.
    Answering,
    /// Waits for the next request.
    Idle,
}

/// What bytes of a caller belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// The body of a request.
    Body,
    /// An answer.
    Answer,
}

/// A connection that may stay open, and the one that is closed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The new connection.
    pub id: ConnectionId,
    /// A connection to close.
    pub close: Option<ConnectionId>,
}

/// The decision on a caller's bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// They may be held, and count from now on.
    Granted,
    /// There will be room once these connections, and those that are being closed already, are closed.
    Wait {
        /// Connections to close.
        close: Vec<ConnectionId>,
    },
    /// There is no room, and nobody to close for it.
    Refused,
}

#[derive(Debug)]
struct Connection {
    stage: Stage,
    /// When the caller last made progress.
    progressed: Instant,
    /// Bytes that it has sent or read since.
    moved: usize,
    /// Bytes for it can't be written, as it doesn't read.
    is_blocked: bool,
    body_bytes: usize,
    answer_bytes: usize,
    is_closing: bool,
}

impl Connection {
    fn new(now: Instant) -> Connection {
        Connection {
            stage: Stage::Head,
            progressed: now,
            moved: 0,
            is_blocked: false,
            body_bytes: 0,
            answer_bytes: 0,
            is_closing: false,
        }
    }

    fn held(&mut self, held: Held) -> &mut usize {
        match held {
            Held::Body => &mut self.body_bytes,
            Held::Answer => &mut self.answer_bytes,
        }
    }

    fn set_stage(&mut self, stage: Stage, now: Instant) {
        self.stage = stage;
        self.progressed = now;
        self.moved = 0;
    }

    fn on_moved(&mut self, bytes: usize, now: Instant) {
        self.is_blocked = false;
        self.moved += bytes;
        let least =
            ((self.body_bytes + self.answer_bytes) / PROGRESS_DIVISOR).max(MIN_PROGRESS_BYTES);
        if self.moved >= least {
            self.moved = 0;
            self.progressed = now;
        }
    }

    /// Returns whether the process waits for this caller, and has done so for too long while others need the room.
    fn is_stalled(&self, now: Instant) -> bool {
        let limit = match self.stage {
            // The end of an answer may be unread while the next request is due.
            Stage::Answering | Stage::Idle if self.is_blocked => UNREAD_AFTER,
            Stage::Serving | Stage::Answering => return false,
            Stage::Head | Stage::Body | Stage::Idle => STALL_AFTER,
        };
        !self.is_closing && now.saturating_duration_since(self.progressed) >= limit
    }
}

/// The connections of a process's callers, and the bytes that they hold.
#[derive(Debug)]
pub struct CallerTable {
    bounds: CallerBounds,
    connections: HashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    closing: usize,
    body_bytes: usize,
    answer_bytes: usize,
}

impl CallerTable {
    /// Creates an empty table.
    pub fn new(bounds: CallerBounds) -> CallerTable {
        CallerTable {
            bounds,
            connections: HashMap::new(),
            next_id: 0,
            closing: 0,
            body_bytes: 0,
            answer_bytes: 0,
        }
    }

    /// Changes the bounds. What is held beyond them stays.
    pub fn set_bounds(&mut self, bounds: CallerBounds) {
        self.bounds = bounds;
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> CallerBounds {
        self.bounds
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes that are held for all callers.
    pub fn held_bytes(&self, held: Held) -> usize {
        match held {
            Held::Body => self.body_bytes,
            Held::Answer => self.answer_bytes,
        }
    }

    /// Decides on a new connection; `None` if it is refused.
    pub fn open(&mut self, now: Instant) -> Option<Opened> {
        let kept = self.connections.len() - self.closing;
        let close = match kept < self.bounds.connections {
            true => None,
            false if self.closing >= MAX_CLOSING => return None,
            false => Some(self.longest_stalled(now)?),
        };
        if let Some(id) = close {
            self.mark_closing(id);
        }
        let id = self.next_id;
        self.next_id += 1;
        self.connections.insert(id, Connection::new(now));
        Some(Opened { id, close })
    }

    /// Removes a connection. What it held counts until it is released.
    pub fn close(&mut self, id: ConnectionId) {
        if self.connections.remove(&id).is_some_and(|connection| connection.is_closing) {
            self.closing -= 1;
        }
    }

    /// Records what a connection is doing from now on.
    pub fn set_stage(&mut self, id: ConnectionId, stage: Stage, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.set_stage(stage, now);
        }
    }

    /// Records that a caller has sent or read bytes.
    pub fn on_moved(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.on_moved(bytes, now);
        }
    }

    /// Records that bytes can't be written, as the caller doesn't read.
    pub fn on_blocked(&mut self, id: ConnectionId, now: Instant) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.is_blocked {
            connection.is_blocked = true;
            connection.progressed = now;
        }
    }

    /// Decides whether a connection may hold more bytes.
    pub fn hold(&mut self, id: ConnectionId, held: Held, bytes: usize, now: Instant) -> Verdict {
        let Some(connection) = self.connections.get_mut(&id) else { return Verdict::Refused };
        if connection.is_closing {
            return Verdict::Refused;
        }
        let own = *connection.held(held) + bytes;
        let room = self.room(held, own);
        let needed = (self.held_bytes(held) + bytes).saturating_sub(room);
        if needed == 0 {
            self.add(id, held, bytes);
            return Verdict::Granted;
        }
        match own <= room {
            true => self.make_room(id, held, needed, now),
            false => Verdict::Refused,
        }
    }

    /// Releases bytes that a connection held, which may be closed by now.
    pub fn release(&mut self, id: ConnectionId, held: Held, bytes: usize) {
        match held {
            Held::Body => self.body_bytes -= bytes,
            Held::Answer => self.answer_bytes -= bytes,
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            *connection.held(held) -= bytes;
        }
    }

    fn add(&mut self, id: ConnectionId, held: Held, bytes: usize) {
        match held {
            Held::Body => self.body_bytes += bytes,
            Held::Answer => self.answer_bytes += bytes,
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            *connection.held(held) += bytes;
        }
    }

    /// Returns the room for all callers together, as seen by one that holds `own` bytes.
    fn room(&self, held: Held, own: usize) -> usize {
        match held {
            Held::Body if own > SMALL_BODY_BYTES => self.bounds.max_large_body_bytes(),
            Held::Body | Held::Answer => self.bounds.bytes(held),
        }
    }

    /// Chooses stalled connections until what they hold is enough.
    fn make_room(&mut self, id: ConnectionId, held: Held, needed: usize, now: Instant) -> Verdict {
        let closing = self.connections.values_mut().filter(|other| other.is_closing);
        let mut freed: usize = closing.map(|other| *other.held(held)).sum();
        let mut stalled: Vec<(Instant, ConnectionId, usize)> = self
            .connections
            .iter_mut()
            .filter(|(other, connection)| **other != id && connection.is_stalled(now))
            .map(|(other, connection)| (connection.progressed, *other, *connection.held(held)))
            .filter(|(.., bytes)| *bytes > 0)
            .collect();
        stalled.sort_unstable();
        let mut close = Vec::new();
        for (_, other, bytes) in stalled {
            if freed >= needed {
                break;
            }
            freed += bytes;
            close.push(other);
        }
        if freed < needed {
            return Verdict::Refused;
        }
        close.iter().for_each(|other| self.mark_closing(*other));
        Verdict::Wait { close }
    }

    fn longest_stalled(&self, now: Instant) -> Option<ConnectionId> {
        let stalled = self.connections.iter().filter(|(_, one)| one.is_stalled(now));
        stalled.min_by_key(|(id, one)| (one.progressed, **id)).map(|(id, _)| *id)
    }

    fn mark_closing(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id)
            && !connection.is_closing
        {
            connection.is_closing = true;
            self.closing += 1;
        }
    }
}
