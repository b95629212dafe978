//! Writes messages to one peer, and connects when it must.

use crate::connection::closed_links::ClosedNote;
use crate::connection::dial::{Carry, Dial};
use crate::connection::link_counters::add;
use crate::connection::{LinkConfig, LinkCounters};
use crate::message::{Envelope, FORMAT, Message};
use crossbeam::channel::Sender;
use sorrellock_core::id::Incarnation;
use sorrellock_core::request::Peer;
use std::net::SocketAddr;
use std::sync::Arc;

/// How much of what was to be written without a wait the connection took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// All of it.
    Whole,
    /// A part; the rest is kept.
    Part,
    /// The connection is of no more use, and the messages are lost.
    Failed,
}

/// Writes messages to one peer.
pub(crate) struct Writer<D: Dial> {
    me: Peer,
    peer: SocketAddr,
    dial: D,
    closed: Sender<SocketAddr>,
    counters: Arc<LinkCounters>,
    open: Option<D::Connection>,
    note: Option<ClosedNote>,
}

impl<D: Dial> Writer<D> {
    pub fn new(
        cfg: &LinkConfig,
        peer: SocketAddr,
        dial: D,
        closed: Sender<SocketAddr>,
        counters: Arc<LinkCounters>,
    ) -> Writer<D> {
        Writer { me: cfg.me, peer, dial, closed, counters, open: None, note: None }
    }

    /// Writes what is left from before, and messages, if any. Connects first where needed, and
    /// waits as long as a send may take. False if the peer can't be reached, which is not reported yet.
    pub fn write(&mut self, to: Incarnation, messages: Vec<Message>) -> bool {
        let count = messages.len() as u64;
        self.drop_closed();
        if messages.is_empty() {
            self.write_rest();
            return true;
        }
        if self.open.is_none() {
            self.connect();
        }
        let Some(open) = self.open.as_mut() else {
            add(&self.counters.messages_lost, count);
            return false;
        };
        let buf = encode(self.me, to, messages);
        match open.send(&buf) {
            true => self.count_sent(count, buf.len()),
            false => self.fail(count),
        }
        true
    }

    /// Writes messages on the open connection without a wait; gives them back if there is none.
    pub fn write_now(
        &mut self,
        to: Incarnation,
        messages: Vec<Message>,
    ) -> Result<Written, Vec<Message>> {
        let count = messages.len() as u64;
        self.drop_closed();
        let Some(open) = self.open.as_mut() else { return Err(messages) };
        let buf = encode(self.me, to, messages);
        let written = open.send_now(&buf);
        match written {
            Written::Failed => self.fail(count),
            Written::Whole | Written::Part => self.count_sent(count, buf.len()),
        }
        Ok(written)
    }

    /// Whether the connection is open and takes messages without a wait.
    pub fn can_write_now(&self) -> bool {
        D::Connection::SENDS_NOW && self.open.is_some() && !self.has_rest()
    }

    /// Whether a part of what was written is left.
    pub fn has_rest(&self) -> bool {
        self.open.as_ref().is_some_and(|open| open.has_rest())
    }

    /// Closes the connection; nobody is told.
    pub fn close_quietly(&mut self) {
        if let Some(note) = &self.note {
            note.hush();
        }
        self.open = None;
    }

    /// Closes the connection.
    pub fn drop_connection(&mut self) {
        self.open = None;
    }

    fn write_rest(&mut self) {
        if self.open.as_mut().is_some_and(|open| !open.send_rest()) {
            self.fail(0);
        }
    }

    /// Drops a connection that the peer has closed, or on which it acknowledges nothing any more: what is sent on that one
    /// may not arrive, and nothing else would tell.
    fn drop_closed(&mut self) {
        if self.note.as_ref().is_some_and(ClosedNote::is_told) {
            self.open = None;
        }
        if self.open.as_ref().is_some_and(|open| open.is_silent()) {
            add(&self.counters.silent, 1);
            self.fail(0);
        }
    }

    fn connect(&mut self) {
        let note = ClosedNote::new(self.peer, self.closed.clone(), self.counters.clone());
        self.open = self.dial.dial(self.peer, note.clone());
        self.note = Some(note);
    }

    /// Reports that the peer can't be reached, after [`write`](Self::write) found it.
    pub fn report_unreachable(&self) {
        if let Some(note) = &self.note {
            note.tell();
        }
    }

    fn count_sent(&self, messages: u64, bytes: usize) {
        add(&self.counters.envelopes_sent, 1);
        add(&self.counters.messages_sent, messages);
        add(&self.counters.bytes_sent, bytes as u64);
    }

    fn fail(&mut self, messages: u64) {
        add(&self.counters.messages_lost, messages);
        self.open = None;
        if let Some(note) = &self.note {
            note.tell();
        }
    }
}

fn encode(from: Peer, to: Incarnation, messages: Vec<Message>) -> Vec<u8> {
    let envelope = Envelope { format: FORMAT, from, to, messages };
    postcard::to_stdvec(&envelope).expect("messages can be encoded")
}
