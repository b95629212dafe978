//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line: a request line or a status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a parameter in the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    fn need(&mut self, len: usize) -> io::Result<()> {
        while self.buf.len() < len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        while self.buf.is_empty() {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        let mut message = Message { first: self.line()?, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads the body of a message, calling `on_data` as its parts come. Returns whether it came to its end in order.
    pub fn body(
        &mut self,
        head: &Message,
        is_answer: bool,
        mut on_data: impl FnMut(&[u8]),
    ) -> io::Result<()> {
        if head.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or_default().trim().to_owned();
                let len = usize::from_str_radix(&size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                self.need(len + 2)?;
                on_data(&self.buf[..len]);
                self.buf.drain(..len + 2);
                if len == 0 {
                    return Ok(());
                }
            }
        }
        if let Some(len) = head.header("content-length").and_then(|len| len.parse::<usize>().ok()) {
            self.need(len)?;
            on_data(&self.buf[..len]);
            self.buf.drain(..len);
            return Ok(());
        }
        if is_answer && !matches!(head.status(), 100..=199 | 204 | 304) {
            loop {
                on_data(&self.buf);
                self.buf.clear();
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
        }
        Ok(())
    }
}

/// What a server does with a request. `None` closes the connection.
pub type Handler = dyn Fn(Message, &mut TcpStream) -> Option<()> + Send + Sync;

/// A server that can be shut off, which resets nothing that is written but closes its listener and its connections.
pub struct Server {
    pub addr: SocketAddr,
    is_off: Arc<AtomicBool>,
}

impl Server {
    pub fn start(addr: SocketAddr, handler: Arc<Handler>) -> io::Result<Server> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let is_off = Arc::new(AtomicBool::new(false));
        let off = Arc::clone(&is_off);
        thread::spawn(move || {
            let mut open: Vec<TcpStream> = Vec::new();
            while !off.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(kept) = stream.try_clone() {
                            open.push(kept);
                        }
                        let handler = Arc::clone(&handler);
                        thread::spawn(move || serve(stream, &*handler));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            for stream in open {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        });
        Ok(Server { addr, is_off })
    }

    pub fn shut_off(&self) {
        self.is_off.store(true, Ordering::SeqCst);
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut out) = stream.try_clone() else { return };
    let mut reader = Reader::new(stream);
    while let Ok(Some(mut req)) = reader.head() {
        let mut body = Vec::new();
        if reader.body(&req, false, |data| body.extend_from_slice(data)).is_err() {
            return;
        }
        req.body = body;
        if handler(req, &mut out).is_none() {
            let _ = out.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}

/// Writes a whole answer.
pub fn answer(
    out: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    out.write_all(text.as_bytes()).ok()
}

/// How a request of a client ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// None where no head of an answer came.
    pub status: Option<u16>,
    pub head: Message,
    pub body: String,
    /// The answer came to its end in order.
    pub is_whole: bool,
    pub ms: u128,
}

/// Sends a request over a new connection and reads the answer, for at most `limit`.
pub fn request(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Outcome {
    let began = Instant::now();
    let mut outcome = Outcome {
        status: None,
        head: Message::default(),
        body: String::new(),
        is_whole: false,
        ms: 0,
    };
    let mut run = || -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        let mut text = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        text.push_str(body);
        stream.write_all(text.as_bytes())?;
        let mut reader = Reader::new(stream);
        let Some(head) = reader.head()? else { return Ok(()) };
        outcome.status = Some(head.status());
        outcome.head = head.clone();
        let mut got = Vec::new();
        let res = reader.body(&head, true, |data| got.extend_from_slice(data));
        outcome.body = String::from_utf8_lossy(&got).into_owned();
        outcome.is_whole = res.is_ok();
        Ok(())
    };
    let _ = run();
    outcome.ms = began.elapsed().as_millis();
    outcome
}
