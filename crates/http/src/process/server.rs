//! A running listener.

use crate::process::{Counters, Listener, ServerConfig, start_workers};
use crate::request::Request;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use tokio::sync::watch;

/// How far a listener is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Takes connections and requests.
    Running,
    /// Takes no new connections.
    NotAccepting,
    /// Closes each connection after the answer in progress.
    Draining,
    /// Breaks all connections.
    Aborted,
}

/// A running listener. Dropping it breaks its connections; call
/// [`shutdown`](Server::shutdown) first to end it in order.
pub struct Server {
    addr: SocketAddr,
    phase: watch::Sender<Phase>,
    counters: Arc<Counters>,
    listener: Mutex<Option<JoinHandle<()>>>,
}

impl Server {
    /// Listens, and calls `handler` on worker threads with each whole request.
    pub fn start<H>(cfg: ServerConfig, handler: H) -> io::Result<Server>
    where
        H: Fn(Request) + Send + Sync + 'static,
    {
        let counters = Arc::new(Counters::default());
        let requests = start_workers(&cfg, &counters, handler)?;
        let (phase, phase_rx) = watch::channel(Phase::Running);
        let name = format!("{}-listener", cfg.name);
        let listener = Listener::bind(cfg, Arc::clone(&counters), requests, phase_rx)?;
        let addr = listener.addr();
        let thread = thread::Builder::new().name(name).spawn(move || listener.run())?;
        Ok(Server { addr, phase, counters, listener: Mutex::new(Some(thread)) })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What it has counted.
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Takes no new connections; those open go on.
    pub fn stop_accepting(&self) {
        self.raise(Phase::NotAccepting);
    }

    /// Closes each connection after the answer in progress, and waits until all are closed or
    /// the drain timeout is over; those left then are broken.
    pub fn shutdown(&self) {
        self.raise(Phase::Draining);
        self.join();
    }

    /// Breaks all connections at once, and waits until they are closed.
    pub fn abort(&self) {
        self.raise(Phase::Aborted);
        self.join();
    }

    fn raise(&self, to: Phase) {
        self.phase.send_if_modified(|phase| {
            let raised = to > *phase;
            *phase = to.max(*phase);
            raised
        });
    }

    fn join(&self) {
        let Some(thread) = self.listener.lock().expect("no panic holds this lock").take() else {
            return;
        };
        // A hook that runs on the listener's own thread may drop the server.
        if thread.thread().id() != thread::current().id() {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.abort();
    }
}
