//! The traits of a link: sending to peers, and handling what comes from them.

use crate::message::Message;
use sorrellock_core::id::Incarnation;
use sorrellock_core::request::Peer;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Why a message was not taken for sending. It was certainly not sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The queue to the peer is full.
    Full {
        /// The peer.
        peer: SocketAddr,
    },
    /// The last try to reach the peer failed a moment ago.
    Down {
        /// The peer.
        peer: SocketAddr,
    },
    /// There are too many peers.
    TooManyPeers {
        /// The peer.
        peer: SocketAddr,
    },
    /// The link could not be started.
    Start {
        /// Where it was to listen.
        addr: SocketAddr,
        /// The library's words.
        detail: String,
    },
}

impl fmt::Display for LinkError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LinkError::Full { peer } => write!(f, "the queue to {peer} is full"),
            LinkError::Down { peer } => write!(f, "{peer} can't be reached"),
            LinkError::TooManyPeers { peer } => write!(f, "no room for a link to {peer}"),
            LinkError::Start { addr, detail } => write!(f, "can't listen on {addr}: {detail}"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Sends messages to peers. Messages to one peer arrive in order or not at all.
pub trait Link: Send + Sync + 'static {
    /// Sends a message, or queues it. An error means that it was not sent and never will be; `Ok`
    /// proves nothing.
    fn send(&self, to: Peer, message: Message) -> Result<(), LinkError> {
        self.send_all(to, vec![message])
    }

    /// Sends several messages to one peer together, or queues them: all or none.
    fn send_all(&self, to: Peer, messages: Vec<Message>) -> Result<(), LinkError>;

    /// Sends messages to several peers, those of each together and in order; gives how many were
    /// refused.
    fn send_each(&self, messages: impl IntoIterator<Item = (Peer, Message)>) -> usize
    where
        Self: Sized,
    {
        let mut by_peer: Vec<(Peer, Vec<Message>)> = Vec::new();
        for (to, message) in messages {
            match by_peer.iter_mut().find(|(peer, _)| *peer == to) {
                Some((_, gathered)) => gathered.push(message),
                None => by_peer.push((to, vec![message])),
            }
        }
        let send = |(to, messages): (Peer, Vec<Message>)| {
            let count = messages.len();
            self.send_all(to, messages).map_or(count, |()| 0)
        };
        by_peer.into_iter().map(send).sum()
    }

    /// Measured transits to the peers, one way; empty if this kind of link measures none.
    fn transits(&self) -> Vec<(SocketAddr, Duration)> {
        Vec::new()
    }
}

/// Handles what comes from peers. It must not block.
pub trait LinkHandler: Send + Sync + 'static {
    /// A message came, meant for incarnation `to` (0: whoever listens).
    fn on_message(&self, from: Peer, to: Incarnation, message: Message);

    /// The link to a peer closed, or could not be opened; queued messages may be lost.
    fn on_closed(&self, peer: SocketAddr);
}
