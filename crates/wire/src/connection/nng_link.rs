//! Links over nng: one pull socket to listen, one push socket a peer.

use crate::connection::closed_links::ClosedNote;
use crate::connection::dial::{Carry, Dial};
use crate::connection::inbox::Inbox;
use crate::connection::peers::Peers;
use crate::connection::{ClosedLinks, Link, LinkConfig, LinkCounters, LinkError, LinkHandler};
use crate::message::Message;
use nng::options::{Options, RecvMaxSize, SendTimeout};
use nng::{PipeEvent, Protocol, Socket};
use sorrellock_core::request::Peer;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Links of one process to all its peers, over nng.
pub struct NngLink {
    listener: Socket,
    peers: Peers<NngDial>,
    counters: Arc<LinkCounters>,
}

impl NngLink {
    /// Listens; nothing is handled before [`NngLink::serve`].
    pub fn listen(cfg: LinkConfig) -> Result<(Arc<NngLink>, ClosedLinks), LinkError> {
        let addr = cfg.me.addr;
        let start = |err: nng::Error| LinkError::Start { addr, detail: err.to_string() };
        let listener = Socket::new(Protocol::Pull0).map_err(start)?;
        listener.set_opt::<RecvMaxSize>(cfg.max_bytes).map_err(start)?;
        listener.listen(&format!("tcp://{addr}")).map_err(start)?;
        let (tx, closed) = ClosedLinks::new();
        let counters = Arc::new(LinkCounters::default());
        let dial = NngDial { send_timeout: cfg.send_timeout };
        let peers = Peers::new(cfg, dial, tx, counters.clone());
        Ok((Arc::new(NngLink { listener, peers, counters }), closed))
    }

    /// Starts the threads that hand what comes to `handler`.
    pub fn serve<H: LinkHandler>(self: &Arc<Self>, closed: ClosedLinks, handler: Arc<H>) {
        let inbox = Inbox::new(handler.clone(), self.counters.clone());
        let link = self.clone();
        thread::Builder::new()
            .name("link-receive".into())
            .spawn(move || link.receive(&inbox))
            .expect("a thread can be started");
        closed.handle(handler);
    }

    /// The counters.
    pub fn counters(&self) -> &LinkCounters {
        self.peers.counters()
    }

    /// Whether something that was taken for sending has not been written to its connection yet.
    pub fn has_unsent(&self) -> bool {
        self.peers.has_unsent()
    }

    /// Closes the listener and all links, as a process that ends does.
    pub fn close(&self) {
        self.listener.close();
        self.peers.end();
    }

    fn receive<H: LinkHandler>(&self, inbox: &Inbox<H>) {
        while let Ok(buf) = self.listener.recv() {
            if let Ok(envelope) = inbox.read(&buf) {
                inbox.dispatch(envelope);
            }
        }
    }
}

impl Link for NngLink {
    fn send_all(&self, to: Peer, messages: Vec<Message>) -> Result<(), LinkError> {
        self.peers.send(to, messages)
    }
}

#[derive(Clone)]
struct NngDial {
    send_timeout: Duration,
}

impl Dial for NngDial {
    type Connection = Socket;

    fn dial(&self, peer: SocketAddr, note: ClosedNote) -> Option<Socket> {
        let socket = Socket::new(Protocol::Push0).ok()?;
        socket.set_opt::<SendTimeout>(Some(self.send_timeout)).ok()?;
        let notify = move |_, event| {
            if event == PipeEvent::RemovePost {
                note.tell();
            }
        };
        socket.pipe_notify(notify).ok()?;
        socket.dial(&format!("tcp://{peer}")).ok()?;
        Some(socket)
    }
}

impl Carry for Socket {
    fn send(&mut self, envelope: &[u8]) -> bool {
        Socket::send(self, nng::Message::from(envelope)).is_ok()
    }
}
