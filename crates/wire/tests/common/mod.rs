//! What the tests of links share.

use crossbeam::channel::{Receiver, Sender, unbounded};
use sorrellock_core::id::Incarnation;
use sorrellock_core::request::{Peer, RequestKey};
use sorrellock_wire::connection::{
    AnyLink, ClosedLinks, Link, LinkConfig, LinkError, LinkHandler, LinkKind,
};
use sorrellock_wire::message::{CallMessage, Message};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// How long a wait may take before a test fails.
pub const WAIT: Duration = Duration::from_secs(10);

/// A link that notes what comes.
pub struct Node {
    pub me: Peer,
    pub link: Arc<AnyLink>,
    pub messages: Receiver<(Peer, Incarnation, u64)>,
    pub closed: Receiver<SocketAddr>,
}

struct Noting {
    messages: Sender<(Peer, Incarnation, u64)>,
    closed: Sender<SocketAddr>,
}

impl LinkHandler for Noting {
    fn on_message(&self, from: Peer, to: Incarnation, message: Message) {
        let Message::Call(CallMessage::Cancel { request }) = message else { return };
        let _ = self.messages.send((from, to, request.sequence));
    }

    fn on_closed(&self, peer: SocketAddr) {
        let _ = self.closed.send(peer);
    }
}

impl Node {
    /// Listens at a free address.
    pub fn start(kind: LinkKind) -> Node {
        Node::start_as(LinkConfig::new(new_peer()).with_kind(kind))
    }

    /// Listens as the settings say.
    pub fn start_as(cfg: LinkConfig) -> Node {
        let me = cfg.me;
        let (link, closed_links) = listen(cfg);
        let ((messages, rx), (closed, closed_rx)) = (unbounded(), unbounded());
        link.serve(closed_links, Arc::new(Noting { messages, closed }));
        Node { me, link, messages: rx, closed: closed_rx }
    }

    /// Sends a message with a number.
    pub fn send(&self, to: Peer, number: u64) -> Result<(), LinkError> {
        self.link.send(to, message(number))
    }

    /// Sends a message until one is taken and arrives at `node`.
    pub fn reach(&self, node: &Node, number: u64) {
        self.reach_at(node.me, node, number);
    }

    /// The same for a node that is known as another peer.
    pub fn reach_at(&self, peer: Peer, node: &Node, number: u64) {
        let end = Instant::now() + WAIT;
        while Instant::now() < end {
            let _ = self.send(peer, number);
            if node.messages.recv_timeout(Duration::from_millis(100)).is_ok() {
                while node.messages.recv_timeout(Duration::from_millis(100)).is_ok() {}
                return;
            }
        }
        panic!("{} was not reached", peer.addr);
    }

    /// The next message's number.
    pub fn next(&self) -> u64 {
        self.messages.recv_timeout(WAIT).expect("a message comes").2
    }

    /// The value of a counter.
    pub fn counter(&self, name: &str) -> u64 {
        let counters = self.link.counters().snapshot();
        counters.iter().find(|(found, _)| *found == name).expect("the counter exists").1
    }

    /// Waits until a counter reaches a value.
    pub fn wait_for(&self, name: &str, value: u64) {
        wait_until(name, || self.counter(name) >= value);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.link.close();
    }
}

fn listen(cfg: LinkConfig) -> (Arc<AnyLink>, ClosedLinks) {
    let end = Instant::now() + WAIT;
    loop {
        match AnyLink::listen(cfg.clone()) {
            Ok(listening) => return listening,
            Err(err) if Instant::now() > end => panic!("{err}"),
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    }
}

/// Waits until something holds.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < end, "{what} did not come to hold");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A small message with a number.
pub fn message(number: u64) -> Message {
    let request = RequestKey { entry: 1, sequence: number };
    Message::Call(CallMessage::Cancel { request })
}

/// A peer at a free loopback address.
pub fn new_peer() -> Peer {
    static INCARNATIONS: AtomicU64 = AtomicU64::new(1);
    Peer { addr: free_addr(), incarnation: INCARNATIONS.fetch_add(1, Ordering::Relaxed) }
}

/// A loopback address that nothing listens on, apart from those that connections leave from.
pub fn free_addr() -> SocketAddr {
    let pid = std::process::id();
    let ip = [127, 1 + (pid / 250 % 250) as u8, 1 + (pid % 250) as u8, 7];
    let listener = TcpListener::bind((std::net::Ipv4Addr::from(ip), 0)).expect("a port is free");
    listener.local_addr().expect("the listener has an address")
}
