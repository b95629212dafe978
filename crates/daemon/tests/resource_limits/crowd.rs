//! A crowd of clients, each on a thread of its own, that open again when they are cut off.

use crate::gateway_process::wait_for;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Pause before a client that was cut off opens again.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);
/// How often a client that holds its connection looks whether it is to end.
const HOLD_TICK: Duration = Duration::from_millis(100);

/// Clients that run a script again and again. Dropping the crowd closes all their connections.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    placed: Arc<AtomicUsize>,
    clients: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts clients. Each opens a connection, runs the script on it, and keeps it open until the gateway closes it; then
    /// it begins again.
    pub fn start(
        addr: SocketAddr,
        clients: usize,
        script: impl Fn(&mut TcpStream) -> io::Result<()> + Clone + Send + 'static,
    ) -> Crowd {
        let (stop, placed) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let start = |_| {
            let client = Client { addr, stop: Arc::clone(&stop), placed: Arc::clone(&placed) };
            let script = script.clone();
            thread::spawn(move || client.run(script))
        };
        let threads = (0..clients).map(start).collect();
        Crowd { stop, placed, clients: threads }
    }

    /// Waits until each client has run its script once, or was cut off within it.
    pub fn wait_placed(&self) {
        let clients = self.clients.len();
        wait_for("the crowd", || self.placed.load(Ordering::SeqCst) >= clients);
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            // A client that panicked has printed why, and fails nothing by itself.
            let _ = client.join();
        }
    }
}

struct Client {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    placed: Arc<AtomicUsize>,
}

impl Client {
    fn run(self, script: impl Fn(&mut TcpStream) -> io::Result<()>) {
        let mut is_placed = false;
        while !self.stop.load(Ordering::SeqCst) {
            let stream = crate::request::open(self.addr);
            // A client that is refused or cut off counts as placed too.
            let held = stream.and_then(|mut stream| script(&mut stream).map(|()| stream));
            if !is_placed {
                is_placed = true;
                self.placed.fetch_add(1, Ordering::SeqCst);
            }
            if let Ok(stream) = held {
                self.hold(stream);
            }
            thread::sleep(REOPEN_PAUSE);
        }
    }

    /// Keeps the connection open until the gateway closes it.
    fn hold(&self, mut stream: TcpStream) {
        let mut buf = [0; 4096];
        if stream.set_read_timeout(Some(HOLD_TICK)).is_err() {
            return;
        }
        while !self.stop.load(Ordering::SeqCst) {
            match stream.read(&mut buf) {
                Ok(0) => return,
                Ok(_) => {}
                Err(err)
                    if matches!(
                        err.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) => {}
                Err(_) => return,
            }
        }
    }
}
