//! The runtime that accepts connections and serves them.

use crate::connection::{Callers, Connection, ConnectionCx};
use crate::process::{Counters, Phase, ServerConfig, count};
use crate::request::Request;
use crossbeam::channel::Sender;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Connections that the system holds ready while the listener is busy.
const LISTEN_BACKLOG: u32 = 1_024;
/// Receive buffer of a caller's connection, which its accepted sockets inherit.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Pause after a failed accept, as when the process has too many open files.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A bound socket and the runtime that will serve it.
pub(crate) struct Listener {
    runtime: Runtime,
    socket: TcpListener,
    addr: SocketAddr,
    cx: Arc<ConnectionCx>,
    phase: watch::Receiver<Phase>,
}

impl Listener {
    pub(crate) fn bind(
        cfg: ServerConfig,
        counters: Arc<Counters>,
        requests: Sender<Request>,
        phase: watch::Receiver<Phase>,
    ) -> io::Result<Listener> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let socket = {
            let _guard = runtime.enter();
            listen_for_callers(cfg.addr)?
        };
        let addr = socket.local_addr()?;
        let callers = Callers::new(cfg.caller_bounds());
        let cx = Arc::new(ConnectionCx { cfg, counters, requests, callers });
        Ok(Listener { runtime, socket, addr, cx, phase })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Serves until the server is told to end.
    pub(crate) fn run(self) {
        let Listener { runtime, socket, cx, phase, .. } = self;
        runtime.block_on(async {
            accept_all(socket, &cx, phase.clone()).await;
            drain(&cx, phase).await;
        });
        // Breaks what is left, even if a task is stuck in a hook.
        runtime.shutdown_background();
    }
}

/// Binds a listener within a runtime; an address that was just in use is taken at once.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    new_socket(addr)?.listen(LISTEN_BACKLOG)
}

/// Binds a listener for callers, whose connections hold a bounded number of bytes that the process has not read.
pub fn listen_for_callers(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = new_socket(addr)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.listen(LISTEN_BACKLOG)
}

fn new_socket(addr: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    Ok(socket)
}

async fn accept_all(
    socket: TcpListener,
    cx: &Arc<ConnectionCx>,
    mut phase: watch::Receiver<Phase>,
) {
    loop {
        if *phase.borrow_and_update() >= Phase::NotAccepting {
            return;
        }
        match accept_or_change(&socket, &mut phase).await {
            Some(Ok((stream, peer))) => admit(stream, peer, cx, &phase),
            Some(Err(_)) => {
                count(&cx.counters.accept_errors);
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
            None => {}
        }
    }
}

/// The next connection, or nothing if the phase changed first.
async fn accept_or_change(
    socket: &TcpListener,
    phase: &mut watch::Receiver<Phase>,
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    let mut changed = pin!(phase.changed());
    poll_fn(|cx| {
        if changed.as_mut().poll(cx).is_ready() {
            return Poll::Ready(None);
        }
        socket.poll_accept(cx).map(Some)
    })
    .await
}

fn admit(
    stream: TcpStream,
    peer: SocketAddr,
    cx: &Arc<ConnectionCx>,
    phase: &watch::Receiver<Phase>,
) {
    let Some(slot) = cx.callers.open() else {
        count(&cx.counters.refused);
        return;
    };
    count(&cx.counters.accepted);
    // A caller that has gone already shows at the first read.
    let _ = stream.set_nodelay(true);
    let open = OpenGuard::new(&cx.counters);
    let connection = Connection::new(Arc::clone(cx), peer, slot, phase.clone());
    tokio::spawn(async move {
        connection.serve(stream).await;
        drop(open);
    });
}

/// Waits until all connections are closed, or the server may wait no longer.
async fn drain(cx: &Arc<ConnectionCx>, mut phase: watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
    let closed = async {
        while cx.counters.open.load(Ordering::Relaxed) > 0 {
            sleep(DRAIN_POLL).await;
        }
    };
    let aborted = phase.wait_for(|phase| *phase >= Phase::Aborted);
    let mut closed = pin!(timeout(cx.cfg.drain_timeout, closed));
    let mut aborted = pin!(aborted);
    poll_fn(|cx| {
        let done = aborted.as_mut().poll(cx).is_ready() || closed.as_mut().poll(cx).is_ready();
        if done { Poll::Ready(()) } else { Poll::Pending }
    })
    .await;
}

/// How often a shutdown looks whether all connections are closed.
const DRAIN_POLL: Duration = Duration::from_millis(2);

/// Counts one connection as open while it lives.
struct OpenGuard {
    counters: Arc<Counters>,
}

impl OpenGuard {
    fn new(counters: &Arc<Counters>) -> OpenGuard {
        count(&counters.open);
        OpenGuard { counters: Arc::clone(counters) }
    }

    fn open(&self) -> &AtomicU64 {
        &self.counters.open
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open().fetch_sub(1, Ordering::Relaxed);
    }
}
