//! The accepting side of a TCP connection: it reads frames, and acknowledges those that ask.

use crate::connection::frame::{greet, read_frame, read_greeting};
use crate::connection::inbox::Inbox;
use crate::connection::link_counters::add;
use crate::connection::streams::OpenStream;
use crate::connection::{LinkCounters, LinkHandler};
use crate::message::Envelope;
use sorrellock_core::request::Peer;
use std::collections::HashMap;
use std::io::{self, BufReader, ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

/// Bytes read ahead of a connection.
const READ_BYTES: usize = 16 << 10;
/// Capacity that an envelope's buffer keeps between envelopes.
const KEPT_BYTES: usize = 64 << 10;

/// For each peer, the connection from which its messages are taken: the last one that it opened.
/// What an older one still holds is dropped, so that messages never change their order, and it is closed: one that went
/// silent would stay open here for as long as the process runs, and take the room of another one.
#[derive(Debug, Default)]
pub(crate) struct Senders {
    by_peer: Mutex<HashMap<SocketAddr, Arc<Sender>>>,
    numbers: AtomicU64,
}

#[derive(Debug, Default)]
struct Sender {
    /// Held while messages are handed over.
    in_force: Mutex<InForce>,
}

/// The connection in force.
#[derive(Debug, Default)]
struct InForce {
    number: u64,
    stream: Weak<OpenStream>,
}

impl InForce {
    /// Takes a connection unless a newer one is in force, and closes an older one. Tells whether it did.
    fn take(&mut self, number: u64, stream: &Arc<OpenStream>) -> bool {
        if self.number > number {
            return false;
        }
        if self.number < number {
            let older = std::mem::replace(&mut self.stream, Arc::downgrade(stream));
            self.number = number;
            if let Some(older) = older.upgrade() {
                older.shut();
            }
        }
        true
    }
}

impl Senders {
    fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn of(&self, peer: Peer) -> Arc<Sender> {
        self.by_peer.lock().unwrap().entry(peer.addr).or_default().clone()
    }

    /// Forgets a peer whose last connection has closed.
    fn leave(&self, peer: SocketAddr, number: u64) {
        let mut by_peer = self.by_peer.lock().unwrap();
        if by_peer.get(&peer).is_some_and(|sender| sender.in_force.lock().unwrap().number == number)
        {
            by_peer.remove(&peer);
        }
    }
}

/// Reads one accepted connection.
pub(crate) struct Receiving<H> {
    pub stream: Arc<OpenStream>,
    pub inbox: Arc<Inbox<H>>,
    pub senders: Arc<Senders>,
    pub counters: Arc<LinkCounters>,
    pub max_bytes: usize,
    pub greeting_timeout: Duration,
}

impl<H: LinkHandler> Receiving<H> {
    /// Reads until the connection closes, or what comes is malformed.
    pub fn run(self) {
        if self.greet().is_err() {
            add(&self.counters.malformed, 1);
            return self.stream.shut();
        }
        let number = self.senders.next_number();
        let mut sender = None;
        let ended = self.read_all(number, &mut sender);
        if ended.is_err_and(|err| err.kind() == ErrorKind::InvalidData) {
            add(&self.counters.malformed, 1);
        }
        self.stream.shut();
        if let Some((peer, _)) = sender {
            self.senders.leave(peer, number);
        }
    }

    fn greet(&self) -> io::Result<()> {
        let stream = self.stream.get();
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.greeting_timeout))?;
        stream.set_read_timeout(Some(self.greeting_timeout))?;
        read_greeting(stream)?;
        stream.set_read_timeout(None)?;
        greet(stream)
    }

    fn read_all(
        &self,
        number: u64,
        sender: &mut Option<(SocketAddr, Arc<Sender>)>,
    ) -> io::Result<()> {
        let mut reader = BufReader::with_capacity(READ_BYTES, self.stream.get());
        let mut buf = Vec::new();
        loop {
            let ack = read_frame(&mut reader, &mut buf, self.max_bytes)?;
            if ack != 0 {
                self.stream.get().write_all(&ack.to_le_bytes())?;
            }
            // A malformed envelope was counted as it was read.
            let Ok(envelope) = self.inbox.read(&buf) else { return Ok(()) };
            if !self.hand_over(envelope, number, sender) {
                return Ok(());
            }
            buf.shrink_to(KEPT_BYTES);
        }
    }

    /// Hands an envelope over; false if the peer has opened a newer connection since.
    fn hand_over(
        &self,
        envelope: Envelope,
        number: u64,
        sender: &mut Option<(SocketAddr, Arc<Sender>)>,
    ) -> bool {
        let peer = envelope.from;
        let (_, sender) = sender.get_or_insert_with(|| (peer.addr, self.senders.of(peer)));
        let mut in_force = sender.in_force.lock().unwrap();
        if !in_force.take(number, &self.stream) {
            add(&self.counters.messages_lost, envelope.messages.len() as u64);
            return false;
        }
        self.inbox.dispatch(envelope);
        true
    }
}
