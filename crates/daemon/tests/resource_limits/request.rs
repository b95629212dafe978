//! Requests as bytes, whole and in parts.

use crate::fleet::{HOST, KEY, new_request};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a client waits for the gateway to read or write.
const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// How the length of a body is announced.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// `Content-Length` with this many bytes.
    Length(usize),
    /// Chunks, each with its length.
    Chunked,
}

/// Opens a connection whose reads and writes end after [`IO_TIMEOUT`].
pub fn open(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&addr, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// The head of a call, with the id of its request.
pub fn head(framing: Framing) -> (String, Vec<u8>) {
    let id = new_request();
    let framing = match framing {
        Framing::Length(bytes) => format!("content-length: {bytes}"),
        Framing::Chunked => "transfer-encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST /status/a HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 30000\r\n\
         authorization: Bearer {KEY}\r\n{framing}\r\n\r\n"
    );
    (id, head.into_bytes())
}

/// One chunk of a chunked body.
pub fn chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// An answer as far as these tests read it.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Reads an answer whose body has a length. The connection may stay open.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut buf = Vec::new();
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        read_some(stream, &mut buf)?;
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).to_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status"))?;
    let len = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let len: usize = len.and_then(|len| len.trim().parse().ok()).unwrap_or(0);
    while buf.len() < head_end + len {
        read_some(stream, &mut buf)?;
    }
    Ok(Answer { status, body: buf[head_end..head_end + len].to_vec() })
}

fn read_some(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<()> {
    let mut part = [0; 16 << 10];
    match stream.read(&mut part)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        len => {
            buf.extend_from_slice(&part[..len]);
            Ok(())
        }
    }
}

/// Sends a whole call with a body, and reads its answer.
pub fn call(addr: SocketAddr, body: &[u8]) -> io::Result<(String, Answer)> {
    let mut stream = open(addr)?;
    let (id, head) = head(Framing::Length(body.len()));
    stream.write_all(&head)?;
    // A refusal may come before the whole body is sent.
    let sent = stream.write_all(body);
    let answer = read_answer(&mut stream);
    if answer.is_err() {
        sent?;
    }
    Ok((id, answer?))
}
