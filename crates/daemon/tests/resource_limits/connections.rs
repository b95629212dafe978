//! Callers open many connections and send nothing, unfinished heads, or more than is read.
//!
//! What the operator saw: a gateway had no descriptors left, so that it could neither accept callers nor reach endpoints.

use crate::crowd::Crowd;
use crate::request::{Framing, head};
use crate::small_machine::{MAX_HEAD_BYTES, SmallMachine};
use sorrellock_stand_ins::ServiceMode;
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Number of clients, more than the machine has descriptors.
const CLIENTS: usize = 700;
/// Number of clients that send a request that is served slowly, each with a connection to the endpoint.
const CALLING_CLIENTS: usize = 450;
/// Number of clients that send more than is read.
const PIPELINING_CLIENTS: usize = 150;
/// Time that the endpoint takes for a slow answer.
const SLOW: Duration = Duration::from_secs(2);
/// What a client sends behind its request, in bytes.
const BEHIND: usize = 1 << 20;

#[test]
fn connections_on_which_nothing_is_sent() {
    let mut machine = SmallMachine::start();

    let crowd = Crowd::start(machine.gateway.callers(), CLIENTS, |_| Ok(()));

    machine.bear(crowd);
}

#[test]
fn heads_that_never_end() {
    let mut machine = SmallMachine::start();

    let crowd = Crowd::start(machine.gateway.callers(), CLIENTS, |stream| {
        let (_, mut head) = head(Framing::Length(0));
        head.truncate(head.len() - 2);
        head.extend_from_slice(b"x-padding: ");
        head.resize(MAX_HEAD_BYTES - 1, b'x');
        stream.write_all(&head)
    });

    machine.bear(crowd);
}

#[test]
fn calls_that_wait_for_their_endpoint() {
    let mut machine = SmallMachine::start();
    machine.fleet.service.set_mode(ServiceMode::ServesAfter(SLOW));

    let crowd = Crowd::start(machine.gateway.callers(), CALLING_CLIENTS, send_call);

    machine.bear(crowd);
}

fn send_call(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&head(Framing::Length(0)).1)
}

#[test]
fn bytes_behind_a_request_that_is_being_served() {
    let mut machine = SmallMachine::start();
    machine.fleet.service.set_mode(ServiceMode::ServesAfter(SLOW));

    let crowd = Crowd::start(machine.gateway.callers(), PIPELINING_CLIENTS, |stream| {
        send_call(stream)?;
        // The rest waits until the gateway reads it.
        stream.set_nonblocking(true)?;
        let sent = stream.write(&[b'x'; BEHIND]);
        stream.set_nonblocking(false)?;
        sent.map(|_| ())
    });

    machine.bear(crowd);
}
