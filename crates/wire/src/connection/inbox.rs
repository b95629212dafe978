//! The receiving side, whatever carries the envelopes.

use crate::connection::link_counters::add;
use crate::connection::{LinkCounters, LinkHandler};
use crate::message::{Envelope, FORMAT};
use std::sync::Arc;

/// Reads envelopes and hands their messages over.
pub(crate) struct Inbox<H> {
    handler: Arc<H>,
    counters: Arc<LinkCounters>,
}

/// An envelope could not be read: truncated, foreign, or of another format.
#[derive(Debug)]
pub(crate) struct Malformed;

impl<H: LinkHandler> Inbox<H> {
    pub fn new(handler: Arc<H>, counters: Arc<LinkCounters>) -> Inbox<H> {
        Inbox { handler, counters }
    }

    /// Reads an envelope, and counts it.
    pub fn read(&self, buf: &[u8]) -> Result<Envelope, Malformed> {
        add(&self.counters.bytes_received, buf.len() as u64);
        match postcard::from_bytes::<Envelope>(buf) {
            Ok(envelope) if envelope.format == FORMAT => Ok(envelope),
            _ => {
                add(&self.counters.malformed, 1);
                Err(Malformed)
            }
        }
    }

    /// Hands the messages of an envelope over, in order.
    pub fn dispatch(&self, envelope: Envelope) {
        add(&self.counters.messages_received, envelope.messages.len() as u64);
        for message in envelope.messages {
            self.handler.on_message(envelope.from, envelope.to, message);
        }
    }
}
