//! Links of both kinds: the same tests for each.

mod common;

use common::{Node, WAIT, free_addr, message, new_peer, wait_until};
use sorrellock_core::request::Peer;
use sorrellock_stand_ins::{FakeProxy, new_ip};
use sorrellock_wire::connection::{Link, LinkConfig, LinkError, LinkKind};
use sorrellock_wire::message::{CallMessage, CallRequest, Message};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// A peer behind a proxy, as others know it.
fn behind_proxy(node: &Node) -> (Peer, FakeProxy) {
    let proxy = FakeProxy::start(new_ip(), node.me.addr).expect("a proxy");
    (Peer { addr: proxy.addr(), ..node.me }, proxy)
}

/// A connection stays open and goes silent, without a reset, while new ones work: nothing that is sent on it arrives, and
/// only acknowledgements that don't come show it. Over nng nothing is acknowledged.
#[test]
fn a_connection_that_went_silent_is_given_up_told_and_made_anew() {
    let (a, b) = (Node::start(LinkKind::Tcp), Node::start(LinkKind::Tcp));
    let (peer, proxy) = behind_proxy(&b);
    a.reach_at(peer, &b, 1);

    proxy.silence_open();
    a.reach_at(peer, &b, 2);

    assert_eq!(a.closed.recv_timeout(WAIT), Ok(peer.addr));
    assert_eq!(a.counter("silent"), 1);
}

/// Each connection that went silent stays open at its far end, which never hears of its end: the room for connections would be
/// used up after a while, and the peer be refused.
#[test]
fn connections_that_go_silent_one_after_the_other_take_no_room_at_the_receiver() {
    let mut sender = LinkConfig::new(new_peer());
    sender.silence = Duration::from_millis(200);
    let mut receiver = LinkConfig::new(new_peer());
    receiver.max_peers = 1;
    let (a, b) = (Node::start_as(sender), Node::start_as(receiver));
    let (peer, proxy) = behind_proxy(&b);

    for number in 0..4 {
        a.reach_at(peer, &b, number);
        proxy.silence_open();
    }

    assert_eq!(b.counter("accept_errors"), 0);
}

macro_rules! both_kinds {
    ($($test:ident,)*) => {
        mod nng {
            $(#[test] fn $test() { super::$test(super::LinkKind::Nng) })*
        }
        mod tcp {
            $(#[test] fn $test() { super::$test(super::LinkKind::Tcp) })*
        }
    };
}

both_kinds! {
    messages_to_one_peer_arrive_in_order,
    messages_of_many_threads_all_arrive,
    a_peer_that_ends_is_told_at_once,
    a_peer_that_was_never_there_is_told,
    peers_that_are_reported_as_unreachable_refuse_the_next_message,
    a_full_queue_refuses_and_counts,
    a_peer_that_restarts_under_its_address_is_reached_again,
    a_frozen_receiver_does_not_block_sends_to_others,
    an_oversize_envelope_is_not_taken_and_the_process_goes_on,
    a_foreign_connection_is_dropped_and_the_process_goes_on,
    too_many_peers_are_refused,
    an_idle_connection_closes_quietly_and_opens_again,
}

fn messages_to_one_peer_arrive_in_order(kind: LinkKind) {
    let (a, b) = (Node::start(kind), Node::start(kind));

    (0..5_000).for_each(|number| a.send(b.me, number).unwrap());

    (0..5_000).for_each(|number| assert_eq!(b.next(), number));
}

fn messages_of_many_threads_all_arrive(kind: LinkKind) {
    let (a, b) = (Node::start(kind), Node::start(kind));

    std::thread::scope(|scope| {
        for thread in 0..4 {
            let (a, to) = (&a, b.me);
            scope.spawn(move || (0..500).for_each(|n| a.send(to, thread * 500 + n).unwrap()));
        }
    });

    let mut numbers: Vec<u64> = (0..2_000).map(|_| b.next()).collect();
    let of_thread = |thread: u64| numbers.iter().copied().filter(move |n| n / 500 == thread);
    (0..4).for_each(|thread| assert!(of_thread(thread).is_sorted()));
    numbers.sort();
    assert!(numbers.into_iter().eq(0..2_000));
}

fn a_peer_that_ends_is_told_at_once(kind: LinkKind) {
    let (a, b) = (Node::start(kind), Node::start(kind));
    a.reach(&b, 1);

    b.link.close();

    let told = a.closed.recv_timeout(WAIT);
    assert_eq!(told, Ok(b.me.addr));
}

fn a_peer_that_was_never_there_is_told(kind: LinkKind) {
    let (a, nobody) = (Node::start(kind), new_peer());

    a.send(nobody, 1).unwrap();
    let told = a.closed.recv_timeout(WAIT);
    let refused = (0..1_000).find_map(|number| a.send(nobody, number).err());

    assert_eq!(told, Ok(nobody.addr));
    assert_eq!(refused, Some(LinkError::Down { peer: nobody.addr }));
    assert_eq!(a.counter("messages_sent"), 0);
    a.wait_for("messages_lost", 1);
}

fn peers_that_are_reported_as_unreachable_refuse_the_next_message(kind: LinkKind) {
    let a = Node::start(kind);

    for _ in 0..300 {
        let nobody = Peer { addr: (new_ip(), 9).into(), incarnation: 1 };
        a.send(nobody, 1).unwrap();
        assert_eq!(a.closed.recv_timeout(WAIT), Ok(nobody.addr));

        let next = a.send(nobody, 2);

        assert_eq!(next, Err(LinkError::Down { peer: nobody.addr }));
    }
}

fn a_full_queue_refuses_and_counts(kind: LinkKind) {
    let frozen = TcpListener::bind(free_addr()).unwrap();
    let to = Peer { addr: frozen.local_addr().unwrap(), incarnation: 0 };
    let a = Node::start_as(LinkConfig::new(new_peer()).with_kind(kind).with_queue(4));

    let results: Vec<_> = (0..100).map(|number| a.send(to, number)).collect();

    let refused = results.iter().filter(|result| result.is_err()).count();
    assert!(results.contains(&Err(LinkError::Full { peer: to.addr })));
    assert_eq!(a.counter("refused_full"), refused as u64);
}

fn a_peer_that_restarts_under_its_address_is_reached_again(kind: LinkKind) {
    let (a, b) = (Node::start(kind), Node::start(kind));
    a.reach(&b, 1);
    let addr = b.me.addr;
    drop(b);
    a.closed.recv_timeout(WAIT).unwrap();

    let cfg = LinkConfig::new(Peer { addr, incarnation: 4711 }).with_kind(kind);
    let b = Node::start_as(cfg);
    a.reach(&b, 2);
    a.send(b.me, 3).unwrap();

    let (from, to, number) = b.messages.recv_timeout(WAIT).unwrap();
    assert_eq!((from, to, number), (a.me, 4711, 3));
}

fn a_frozen_receiver_does_not_block_sends_to_others(kind: LinkKind) {
    let frozen = TcpListener::bind(free_addr()).unwrap();
    let to = Peer { addr: frozen.local_addr().unwrap(), incarnation: 0 };
    let (a, b) = (Node::start(kind), Node::start(kind));

    for number in 0..200 {
        let _ = a.link.send(to, large_message(64 << 10));
        a.send(b.me, number).unwrap();
    }

    (0..200).for_each(|number| assert_eq!(b.next(), number));
}

fn an_oversize_envelope_is_not_taken_and_the_process_goes_on(kind: LinkKind) {
    let cfg = LinkConfig::new(new_peer()).with_kind(kind).with_max_bytes(64 << 10);
    let (a, b, c) = (Node::start(kind), Node::start_as(cfg), Node::start(kind));

    a.link.send(b.me, large_message(128 << 10)).unwrap();
    c.reach(&b, 1);
    a.reach(&b, 2);

    assert_eq!(b.messages.try_recv().ok(), None);
    assert_eq!(a.closed.recv_timeout(WAIT), Ok(b.me.addr));
}

fn a_foreign_connection_is_dropped_and_the_process_goes_on(kind: LinkKind) {
    let (a, b) = (Node::start(kind), Node::start(kind));

    let mut foreign = TcpStream::connect(b.me.addr).unwrap();
    foreign.write_all(b"GET / HTTP/1.1\r\nHost: somewhere-else\r\n\r\n").unwrap();
    foreign.set_read_timeout(Some(WAIT)).unwrap();
    let ended = foreign.read_to_end(&mut Vec::new());
    a.reach(&b, 1);

    assert!(!ended.is_err_and(|err| err.kind() == std::io::ErrorKind::WouldBlock));
}

fn too_many_peers_are_refused(kind: LinkKind) {
    let mut cfg = LinkConfig::new(new_peer()).with_kind(kind);
    cfg.max_peers = 1;
    let (a, b, c) = (Node::start_as(cfg), Node::start(kind), Node::start(kind));
    a.reach(&b, 1);

    let refused = a.send(c.me, 2);

    assert_eq!(refused, Err(LinkError::TooManyPeers { peer: c.me.addr }));
}

fn an_idle_connection_closes_quietly_and_opens_again(kind: LinkKind) {
    let cfg = LinkConfig::new(new_peer()).with_kind(kind).with_idle(Duration::from_millis(50));
    let (a, b) = (Node::start_as(cfg), Node::start(kind));
    a.reach(&b, 1);

    std::thread::sleep(Duration::from_millis(300));
    a.reach(&b, 2);

    assert_eq!(a.closed.try_recv().ok(), None);
    assert_eq!(a.counter("closed"), 0);
}

#[test]
fn a_truncated_or_corrupt_frame_is_counted_and_its_connection_dropped() {
    let (a, b) = (Node::start(LinkKind::Tcp), Node::start(LinkKind::Tcp));
    a.reach(&b, 1);

    let mut greeting = [0; 8];
    let mut corrupt = greet(&b, &mut greeting);
    corrupt.write_all(&[3, 0, 0, 0, 0, 0, 0, 0, 255, 255, 255]).unwrap();
    let dropped = corrupt.read_to_end(&mut Vec::new());
    let mut truncated = greet(&b, &mut greeting);
    truncated.write_all(&[9, 0, 0, 0, 0, 0, 0, 0, 1]).unwrap();
    drop(truncated);
    let mut oversize = greet(&b, &mut greeting);
    oversize.write_all(&[255, 255, 255, 255, 0, 0, 0, 0]).unwrap();
    let cut = oversize.read_to_end(&mut Vec::new());
    a.reach(&b, 2);

    assert!(dropped.is_ok_and(|bytes| bytes == 0));
    assert!(cut.is_ok_and(|bytes| bytes == 0));
    b.wait_for("malformed", 2);
}

#[test]
fn transit_is_measured_on_the_messages_that_flow() {
    let (a, b) = (Node::start(LinkKind::Tcp), Node::start(LinkKind::Tcp));

    a.reach(&b, 1);

    let known = || a.link.transits().iter().any(|(peer, _)| *peer == b.me.addr);
    wait_until("a transit to the peer", known);
    b.link.close();
    a.closed.recv_timeout(WAIT).unwrap();
    let _ = a.link.send(b.me, message(2));
    wait_until("the peer is forgotten", || !known());
}

/// A connection that has greeted as a peer does; `buf` takes the greeting that came back.
fn greet(node: &Node, buf: &mut [u8; 8]) -> TcpStream {
    let mut stream = TcpStream::connect(node.me.addr).unwrap();
    stream.set_read_timeout(Some(WAIT)).unwrap();
    stream.write_all(b"srlock\x01\x00").unwrap();
    stream.read_exact(buf).unwrap();
    stream
}

fn large_message(bytes: usize) -> Message {
    Message::Call(CallMessage::Request(CallRequest {
        request: sorrellock_core::request::RequestKey { entry: 1, sequence: 1 },
        attempt: 1,
        endpoint: "ledger-1".into(),
        method: "POST".into(),
        path: "/".into(),
        content_type: None,
        idempotency_key: None,
        body: vec![7; bytes],
        deadline_ms: 1_000,
        priority: 0,
    }))
}
