//! Foreign and truncated messages at the port for other daemons.

use crate::entry_fixture::{EntryFixture, wait_until};
use nng::{Protocol, Socket};
use sorrellock_core::request::{Peer, RequestKey};
use sorrellock_wire::message::{CallMessage, Envelope, FORMAT, Message};
use std::io::Write;
use std::net::TcpStream;

fn malformed(fixture: &EntryFixture) -> u64 {
    fixture.dump()["link"]["malformed"].as_u64().unwrap()
}

fn envelope(format: u16) -> Vec<u8> {
    let from = Peer { addr: "127.0.0.1:1".parse().unwrap(), incarnation: 7 };
    let request = RequestKey { entry: 1, sequence: 2 };
    let messages = vec![Message::Call(CallMessage::Cancel { request })];
    postcard::to_stdvec(&Envelope { format, from, to: 0, messages }).unwrap()
}

#[test]
fn foreign_and_truncated_messages_are_counted_and_the_entry_goes_on() {
    let fixture = EntryFixture::start();
    let peer = Socket::new(Protocol::Push0).unwrap();
    peer.dial(&format!("tcp://{}", fixture.link)).unwrap();
    let whole = envelope(FORMAT);
    let bad = [
        b"hello".to_vec(),
        Vec::new(),
        vec![0xff; 4096],
        whole[..whole.len() / 2].to_vec(),
        envelope(FORMAT + 1),
    ];

    for bytes in &bad {
        peer.send(nng::Message::from(bytes.as_slice())).unwrap();
    }

    wait_until("each is counted", || malformed(&fixture) == bad.len() as u64);
    assert!(fixture.is_ready());
}

#[test]
fn bytes_that_are_no_nng_close_only_their_own_connection() {
    let fixture = EntryFixture::start();

    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"\0SP\0\0\0\0\0", &[0xff; 64]] {
        let mut stream = TcpStream::connect(fixture.link).unwrap();
        let _ = stream.write_all(bytes);
    }

    let peer = Socket::new(Protocol::Push0).unwrap();
    peer.dial(&format!("tcp://{}", fixture.link)).unwrap();
    peer.send(nng::Message::from(&b"foreign"[..])).unwrap();
    wait_until("the port still reads", || malformed(&fixture) == 1);
    assert!(fixture.is_ready());
}
