//! The bounds on what callers make a process hold, from the limits of its machine.

use crate::process::callers::Held;

/// Memory that a process needs besides what its callers make it hold, in bytes.
const PROCESS_BYTES: usize = 64_000_000;
/// Descriptors that are left for files.
const FILE_DESCRIPTORS: usize = 200;
/// Divisor of the remaining descriptors for those that are neither callers' nor endpoints': listeners, the store, other
/// instances.
const OWN_SOCKETS_DIVISOR: usize = 8;
/// Size up to which an answer is part of what its connection takes, in bytes.
pub const SMALL_ANSWER_BYTES: usize = 16 << 10;
/// Memory of a connection besides its heads and a small answer: its task, what its socket has not read, and the connection to
/// an endpoint that its request needs.
const CONNECTION_BYTES: usize = 56 << 10;
/// Number of times that a connection may hold the largest head: as it is received and as it is parsed.
const HEAD_COPIES: usize = 2;

/// Size up to which a body may use all the room for bodies, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Divisor of the room for bodies for the part that larger bodies leave.
const SMALL_BODY_DIVISOR: usize = 4;

/// What a machine gives to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory, in bytes.
    pub memory: usize,
    /// Number of open descriptors.
    pub descriptors: usize,
}

/// The most that callers may make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Number of callers' connections.
    pub connections: usize,
    /// Number of connections to endpoints, which callers' requests need.
    pub endpoint_connections: usize,
    /// Bytes of request bodies, from their receipt to the end of their requests.
    pub body_bytes: usize,
    /// Bytes of answers, from their receipt until their callers have read them.
    pub answer_bytes: usize,
}

impl CallerBounds {
    /// Divides what a machine has. Callers send heads of up to `max_head_bytes`.
    pub fn new(machine: MachineLimits, max_head_bytes: usize) -> CallerBounds {
        let for_callers = machine.memory.saturating_sub(PROCESS_BYTES).max(machine.memory / 2);
        let connection_bytes = HEAD_COPIES * max_head_bytes + SMALL_ANSWER_BYTES + CONNECTION_BYTES;
        let sockets = machine.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let sockets = sockets - sockets / OWN_SOCKETS_DIVISOR;
        let connections = (for_callers / 2 / connection_bytes).min(sockets / 2).max(1);
        CallerBounds {
            connections,
            endpoint_connections: (sockets - sockets / 2).max(1),
            body_bytes: for_callers / 4,
            answer_bytes: for_callers / 4,
        }
    }

    /// Returns the bytes that bodies may take which are larger than [`SMALL_BODY_BYTES`]; the rest is left to smaller ones.
    pub fn max_large_body_bytes(&self) -> usize {
        self.body_bytes - self.body_bytes / SMALL_BODY_DIVISOR
    }

    /// Returns the bound on bytes of one kind.
    pub fn bytes(&self, held: Held) -> usize {
        match held {
            Held::Body => self.body_bytes,
            Held::Answer => self.answer_bytes,
        }
    }
}
