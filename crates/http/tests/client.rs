//! The client of one peer: what it does with connections that went silent, or that the peer has closed.

use http::Method;
use sorrellock_http::{Client, listen};
use std::cell::Cell;
use std::future::pending;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{JoinSet, LocalSet, spawn_local};

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Time for a call that is answered at once, and for one that never is.
const LIMIT: Duration = Duration::from_millis(500);

/// Between two steps of a peer, far beyond what each takes.
const SHORT_WHILE: Duration = Duration::from_millis(30);

/// A peer that answers on each connection until its open ones go silent.
#[derive(Clone)]
struct Peer {
    addr: SocketAddr,
    /// Counts the times at which the connections that were open went silent for good.
    silenced: Rc<Cell<u32>>,
    /// How long an answer takes.
    delay: Rc<Cell<Duration>>,
}

impl Peer {
    /// Starts it in the present task's set.
    fn start() -> Peer {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let peer = Peer { addr, silenced: Rc::default(), delay: Rc::default() };
        let served = peer.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                spawn_local(served.clone().answer(stream));
            }
        });
        peer
    }

    fn silence_open(&self) {
        self.silenced.set(self.silenced.get() + 1);
    }

    async fn answer(self, mut stream: TcpStream) {
        let opened = self.silenced.get();
        let mut buf = [0; 1024];
        while let Ok(1..) = stream.read(&mut buf).await {
            if self.silenced.get() > opened {
                return pending().await;
            }
            tokio::time::sleep(self.delay.get()).await;
            if stream.write_all(ANSWER).await.is_err() {
                return;
            }
        }
    }
}

/// Runs on one thread, as the client's connections are.
fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), work)
}

async fn get(client: &Client) -> bool {
    client.call(Method::GET, "/", None, LIMIT).await.is_ok()
}

#[test]
fn a_call_without_an_answer_gives_up_the_idle_connections_of_before() {
    block_on(async {
        let peer = Peer::start();
        let client = Client::new(peer.addr);
        // Calls at the same time leave a connection each.
        peer.delay.set(LIMIT / 10);
        let mut calls = JoinSet::new();
        for _ in 0..3 {
            let client = client.clone();
            calls.spawn_local(async move { get(&client).await });
        }
        assert_eq!(calls.join_all().await, [true; 3]);
        peer.delay.set(Duration::ZERO);

        peer.silence_open();
        let first = get(&client).await;
        let second = get(&client).await;

        assert!(!first, "the first call meets a silent connection");
        assert!(second, "the second one does as well, though new connections work");
    });
}

/// A peer that closes each connection a while after its answer. Just before, it wakes whoever reads the stream that is returned.
fn start_closing_peer() -> (SocketAddr, std::net::TcpStream) {
    let bind = || std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (listener, wakes) = (bind(), bind());
    let (addr, wakes_at) = (listener.local_addr(), wakes.local_addr());
    let woken = std::net::TcpStream::connect(wakes_at.expect("an address")).expect("a connection");
    let (mut wake, _) = wakes.accept().expect("a connection");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut buf = [0; 1024];
            assert!(stream.read(&mut buf).expect("a request") > 0);
            stream.write_all(ANSWER).expect("the answer");
            thread::sleep(SHORT_WHILE);
            wake.write_all(b"x").expect("the wake-up");
            thread::sleep(SHORT_WHILE);
        }
    });
    woken.set_nonblocking(true).expect("TCP");
    (addr.expect("an address"), woken)
}

/// The client is late: it reads the close of a kept connection only as it sends the next call there. A gateway took engines that
/// had closed such a connection for engines that give no report.
#[test]
fn a_call_on_a_connection_that_the_peer_has_closed_goes_over_a_new_one() {
    block_on(async {
        let (addr, woken) = start_closing_peer();
        let mut woken = TcpStream::from_std(woken).expect("a runtime");
        let client = Client::new(addr);
        assert!(get(&client).await);

        spawn_local(async { thread::sleep(SHORT_WHILE * 4) });
        woken.read_u8().await.expect("the wake-up");
        let answer = client.call(Method::GET, "/", None, LIMIT).await;

        assert!(answer.is_ok(), "{answer:?}");
    });
}

/// Guards against interim answers without end, which are read and dropped for as long as a call may take.
#[test]
fn interim_answers_without_end_are_cut_off() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let written = thread::spawn(move || {
        let (mut peer, _) = listener.accept().expect("a connection");
        let block = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000);
        let mut written = 0;
        while peer.write_all(&block).is_ok() {
            written += block.len();
        }
        written
    });

    let res = block_on(async {
        Client::new(addr).call(Method::GET, "/", None, Duration::from_secs(20)).await
    });

    assert!(res.is_err());
    // Beyond the bound itself, what the system's buffers take.
    let written = written.join().expect("the bytes that the peer could write");
    assert!(written < 16 << 20, "{written} bytes");
}
