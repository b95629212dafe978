//! The sending side of a link to one peer: a bounded queue and the thread that empties it.

use crate::connection::link_counters::add;
use crate::connection::{LinkConfig, LinkCounters, LinkError};
use crate::message::{Envelope, FORMAT, Message};
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};
use nng::options::{Options, SendTimeout};
use nng::{PipeEvent, Protocol, Socket};
use sorrellock_core::id::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Instant;

/// One message with the incarnation that it is meant for.
type Queued = (Incarnation, Message);

/// A bounded queue to one peer.
pub(crate) struct PeerQueue {
    peer: SocketAddr,
    tx: Sender<Queued>,
    down: Arc<AtomicBool>,
    counters: Arc<LinkCounters>,
}

impl PeerQueue {
    /// Starts the thread that sends to `peer`; closed links go to `closed`.
    pub fn start(
        peer: SocketAddr,
        cfg: LinkConfig,
        counters: Arc<LinkCounters>,
        closed: Sender<SocketAddr>,
    ) -> PeerQueue {
        let (tx, rx) = bounded(cfg.queue);
        let down = Arc::new(AtomicBool::new(false));
        let sending =
            Sending { peer, cfg, rx, closed, down: down.clone(), counters: counters.clone() };
        thread::Builder::new()
            .name(format!("link-{peer}"))
            .stack_size(SENDER_STACK_BYTES)
            .spawn(move || sending.run())
            .expect("a thread can be started");
        PeerQueue { peer, tx, down, counters }
    }

    /// Queues a message.
    pub fn push(&self, to: Incarnation, message: Message) -> Result<(), LinkError> {
        if self.down.load(Ordering::Acquire) {
            add(&self.counters.refused_down, 1);
            return Err(LinkError::Down { peer: self.peer });
        }
        self.tx.try_send((to, message)).map_err(|err| match err {
            TrySendError::Full(_) => {
                add(&self.counters.refused_full, 1);
                LinkError::Full { peer: self.peer }
            }
            TrySendError::Disconnected(_) => LinkError::Down { peer: self.peer },
        })
    }
}

/// Stack of a sending thread; it encodes one envelope at a time.
const SENDER_STACK_BYTES: usize = 256 << 10;

struct Sending {
    peer: SocketAddr,
    cfg: LinkConfig,
    rx: Receiver<Queued>,
    closed: Sender<SocketAddr>,
    down: Arc<AtomicBool>,
    counters: Arc<LinkCounters>,
}

impl Sending {
    fn run(self) {
        let mut socket = None;
        while let Ok(first) = self.rx.recv() {
            let (to, messages, mut rest) = self.gather(first);
            self.send(&mut socket, to, messages);
            while let Some(next) = rest.take() {
                let (to, messages, more) = self.gather(next);
                self.send(&mut socket, to, messages);
                rest = more;
            }
        }
    }

    /// Takes what waits behind `first` for the same incarnation; a message for another ends it.
    fn gather(&self, first: Queued) -> (Incarnation, Vec<Message>, Option<Queued>) {
        let (to, message) = first;
        let mut messages = vec![message];
        while messages.len() < self.cfg.batch {
            match self.rx.try_recv() {
                Ok((same, message)) if same == to => messages.push(message),
                Ok(other) => return (to, messages, Some(other)),
                Err(_) => break,
            }
        }
        (to, messages, None)
    }

    fn send(&self, socket: &mut Option<Socket>, to: Incarnation, messages: Vec<Message>) {
        let count = messages.len() as u64;
        if socket.is_none() {
            *socket = self.dial();
        }
        let Some(open) = socket.as_ref() else {
            add(&self.counters.messages_lost, count);
            self.refuse_for_a_while();
            return;
        };
        let envelope = Envelope { format: FORMAT, from: self.cfg.me, to, messages };
        let buf = postcard::to_stdvec(&envelope).expect("messages can be encoded");
        let size = buf.len() as u64;
        match open.send(nng::Message::from(buf.as_slice())) {
            Ok(()) => {
                add(&self.counters.envelopes_sent, 1);
                add(&self.counters.messages_sent, count);
                add(&self.counters.bytes_sent, size);
            }
            Err(_) => {
                add(&self.counters.messages_lost, count);
                *socket = None;
                let _ = self.closed.try_send(self.peer);
            }
        }
    }

    fn dial(&self) -> Option<Socket> {
        let socket = Socket::new(Protocol::Push0).ok()?;
        socket.set_opt::<SendTimeout>(Some(self.cfg.send_timeout)).ok()?;
        let (peer, closed, counters) = (self.peer, self.closed.clone(), self.counters.clone());
        let notify = move |_, event| {
            if event == PipeEvent::RemovePost {
                add(&counters.closed, 1);
                let _ = closed.try_send(peer);
            }
        };
        socket.pipe_notify(notify).ok()?;
        socket.dial(&format!("tcp://{}", self.peer)).ok()?;
        Some(socket)
    }

    /// Refuses new messages for a moment, and drops those that wait: nobody is there.
    fn refuse_for_a_while(&self) {
        self.down.store(true, Ordering::Release);
        let _ = self.closed.try_send(self.peer);
        let until = Instant::now() + self.cfg.down_for;
        while self.rx.recv_deadline(until).is_ok() {
            add(&self.counters.messages_lost, 1);
        }
        self.down.store(false, Ordering::Release);
    }
}
