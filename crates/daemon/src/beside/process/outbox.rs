//! Sends messages to peers. A refused send is only counted, as the peer that waits for the message retries.

use crate::process::{Count, Counters};
use sorrellock_core::request::{Outgoing, Peer};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{CallMessage, Message, PipelineMessage};
use std::sync::Arc;

/// The link to peers, with the counters of this process.
pub struct Outbox<L> {
    link: Arc<L>,
    counters: Arc<Counters>,
}

impl<L> Clone for Outbox<L> {
    fn clone(&self) -> Self {
        Outbox { link: self.link.clone(), counters: self.counters.clone() }
    }
}

impl<L: Link> Outbox<L> {
    /// Creates an outbox that sends over `link`.
    pub fn new(link: Arc<L>, counters: Arc<Counters>) -> Outbox<L> {
        Outbox { link, counters }
    }

    /// Returns the counters of the process.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Sends a message of a pipeline request.
    pub fn pipeline(&self, to: Peer, message: PipelineMessage) {
        self.send(to, Message::Pipeline(message));
    }

    /// Sends messages of pipeline requests, grouped by peer.
    pub fn pipeline_each(&self, messages: Vec<Outgoing>) {
        let each = messages.into_iter().map(|out| (out.to, Message::Pipeline(out.message)));
        let refused = self.link.send_each(each);
        self.counters.add(Count::SendsRefused, refused as u64);
    }

    /// Sends a message of a call.
    pub fn call(&self, to: Peer, message: CallMessage) {
        self.send(to, Message::Call(message));
    }

    /// Sends any message.
    pub fn send(&self, to: Peer, message: Message) {
        if self.link.send(to, message).is_err() {
            self.counters.count(Count::SendsRefused);
        }
    }
}
