//! Callers send bodies that are many, large, unfinished, in tiny pieces, or far over the limit.
//!
//! What the operator saw: a gateway ran out of memory and was ended by its platform.
//!
//! The order of events: callers send bodies of legal size all at once, and most stop just short of their end. Each connection
//! holds what it has received until the route's timeout; nothing bounds what all of them hold together.

use crate::crowd::Crowd;
use crate::fleet::{KEY, config};
use crate::request::{Answer, Framing, call, chunk, head};
use crate::small_machine::{MAX_BODY_BYTES, SmallMachine};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Number of clients whose bodies together are larger than the machine's memory.
const CLIENTS: usize = 150;
/// Number of clients that send bodies in chunks of one byte.
const SMALL_CHUNK_CLIENTS: usize = 60;
/// Number of such chunks that each sends.
const SMALL_CHUNKS: usize = 200_000;
/// Size of a large chunk, in bytes.
const LARGE_CHUNK: usize = 60_000;
/// Size of an announced body that is far over the limit, in bytes.
const FAR_TOO_LARGE: usize = 64 << 20;
/// Number of pieces of a body that comes piece by piece.
const PIECES: usize = 64;
/// Time between two of them.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// Announces a body of the largest legal size, and sends all but its last byte.
fn stop_short(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&head(Framing::Length(MAX_BODY_BYTES)).1)?;
    stream.write_all(&vec![b'x'; MAX_BODY_BYTES - 1])
}

/// The same, piece by piece.
fn stop_short_in_pieces(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&head(Framing::Length(MAX_BODY_BYTES)).1)?;
    for _ in 0..PIECES {
        stream.write_all(&vec![b'x'; (MAX_BODY_BYTES - 1) / PIECES])?;
        thread::sleep(PIECE_PAUSE);
    }
    Ok(())
}

/// Sends large chunks of a legal size together, without the last one.
fn stop_short_in_large_chunks(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&head(Framing::Chunked).1)?;
    let chunk = chunk(&[b'x'; LARGE_CHUNK]);
    (0..MAX_BODY_BYTES / LARGE_CHUNK).try_for_each(|_| stream.write_all(&chunk))
}

/// Sends chunks of one byte of a legal size together, without the last one.
fn stop_short_in_small_chunks(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&head(Framing::Chunked).1)?;
    stream.write_all(&chunk(b"x").repeat(SMALL_CHUNKS))
}

/// Announces a body far over the limit, and sends it on.
fn announce_too_much(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&head(Framing::Length(FAR_TOO_LARGE)).1)?;
    let part = vec![b'x'; MAX_BODY_BYTES];
    (0..FAR_TOO_LARGE / MAX_BODY_BYTES).try_for_each(|_| stream.write_all(&part))
}

/// Sends chunks without an end.
fn send_without_end(stream: &mut TcpStream) -> io::Result<()> {
    stream.write_all(&head(Framing::Chunked).1)?;
    let chunk = chunk(&[b'x'; LARGE_CHUNK]);
    (0..FAR_TOO_LARGE / LARGE_CHUNK).try_for_each(|_| stream.write_all(&chunk))
}

#[test]
fn bodies_that_stop_short_of_their_length() {
    let mut machine = SmallMachine::start();

    let crowd = Crowd::start(machine.gateway.callers(), CLIENTS, stop_short);

    machine.bear(crowd);
}

#[test]
fn bodies_in_pieces_that_stop_short_of_their_length() {
    let mut machine = SmallMachine::start();

    let crowd = Crowd::start(machine.gateway.callers(), CLIENTS, stop_short_in_pieces);

    machine.bear(crowd);
}

#[test]
fn bodies_in_large_chunks_that_stop_short() {
    let mut machine = SmallMachine::start();

    let crowd = Crowd::start(machine.gateway.callers(), CLIENTS, stop_short_in_large_chunks);

    machine.bear(crowd);
}

#[test]
fn bodies_in_chunks_of_one_byte_that_stop_short() {
    let mut machine = SmallMachine::start();
    let addr = machine.gateway.callers();

    let crowd = Crowd::start(addr, SMALL_CHUNK_CLIENTS, stop_short_in_small_chunks);

    machine.bear(crowd);
}

#[test]
fn bodies_that_are_announced_far_over_the_limit() {
    let mut machine = SmallMachine::start();

    let crowd = Crowd::start(machine.gateway.callers(), CLIENTS, announce_too_much);

    machine.bear(crowd);
}

#[test]
fn bodies_in_chunks_far_over_the_limit() {
    let mut machine = SmallMachine::start();

    let crowd = Crowd::start(machine.gateway.callers(), CLIENTS, send_without_end);

    machine.bear(crowd);
}

#[test]
fn bodies_of_all_kinds_at_once() {
    let mut machine = SmallMachine::start();
    let scripts = [
        stop_short,
        stop_short_in_pieces,
        stop_short_in_large_chunks,
        stop_short_in_small_chunks,
        announce_too_much,
        send_without_end,
    ];
    let next = Arc::new(Mutex::new(scripts.into_iter().cycle()));

    let crowd = Crowd::start(machine.gateway.callers(), CLIENTS, move |stream| {
        let script = next.lock().expect("no panic holds this lock").next();
        script.expect("the cycle has no end")(stream)
    });

    machine.bear(crowd);
}

#[test]
fn whole_bodies_again_and_again() {
    let mut machine = SmallMachine::start();
    let addr = machine.gateway.callers();
    let refused = Arc::new(Mutex::new(Vec::new()));
    let noted = Arc::clone(&refused);

    let crowd = Crowd::start(addr, CLIENTS, move |_| {
        let (id, answer) = call(addr, &vec![b'x'; MAX_BODY_BYTES])?;
        if promises_not_run(&answer) {
            noted.lock().expect("no panic holds this lock").push(id);
        }
        Err(io::ErrorKind::ConnectionReset.into())
    });
    machine.bear(crowd);

    let refused = refused.lock().expect("no panic holds this lock");
    let has_run = |id: &&String| machine.fleet.service.runs(id) > 0;
    assert_eq!(refused.iter().filter(has_run).count(), 0, "of {} refused", refused.len());
}

#[test]
fn a_configuration_with_larger_bodies_than_fit_is_logged_and_these_are_refused_at_once() {
    const TOO_LARGE: usize = 32 << 20;
    let machine = SmallMachine::start();
    let mut cfg = config(3, &[KEY]);
    cfg["limits"]["max_body_bytes"] = (2 * TOO_LARGE).into();
    machine.fleet.store.put("config", "main", cfg);
    machine.gateway.wait_for_line(&["\"configuration in force\"", "\"version\":3,"]);

    let (id, answer) = call(machine.gateway.callers(), &vec![b'x'; TOO_LARGE]).expect("an answer");

    assert_eq!(answer.status, 503);
    assert_eq!(machine.fleet.service.runs(&id), 0);
    machine.gateway.wait_for_line(&["bodies that this machine has no memory for"]);
}

/// Whether a status promises that the request has not run.
fn promises_not_run(answer: &Answer) -> bool {
    matches!(answer.status, 408 | 421 | 429 | 503)
}
