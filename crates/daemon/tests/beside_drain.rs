//! The end of a daemon beside endpoints: what it has answered is sent before it ends.

use crossbeam::channel::{Receiver, Sender, unbounded};
use sorrellock_core::id::Incarnation;
use sorrellock_core::request::{Peer, RequestKey};
use sorrellock_daemon::beside::process::{Beside, BesideSettings, ServiceEndpoint};
use sorrellock_fakes::{FakeService, ServiceConfig};
use sorrellock_wire::connection::{AnyLink, Link, LinkConfig, LinkHandler};
use sorrellock_wire::message::{CallEnd, CallMessage, CallRequest, Message};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a wait may take before the test fails.
const WAIT: Duration = Duration::from_secs(20);
/// More than a connection holds on its way: 36 MB.
const CALLS: u64 = 40;
const BODY_BYTES: usize = 900_000;
/// Less than a send may wait for room.
const READER_PAUSE: Duration = Duration::from_millis(500);

/// An entry that reads nothing more after the first answer, until it is told to.
struct SlowEntry {
    ends: Sender<CallEnd>,
    goes_on: Receiver<()>,
}

impl LinkHandler for SlowEntry {
    fn on_message(&self, _: Peer, _: Incarnation, message: Message) {
        if let Message::Call(CallMessage::End { end, .. }) = message {
            // The test may be over.
            let _ = self.ends.send(end);
            let _ = self.goes_on.recv();
        }
    }

    fn on_closed(&self, _: SocketAddr) {}
}

fn peer(incarnation: Incarnation) -> Peer {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    Peer { addr: listener.local_addr().expect("an address"), incarnation }
}

fn call(sequence: u64, entry: Incarnation) -> Message {
    Message::Call(CallMessage::Request(CallRequest {
        endpoint: "ledger-1".into(),
        method: "POST".into(),
        path: "/confirmations".into(),
        body: vec![b'x'; BODY_BYTES],
        deadline_ms: WAIT.as_millis() as u64,
        ..CallRequest::empty(RequestKey { entry, sequence })
    }))
}

fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + WAIT;
    while !holds() {
        assert!(Instant::now() < end, "{what} did not come to hold");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A daemon that is told to end has run all its calls, and their answers are too large for the connection: an entry that reads
/// slowly gets them all the same.
#[test]
fn answers_that_the_connection_has_not_taken_yet_are_sent_before_the_daemon_ends() {
    let service = FakeService::start(ServiceConfig::new(peer(0).addr)).expect("a service");
    let endpoint =
        ServiceEndpoint { id: "ledger-1".into(), service: "ledger".into(), addr: service.addr() };
    let settings = BesideSettings::new("pasila", peer(0).addr).with_linger(Duration::ZERO);
    let beside = Beside::start(settings.with_service(endpoint)).expect("the daemon");
    let me = peer(7);
    let (link, closed) = AnyLink::listen(LinkConfig::new(me)).expect("the entry's link");
    let ((ends, answers), (go_on, goes_on)) = (unbounded(), unbounded());
    link.serve(closed, Arc::new(SlowEntry { ends, goes_on }));
    for sequence in 1..=CALLS {
        link.send(beside.peer(), call(sequence, me.incarnation)).expect("it is taken");
    }
    wait_until("the run of all calls", || service.record().calls.len() as u64 == CALLS);
    wait_until("the end of all calls", || beside.open_work() == 0);

    let reader = thread::spawn(move || {
        thread::sleep(READER_PAUSE);
        // From here on it reads without a stop.
        drop(go_on);
    });
    let has_drained = beside.drain(WAIT);
    beside.stop();

    reader.join().expect("no panic");
    assert!(has_drained);
    let answers: Vec<CallEnd> =
        (0..CALLS).map_while(|_| answers.recv_timeout(Duration::from_secs(2)).ok()).collect();
    assert_eq!(answers.len() as u64, CALLS);
    assert!(answers.iter().all(|end| matches!(end, CallEnd::Done { status: 200, .. })));
}
