//! The queues to all peers of a process.

use crate::connection::dial::Dial;
use crate::connection::peer_queue::PeerQueue;
use crate::connection::writer::Writer;
use crate::connection::{LinkConfig, LinkCounters, LinkError};
use crate::message::Message;
use crossbeam::channel::Sender;
use sorrellock_core::request::Peer;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, RwLock};

/// Queues by the address of the peer.
pub(crate) type Queues<D> = RwLock<HashMap<SocketAddr, Arc<PeerQueue<D>>>>;

/// The queues to all peers; one is started with the first message to its peer.
pub(crate) struct Peers<D: Dial> {
    cfg: LinkConfig,
    dial: D,
    queues: Arc<Queues<D>>,
    closed: Sender<SocketAddr>,
    counters: Arc<LinkCounters>,
    ended: AtomicBool,
}

impl<D: Dial> Peers<D> {
    pub fn new(
        cfg: LinkConfig,
        dial: D,
        closed: Sender<SocketAddr>,
        counters: Arc<LinkCounters>,
    ) -> Peers<D> {
        Peers { cfg, dial, queues: Arc::default(), closed, counters, ended: AtomicBool::new(false) }
    }

    pub fn counters(&self) -> &LinkCounters {
        &self.counters
    }

    /// Sends or queues messages: all or none.
    pub fn send(&self, to: Peer, messages: Vec<Message>) -> Result<(), LinkError> {
        self.queue_to(to.addr)?.push(to.incarnation, messages)
    }

    /// Whether something that was taken for sending has not been written to its connection yet.
    pub fn has_unsent(&self) -> bool {
        self.queues.read().unwrap().values().any(|queue| queue.has_unsent())
    }

    /// Refuses all messages from now on, and ends the threads of all queues.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
        let queues = std::mem::take(&mut *self.queues.write().unwrap());
        queues.values().for_each(|queue| queue.end());
    }

    fn queue_to(&self, peer: SocketAddr) -> Result<Arc<PeerQueue<D>>, LinkError> {
        if let Some(queue) = self.queues.read().unwrap().get(&peer) {
            return Ok(queue.clone());
        }
        let mut queues = self.queues.write().unwrap();
        if self.ended.load(Ordering::Acquire) {
            return Err(LinkError::Down { peer });
        }
        if queues.len() >= self.cfg.max_peers && !queues.contains_key(&peer) {
            return Err(LinkError::TooManyPeers { peer });
        }
        Ok(queues.entry(peer).or_insert_with(|| self.start_queue(peer)).clone())
    }

    fn start_queue(&self, peer: SocketAddr) -> Arc<PeerQueue<D>> {
        let (cfg, owner) = (self.cfg.clone(), Arc::downgrade(&self.queues));
        let (dial, closed, counters) =
            (self.dial.clone(), self.closed.clone(), self.counters.clone());
        let writer = Writer::new(&cfg, peer, dial, closed, counters.clone());
        PeerQueue::start(peer, cfg, writer, owner, counters)
    }
}
