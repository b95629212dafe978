//! What carries envelopes to one peer.

use crate::connection::closed_links::ClosedNote;
use crate::connection::writer::Written;
use std::net::SocketAddr;

/// Opens connections to peers.
pub(crate) trait Dial: Clone + Send + Sync + 'static {
    /// An open connection.
    type Connection: Carry + Send;

    /// Connects to a peer, or gives up within the time set. `note` is told when the connection closes.
    fn dial(&self, peer: SocketAddr, note: ClosedNote) -> Option<Self::Connection>;
}

/// Carries envelopes to one peer. Dropped, it closes.
pub(crate) trait Carry {
    /// Whether [`send_now`](Carry::send_now) is of use.
    const SENDS_NOW: bool = false;

    /// Sends one envelope, after what is left from before; false if the connection is of no more
    /// use.
    fn send(&mut self, envelope: &[u8]) -> bool;

    /// Sends one envelope without a wait, and keeps what the connection doesn't take at once.
    fn send_now(&mut self, envelope: &[u8]) -> Written {
        if self.send(envelope) { Written::Whole } else { Written::Failed }
    }

    /// Sends what is left from before; false if the connection is of no more use.
    fn send_rest(&mut self) -> bool {
        true
    }

    /// Whether something is left from before.
    fn has_rest(&self) -> bool {
        false
    }

    /// Whether the peer acknowledges nothing any more, where it is asked to.
    fn is_silent(&self) -> bool {
        false
    }
}
