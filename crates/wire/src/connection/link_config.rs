//! Settings of a link.

use crate::connection::LinkKind;
use sorrellock_core::request::Peer;
use std::time::Duration;

/// Settings of a link. Defaults stand in the constants of this type.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// Where to listen, and as which incarnation to send.
    pub me: Peer,
    /// What carries the messages.
    pub kind: LinkKind,
    /// The most messages that wait for one peer.
    pub queue: usize,
    /// The most messages that one envelope carries.
    pub batch: usize,
    /// The most peers that are sent to.
    pub max_peers: usize,
    /// The largest envelope taken, in bytes.
    pub max_bytes: usize,
    /// How long a connection may take to be made.
    pub connect_timeout: Duration,
    /// How long one send may wait for room.
    pub send_timeout: Duration,
    /// A connection on which the peer acknowledges nothing for this long is given up: it may have gone silent without a
    /// reset, and nothing else would tell.
    pub silence: Duration,
    /// A connection over which nothing was sent for this long is closed.
    pub idle: Duration,
    /// How long sends to a peer that could not be reached are refused.
    pub down_for: Duration,
}

impl LinkConfig {
    /// Default of `queue`.
    pub const QUEUE: usize = 8192;
    /// Default of `batch`.
    pub const BATCH: usize = 512;
    /// Default of `max_peers`.
    pub const MAX_PEERS: usize = 2048;
    /// Default of `max_bytes`.
    pub const MAX_BYTES: usize = 64 << 20;
    /// Default of `connect_timeout`.
    pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
    /// Default of `silence`. Past the time after which membership takes a peer that answers nothing to be gone (3.3 s), so that
    /// a peer that is merely slow keeps its connection and what lies in it.
    pub const SILENCE: Duration = Duration::from_secs(5);
    /// Default of `idle`.
    pub const IDLE: Duration = Duration::from_secs(300);
    /// Default of `send_timeout`.
    pub const SEND_TIMEOUT: Duration = Duration::from_secs(2);
    /// Default of `down_for`.
    pub const DOWN_FOR: Duration = Duration::from_millis(200);

    /// The defaults, as `me`.
    pub fn new(me: Peer) -> LinkConfig {
        LinkConfig {
            me,
            kind: LinkKind::default(),
            queue: LinkConfig::QUEUE,
            batch: LinkConfig::BATCH,
            max_peers: LinkConfig::MAX_PEERS,
            max_bytes: LinkConfig::MAX_BYTES,
            connect_timeout: LinkConfig::CONNECT_TIMEOUT,
            idle: LinkConfig::IDLE,
            send_timeout: LinkConfig::SEND_TIMEOUT,
            silence: LinkConfig::SILENCE,
            down_for: LinkConfig::DOWN_FOR,
        }
    }

    /// Takes another kind of link.
    pub fn with_kind(mut self, kind: LinkKind) -> LinkConfig {
        self.kind = kind;
        self
    }

    /// Bounds the bytes of an envelope.
    pub fn with_max_bytes(mut self, max_bytes: usize) -> LinkConfig {
        self.max_bytes = max_bytes;
        self
    }

    /// Closes connections over which nothing was sent for this long.
    pub fn with_idle(mut self, idle: Duration) -> LinkConfig {
        self.idle = idle;
        self
    }

    /// Bounds the messages that wait for one peer.
    pub fn with_queue(mut self, queue: usize) -> LinkConfig {
        self.queue = queue;
        self
    }
}
