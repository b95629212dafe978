//! Closed links, on their way to whoever must know.

use crate::connection::link_counters::add;
use crate::connection::{LinkCounters, LinkHandler};
use crossbeam::channel::{Receiver, Sender, bounded};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Closed links that wait to be handled.
const CLOSED_QUEUE: usize = 4096;

/// Links that closed, for the handler of a link.
pub struct ClosedLinks(Receiver<SocketAddr>);

impl ClosedLinks {
    /// A queue of closed links, and its sending end.
    pub(crate) fn new() -> (Sender<SocketAddr>, ClosedLinks) {
        let (tx, rx) = bounded(CLOSED_QUEUE);
        (tx, ClosedLinks(rx))
    }

    /// Starts the thread that tells `handler` of them.
    pub(crate) fn handle<H: LinkHandler>(self, handler: Arc<H>) {
        let tell_all = move || self.0.iter().for_each(|peer| handler.on_closed(peer));
        thread::Builder::new()
            .name("link-closed".into())
            .spawn(tell_all)
            .expect("a thread can be started");
    }
}

/// Tells once that a connection to a peer closed.
#[derive(Clone)]
pub(crate) struct ClosedNote {
    peer: SocketAddr,
    closed: Sender<SocketAddr>,
    counters: Arc<LinkCounters>,
    told: Arc<AtomicBool>,
}

impl ClosedNote {
    pub fn new(
        peer: SocketAddr,
        closed: Sender<SocketAddr>,
        counters: Arc<LinkCounters>,
    ) -> ClosedNote {
        ClosedNote { peer, closed, counters, told: Arc::default() }
    }

    /// Tells it, unless it was told before.
    pub fn tell(&self) {
        if self.told.swap(true, Ordering::AcqRel) {
            return;
        }
        add(&self.counters.closed, 1);
        if self.closed.try_send(self.peer).is_err() {
            add(&self.counters.closed_untold, 1);
        }
    }

    /// Whether it was told.
    pub fn is_told(&self) -> bool {
        self.told.load(Ordering::Acquire)
    }

    /// Keeps it from being told: this side ended the connection on purpose.
    pub fn hush(&self) {
        self.told.store(true, Ordering::Release);
    }
}
