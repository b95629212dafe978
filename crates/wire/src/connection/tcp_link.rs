//! Links over plain TCP: one connection for each direction between two peers.

use crate::connection::inbox::Inbox;
use crate::connection::link_counters::add;
use crate::connection::peers::Peers;
use crate::connection::streams::Streams;
use crate::connection::tcp_dial::TcpDial;
use crate::connection::tcp_receive::{Receiving, Senders};
use crate::connection::transit::Transits;
use crate::connection::{ClosedLinks, Link, LinkConfig, LinkCounters, LinkError, LinkHandler};
use crate::message::Message;
use sorrellock_core::request::Peer;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Stack of a receiving thread; the handler runs on it.
const RECEIVER_STACK_BYTES: usize = 512 << 10;
/// Pause after a failed accept, as when the process has too many open files.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// How long the end of a link may take to reach its own listener.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Links of one process to all its peers, over TCP.
pub struct TcpLink {
    cfg: LinkConfig,
    listener: Mutex<Option<TcpListener>>,
    accepting: Mutex<Option<JoinHandle<()>>>,
    ended: AtomicBool,
    peers: Peers<TcpDial>,
    streams: Arc<Streams>,
    transits: Arc<Transits>,
    counters: Arc<LinkCounters>,
}

impl TcpLink {
    /// Listens; nothing is handled before [`TcpLink::serve`].
    pub fn listen(cfg: LinkConfig) -> Result<(Arc<TcpLink>, ClosedLinks), LinkError> {
        let addr = cfg.me.addr;
        let start = |err: io::Error| LinkError::Start { addr, detail: err.to_string() };
        let listener = TcpListener::bind(addr).map_err(start)?;
        let (tx, closed) = ClosedLinks::new();
        let counters = Arc::new(LinkCounters::default());
        let (streams, transits) = (Arc::<Streams>::default(), Arc::<Transits>::default());
        let dial = TcpDial::new(&cfg, streams.clone(), transits.clone());
        let peers = Peers::new(cfg.clone(), dial, tx, counters.clone());
        let link = TcpLink {
            cfg,
            listener: Mutex::new(Some(listener)),
            accepting: Mutex::default(),
            ended: AtomicBool::new(false),
            peers,
            streams,
            transits,
            counters,
        };
        Ok((Arc::new(link), closed))
    }

    /// Starts the threads that hand what comes to `handler`.
    pub fn serve<H: LinkHandler>(self: &Arc<Self>, closed: ClosedLinks, handler: Arc<H>) {
        let Some(listener) = self.listener.lock().unwrap().take() else { return };
        let inbox = Arc::new(Inbox::new(handler.clone(), self.counters.clone()));
        let link = self.clone();
        let accepting = thread::Builder::new()
            .name("link-accept".into())
            .spawn(move || link.accept(&listener, &inbox))
            .expect("a thread can be started");
        *self.accepting.lock().unwrap() = Some(accepting);
        closed.handle(handler);
    }

    /// The counters.
    pub fn counters(&self) -> &LinkCounters {
        &self.counters
    }

    /// Whether something that was taken for sending has not been written to its connection yet.
    pub fn has_unsent(&self) -> bool {
        self.peers.has_unsent()
    }

    /// Closes the listener and all links, as a process that ends does.
    pub fn close(&self) {
        self.ended.store(true, Ordering::Release);
        self.peers.end();
        self.streams.close_all();
        drop(self.listener.lock().unwrap().take());
        let Some(accepting) = self.accepting.lock().unwrap().take() else { return };
        // Wakes the accepting thread, which holds the listener.
        let woken = TcpStream::connect_timeout(&self.cfg.me.addr, WAKE_TIMEOUT);
        if woken.is_ok() {
            let _ = accepting.join();
        }
    }

    fn accept<H: LinkHandler>(&self, listener: &TcpListener, inbox: &Arc<Inbox<H>>) {
        let senders = Arc::default();
        for stream in listener.incoming() {
            if self.ended.load(Ordering::Acquire) {
                return;
            }
            match stream {
                Ok(stream) => self.receive(stream, inbox, &senders),
                Err(_) => {
                    add(&self.counters.accept_errors, 1);
                    thread::sleep(ACCEPT_ERROR_PAUSE);
                }
            }
        }
    }

    fn receive<H: LinkHandler>(
        &self,
        stream: TcpStream,
        inbox: &Arc<Inbox<H>>,
        senders: &Arc<Senders>,
    ) {
        if self.streams.len() >= CONNECTIONS_A_PEER * self.cfg.max_peers {
            return add(&self.counters.accept_errors, 1);
        }
        let Some(stream) = self.streams.add(stream) else { return };
        let receiving = Receiving {
            stream,
            inbox: inbox.clone(),
            senders: senders.clone(),
            counters: self.counters.clone(),
            max_bytes: self.cfg.max_bytes,
            greeting_timeout: self.cfg.connect_timeout,
        };
        let thread = thread::Builder::new()
            .name("link-receive".into())
            .stack_size(RECEIVER_STACK_BYTES)
            .spawn(move || receiving.run());
        if thread.is_err() {
            add(&self.counters.accept_errors, 1);
        }
    }
}

/// Connections between two peers: one for each direction.
const CONNECTIONS_A_PEER: usize = 2;

impl Link for TcpLink {
    fn send_all(&self, to: Peer, messages: Vec<Message>) -> Result<(), LinkError> {
        self.peers.send(to, messages)
    }

    fn transits(&self) -> Vec<(SocketAddr, Duration)> {
        self.transits.estimates()
    }
}
