//! The dialling side of a TCP connection: it sends frames, and reads acknowledgements.

use crate::connection::LinkConfig;
use crate::connection::closed_links::ClosedNote;
use crate::connection::dial::{Carry, Dial};
use crate::connection::frame::{greet, read_greeting, write_frame};
use crate::connection::streams::{OpenStream, Streams};
use crate::connection::transit::{Transit, Transits};
use crate::connection::writer::Written;
use nix::errno::Errno;
use nix::sys::socket::{MsgFlags, send};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Stack of the thread that reads acknowledgements.
const ACK_STACK_BYTES: usize = 64 << 10;
/// Capacity that a frame's buffer keeps between frames.
const KEPT_BYTES: usize = 64 << 10;

/// Dials TCP connections.
#[derive(Clone)]
pub(crate) struct TcpDial {
    connect_timeout: Duration,
    send_timeout: Duration,
    silence: Duration,
    streams: Arc<Streams>,
    transits: Arc<Transits>,
}

impl TcpDial {
    pub fn new(cfg: &LinkConfig, streams: Arc<Streams>, transits: Arc<Transits>) -> TcpDial {
        let (connect_timeout, send_timeout) = (cfg.connect_timeout, cfg.send_timeout);
        TcpDial { connect_timeout, send_timeout, silence: cfg.silence, streams, transits }
    }

    fn connect(&self, peer: SocketAddr, note: ClosedNote) -> io::Result<TcpConnection> {
        let stream = TcpStream::connect_timeout(&peer, self.connect_timeout)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(self.send_timeout))?;
        stream.set_read_timeout(Some(self.connect_timeout))?;
        greet(&stream)?;
        read_greeting(&stream)?;
        stream.set_read_timeout(None)?;
        let stream = self.streams.add(stream).ok_or(io::ErrorKind::NotConnected)?;
        let transit = self.transits.of(peer);
        read_acks(stream.clone(), transit.clone(), note)?;
        Ok(TcpConnection {
            peer,
            stream,
            transit,
            transits: self.transits.clone(),
            silence: self.silence,
            frame: Vec::new(),
            written: 0,
        })
    }
}

impl Dial for TcpDial {
    type Connection = TcpConnection;

    fn dial(&self, peer: SocketAddr, note: ClosedNote) -> Option<TcpConnection> {
        self.connect(peer, note).ok()
    }
}

/// A connection to one peer, for sending.
pub(crate) struct TcpConnection {
    peer: SocketAddr,
    stream: Arc<OpenStream>,
    transit: Arc<Transit>,
    transits: Arc<Transits>,
    /// The longest time without an acknowledgement that was asked for.
    silence: Duration,
    frame: Vec<u8>,
    /// How much of the frame is written.
    written: usize,
}

impl TcpConnection {
    fn write_frame(&mut self, envelope: &[u8]) {
        let ack = self.transit.ask(envelope.len(), Instant::now());
        write_frame(&mut self.frame, envelope, ack);
        self.written = 0;
    }

    fn rest(&self) -> &[u8] {
        &self.frame[self.written..]
    }

    fn clear(&mut self) {
        self.frame.clear();
        self.frame.shrink_to(KEPT_BYTES);
        self.written = 0;
    }
}

impl Carry for TcpConnection {
    const SENDS_NOW: bool = true;

    fn send(&mut self, envelope: &[u8]) -> bool {
        if !self.send_rest() {
            return false;
        }
        self.write_frame(envelope);
        self.send_rest()
    }

    fn send_now(&mut self, envelope: &[u8]) -> Written {
        self.write_frame(envelope);
        let fd = self.stream.get().as_raw_fd();
        match send(fd, &self.frame, MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_NOSIGNAL) {
            Ok(written) if written == self.frame.len() => {
                self.clear();
                Written::Whole
            }
            Ok(written) => {
                self.written = written;
                Written::Part
            }
            Err(Errno::EAGAIN | Errno::EINTR) => Written::Part,
            Err(_) => Written::Failed,
        }
    }

    fn send_rest(&mut self) -> bool {
        let sent = self.stream.get().write_all(self.rest()).is_ok();
        self.clear();
        sent
    }

    fn has_rest(&self) -> bool {
        !self.rest().is_empty()
    }

    fn is_silent(&self) -> bool {
        self.transit.unanswered_for(Instant::now()) >= self.silence
    }
}

impl Drop for TcpConnection {
    fn drop(&mut self) {
        self.stream.shut();
        self.transits.forget(self.peer);
    }
}

/// Starts the thread that reads acknowledgements, and so sees at once when the peer closes.
fn read_acks(stream: Arc<OpenStream>, transit: Arc<Transit>, note: ClosedNote) -> io::Result<()> {
    let body = move || {
        let mut buf = [0; 4];
        while stream.get().read_exact(&mut buf).is_ok() {
            transit.acknowledged(u32::from_le_bytes(buf), Instant::now());
        }
        stream.shut();
        transit.reset();
        note.tell();
    };
    let thread = thread::Builder::new().name("link-acks".into()).stack_size(ACK_STACK_BYTES);
    thread.spawn(body).map(|_| ())
}
