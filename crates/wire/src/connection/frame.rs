//! How envelopes, acknowledgements and handshakes stand on a TCP connection.
//!
//! The dialling side sends [`GREETING`] and the format number, and gets the same back; then it
//! sends frames: length and acknowledgement number (0: none wanted), four bytes each, and the
//! envelope. The other side answers each number that is not 0 with the same four bytes.

use crate::message::FORMAT;
use std::io::{self, ErrorKind, Read, Write};

/// The first bytes of a connection, in both directions.
const GREETING: [u8; 6] = *b"srlock";
/// Bytes before an envelope.
pub(crate) const HEAD_BYTES: usize = 8;

/// Number of an acknowledgement; 0 means none.
pub(crate) type AckNumber = u32;

/// Writes a greeting with the format number of this process.
pub(crate) fn greet(mut stream: impl Write) -> io::Result<()> {
    let mut buf = GREETING.to_vec();
    buf.extend_from_slice(&FORMAT.to_le_bytes());
    stream.write_all(&buf)
}

/// Reads a greeting; an error if it is foreign or of another format.
pub(crate) fn read_greeting(mut stream: impl Read) -> io::Result<()> {
    let mut buf = [0; GREETING.len() + 2];
    stream.read_exact(&mut buf)?;
    let (greeting, format) = buf.split_at(GREETING.len());
    if greeting != GREETING || format != FORMAT.to_le_bytes() {
        return Err(io::Error::new(ErrorKind::InvalidData, "not a peer of this format"));
    }
    Ok(())
}

/// Writes a frame into `buf`, in place of what was there.
pub(crate) fn write_frame(buf: &mut Vec<u8>, envelope: &[u8], ack: AckNumber) {
    buf.clear();
    buf.extend_from_slice(&(envelope.len() as u32).to_le_bytes());
    buf.extend_from_slice(&ack.to_le_bytes());
    buf.extend_from_slice(envelope);
}

/// Reads a frame into `buf`, and gives the acknowledgement wanted. A frame longer than `max_bytes`
/// is `InvalidData`; memory is taken only as bytes arrive.
pub(crate) fn read_frame(
    mut stream: impl Read,
    buf: &mut Vec<u8>,
    max_bytes: usize,
) -> io::Result<AckNumber> {
    let mut head = [0; HEAD_BYTES];
    stream.read_exact(&mut head)?;
    let (len, ack) = head.split_at(4);
    let len = u32::from_le_bytes(len.try_into().expect("four bytes were taken")) as usize;
    let ack = u32::from_le_bytes(ack.try_into().expect("four bytes were taken"));
    if len > max_bytes {
        return Err(io::Error::new(ErrorKind::InvalidData, "the frame is too large"));
    }
    buf.clear();
    if stream.take(len as u64).read_to_end(buf)? < len {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(ack)
}
