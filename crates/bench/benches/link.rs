//! Links between processes: nng, our TCP link, and bare TCP as the baseline, in the same run.

use eyre::{Result, ensure, eyre};
use sorrellock_bench::{Latencies, figure, figure_f64};
use sorrellock_core::id::Incarnation;
use sorrellock_core::request::{Peer, RequestKey, TokenOut};
use sorrellock_local::next_addr;
use sorrellock_wire::connection::{AnyLink, Link, LinkConfig, LinkHandler, LinkKind};
use sorrellock_wire::message::{Message, PipelineMessage};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Round trips measured, and those before them that warm up.
const ROUND_TRIPS: u64 = 3_000;
const WARM_UP: u64 = 300;
/// Bytes of text in a small and in a large message.
const SMALL: usize = 32;
const LARGE: usize = 16 << 10;
/// Stages that a token passes between two of its kind.
const STAGES: usize = 8;
/// Messages sent in one burst, and the most of them on their way.
const BURST: u64 = 100_000;
const ON_THE_WAY: u64 = 4_096;
/// Peers whose threads and memory are counted.
const PEERS: usize = 64;
/// How long one message may take.
const WAIT: Duration = Duration::from_secs(10);

fn main() -> Result<()> {
    bare_tcp(SMALL, "link.bare_tcp.round_trip")?;
    bare_tcp(LARGE, "link.bare_tcp.round_trip_16k")?;
    for (kind, name) in [(LinkKind::Tcp, "link.tcp"), (LinkKind::Nng, "link.nng")] {
        chain(kind, 1, SMALL)?.print_us(&format!("{name}.round_trip"));
        chain(kind, 1, LARGE)?.print_us(&format!("{name}.round_trip_16k"));
        chain(kind, STAGES, SMALL)?.print_us(&format!("{name}.token_round"));
        figure_f64(&format!("{name}.messages_per_s"), burst(kind)?, "messages/s");
        per_peer(kind, name)?;
    }
    Ok(())
}

/// Passes what comes to the next node.
struct PassOn {
    link: OnceLock<Arc<AnyLink>>,
    next: Peer,
}

impl LinkHandler for PassOn {
    fn on_message(&self, _: Peer, _: Incarnation, message: Message) {
        if let Some(link) = self.link.get() {
            let _ = link.send(self.next, message);
        }
    }

    fn on_closed(&self, _: SocketAddr) {}
}

/// Notes the number of what comes.
struct Note {
    tx: Sender<u64>,
}

impl LinkHandler for Note {
    fn on_message(&self, _: Peer, _: Incarnation, message: Message) {
        if let Message::Pipeline(PipelineMessage::Token(out)) = message {
            let _ = self.tx.send(out.request.sequence);
        }
    }

    fn on_closed(&self, _: SocketAddr) {}
}

/// A node that notes what comes, and a chain of nodes after it that leads back to it.
struct Chain {
    start: Arc<AnyLink>,
    first: Peer,
    back: Receiver<u64>,
    links: Vec<Arc<AnyLink>>,
}

impl Chain {
    fn start(kind: LinkKind, nodes: usize) -> Result<Chain> {
        let peers: Vec<Peer> = (0..=nodes).map(|_| new_peer()).collect();
        let (tx, back) = channel();
        let start = listen(peers[0], kind, Note { tx })?;
        let mut links = Vec::new();
        for index in 1..=nodes {
            let next = peers[(index + 1) % (nodes + 1)];
            links.push(listen_to_pass_on(peers[index], kind, next)?);
        }
        Ok(Chain { start, first: peers[1], back, links })
    }

    fn send(&self, number: u64, bytes: usize) -> Result<()> {
        Ok(self.start.send(self.first, token(number, bytes))?)
    }

    fn next(&self) -> Result<u64> {
        Ok(self.back.recv_timeout(WAIT)?)
    }
}

impl Drop for Chain {
    fn drop(&mut self) {
        self.start.close();
        self.links.iter().for_each(|link| link.close());
    }
}

fn listen<H: LinkHandler>(me: Peer, kind: LinkKind, handler: H) -> Result<Arc<AnyLink>> {
    let (link, closed) = AnyLink::listen(LinkConfig::new(me).with_kind(kind))?;
    link.serve(closed, Arc::new(handler));
    Ok(link)
}

fn listen_to_pass_on(me: Peer, kind: LinkKind, next: Peer) -> Result<Arc<AnyLink>> {
    let (link, closed) = AnyLink::listen(LinkConfig::new(me).with_kind(kind))?;
    let handler = PassOn { link: OnceLock::from(link.clone()), next };
    link.serve(closed, Arc::new(handler));
    Ok(link)
}

/// Time of a message round a chain of nodes.
fn chain(kind: LinkKind, nodes: usize, bytes: usize) -> Result<Latencies> {
    let chain = Chain::start(kind, nodes)?;
    let mut latencies = Latencies::new();
    for number in 0..WARM_UP + ROUND_TRIPS {
        let start = Instant::now();
        chain.send(number, bytes)?;
        let back = chain.next()?;
        ensure!(back == number, "message {back} came for {number}");
        if number >= WARM_UP {
            latencies.add(start.elapsed());
        }
    }
    Ok(latencies)
}

/// Small messages a second, there and back, in order.
fn burst(kind: LinkKind) -> Result<f64> {
    let chain = Chain::start(kind, 1)?;
    chain.send(0, SMALL)?;
    ensure!(chain.next()? == 0, "the first message is another");
    let (mut sent, mut back) = (0, 0);
    let start = Instant::now();
    while back < BURST {
        while sent < BURST && sent - back < ON_THE_WAY {
            chain.send(sent, SMALL)?;
            sent += 1;
        }
        ensure!(chain.next()? == back, "message {back} is lost or out of order");
        back += 1;
    }
    Ok(BURST as f64 / start.elapsed().as_secs_f64())
}

/// Threads and memory that a peer costs: both ends of one direction together, as both are here.
fn per_peer(kind: LinkKind, name: &str) -> Result<()> {
    let count = Arc::new(AtomicU64::new(0));
    let sender = listen(new_peer(), kind, Count(count.clone()))?;
    let mut receivers = Vec::new();
    for _ in 0..PEERS {
        let me = new_peer();
        receivers.push((me, listen(me, kind, Count(count.clone()))?));
    }
    let (threads, rss) = (status("Threads")?, status("VmRSS")?);
    for (peer, _) in &receivers {
        sender.send(*peer, token(1, SMALL))?;
    }
    let end = Instant::now() + WAIT;
    while count.load(Ordering::Relaxed) < PEERS as u64 {
        ensure!(Instant::now() < end, "not all peers were reached");
        thread::sleep(Duration::from_millis(5));
    }
    let threads = (status("Threads")? - threads) as f64 / PEERS as f64;
    let rss = status("VmRSS")?.saturating_sub(rss) as f64 / PEERS as f64;
    figure_f64(&format!("{name}.threads_per_peer"), threads, "threads");
    figure_f64(&format!("{name}.rss_per_peer"), rss, "KiB");
    sender.close();
    receivers.iter().for_each(|(_, link)| link.close());
    Ok(())
}

struct Count(Arc<AtomicU64>);

impl LinkHandler for Count {
    fn on_message(&self, _: Peer, _: Incarnation, _: Message) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn on_closed(&self, _: SocketAddr) {}
}

/// Round trips over a bare connection, without queue, codec or threads between.
fn bare_tcp(bytes: usize, name: &str) -> Result<()> {
    let listener = TcpListener::bind(next_addr())?;
    let addr = listener.local_addr()?;
    let echo = thread::spawn(move || -> Result<()> {
        let (mut stream, _) = listener.accept()?;
        stream.set_nodelay(true)?;
        let mut buf = vec![0; bytes];
        for _ in 0..WARM_UP + ROUND_TRIPS {
            stream.read_exact(&mut buf)?;
            stream.write_all(&buf)?;
        }
        Ok(())
    });
    let mut stream = TcpStream::connect(addr)?;
    stream.set_nodelay(true)?;
    let mut buf = vec![0; bytes];
    let mut latencies = Latencies::new();
    for number in 0..WARM_UP + ROUND_TRIPS {
        let start = Instant::now();
        stream.write_all(&buf)?;
        stream.read_exact(&mut buf)?;
        if number >= WARM_UP {
            latencies.add(start.elapsed());
        }
    }
    echo.join().map_err(|_| eyre!("the echo panicked"))??;
    latencies.print_us(name);
    figure(&format!("{name}.count"), latencies.count(), "round trips");
    Ok(())
}

fn new_peer() -> Peer {
    Peer { addr: next_addr(), incarnation: 1 }
}

fn token(number: u64, bytes: usize) -> Message {
    Message::Pipeline(PipelineMessage::Token(TokenOut {
        request: RequestKey { entry: 1, sequence: number },
        attempt: 1,
        position: 1,
        token: 1,
        text: "x".repeat(bytes),
        end_of_text: false,
    }))
}

/// A number from what the system tells of this process.
fn status(name: &str) -> Result<u64> {
    let text = fs::read_to_string("/proc/self/status")?;
    let line = text.lines().find(|line| line.starts_with(name));
    let line = line.ok_or_else(|| eyre!("no line {name}"))?;
    let number = line.split_whitespace().nth(1).ok_or_else(|| eyre!("no number in {line}"))?;
    Ok(number.parse()?)
}
