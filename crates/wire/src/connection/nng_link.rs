//! Links over nng: one pull socket to listen, one push socket a peer.

use crate::connection::link_counters::add;
use crate::connection::peer_queue::PeerQueue;
use crate::connection::{Link, LinkConfig, LinkCounters, LinkError, LinkHandler};
use crate::message::{Envelope, FORMAT, Message};
use crossbeam::channel::{Receiver, Sender, bounded};
use nng::options::{Options, RecvMaxSize};
use nng::{Protocol, Socket};
use sorrellock_core::request::Peer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::thread;

/// Closed links that wait to be handled.
const CLOSED_QUEUE: usize = 4096;

/// Links of one process to all its peers.
pub struct NngLink {
    cfg: LinkConfig,
    listener: Socket,
    peers: RwLock<HashMap<SocketAddr, Arc<PeerQueue>>>,
    closed: Sender<SocketAddr>,
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
        let (tx, rx) = bounded(CLOSED_QUEUE);
        let link = NngLink {
            cfg,
            listener,
            peers: RwLock::default(),
            closed: tx,
            counters: Arc::default(),
        };
        Ok((Arc::new(link), ClosedLinks(rx)))
    }

    /// Starts the threads that hand what comes to `handler`.
    pub fn serve<H: LinkHandler>(self: &Arc<Self>, closed: ClosedLinks, handler: Arc<H>) {
        let (link, receiver) = (self.clone(), handler.clone());
        thread::Builder::new()
            .name("link-receive".into())
            .spawn(move || link.receive(&*receiver))
            .expect("a thread can be started");
        thread::Builder::new()
            .name("link-closed".into())
            .spawn(move || closed.0.iter().for_each(|peer| handler.on_closed(peer)))
            .expect("a thread can be started");
    }

    /// The counters.
    pub fn counters(&self) -> &LinkCounters {
        &self.counters
    }

    /// Closes the listener, as a process that ends does.
    pub fn close(&self) {
        self.listener.close();
        self.peers.write().unwrap().clear();
    }

    fn receive<H: LinkHandler>(&self, handler: &H) {
        while let Ok(buf) = self.listener.recv() {
            add(&self.counters.bytes_received, buf.len() as u64);
            match postcard::from_bytes::<Envelope>(&buf) {
                Ok(envelope) if envelope.format == FORMAT => self.dispatch(envelope, handler),
                _ => add(&self.counters.malformed, 1),
            }
        }
    }

    fn dispatch<H: LinkHandler>(&self, envelope: Envelope, handler: &H) {
        add(&self.counters.messages_received, envelope.messages.len() as u64);
        for message in envelope.messages {
            handler.on_message(envelope.from, envelope.to, message);
        }
    }

    fn queue_to(&self, peer: SocketAddr) -> Result<Arc<PeerQueue>, LinkError> {
        if let Some(queue) = self.peers.read().unwrap().get(&peer) {
            return Ok(queue.clone());
        }
        let mut peers = self.peers.write().unwrap();
        if peers.len() >= self.cfg.max_peers && !peers.contains_key(&peer) {
            return Err(LinkError::TooManyPeers { peer });
        }
        let start = || {
            let (cfg, counters) = (self.cfg.clone(), self.counters.clone());
            Arc::new(PeerQueue::start(peer, cfg, counters, self.closed.clone()))
        };
        Ok(peers.entry(peer).or_insert_with(start).clone())
    }
}

impl Link for NngLink {
    fn send(&self, to: Peer, message: Message) -> Result<(), LinkError> {
        self.queue_to(to.addr)?.push(to.incarnation, message)
    }
}

/// Links that closed, for [`NngLink::serve`].
pub struct ClosedLinks(Receiver<SocketAddr>);
