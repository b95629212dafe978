//! Callers: each with one request at a time, some over connections that they keep open until the
//! process at the other end is gone.

use super::promises::Heard;
use super::world::World;
use crate::fleet::{HOST, KEY, new_request};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use ureq::Agent;

/// Callers of each gateway at once, a third of them over kept connections.
const STREAM_CALLERS: usize = 3;
const PLAIN_CALLERS: usize = 2;
/// A caller's time between two requests.
const PAUSE: Duration = Duration::from_millis(5);
/// How long a caller waits for the whole answer.
const PATIENCE: Duration = Duration::from_secs(8);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream, which may go on in another run.
    Stream,
    /// A call that may run once.
    Plain,
}

/// A request to send.
pub struct Call {
    pub kind: Kind,
    pub request: String,
}

impl Call {
    pub fn stream(request: String) -> Call {
        Call { kind: Kind::Stream, request }
    }
}

/// Callers at work.
pub struct Callers {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Heard>>>,
}

impl Callers {
    /// Starts callers of all gateways.
    pub fn start(world: &World) -> Callers {
        let is_over = Arc::new(AtomicBool::new(false));
        let to = world.nodes.iter().map(|node| node.process.callers());
        let threads = to
            .flat_map(|to| (0..STREAM_CALLERS + PLAIN_CALLERS).map(move |index| (to, index)))
            .map(|(to, index)| {
                let kind = if index < STREAM_CALLERS { Kind::Stream } else { Kind::Plain };
                let agent = if index % 3 == 0 { keeping() } else { once() };
                let is_over = Arc::clone(&is_over);
                thread::spawn(move || call_until(&is_over, &agent, to, kind))
            })
            .collect();
        Callers { is_over, threads }
    }

    /// Lets each end its request, and returns all that they heard.
    pub fn stop(self) -> Vec<Heard> {
        self.is_over.store(true, Ordering::Relaxed);
        let heard = self.threads.into_iter().map(|thread| thread.join().expect("a caller"));
        heard.flatten().collect()
    }
}

fn call_until(is_over: &AtomicBool, agent: &Agent, to: SocketAddr, kind: Kind) -> Vec<Heard> {
    let mut heard = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        heard.push(call(agent, to, Call { kind, request: new_request() }));
        thread::sleep(PAUSE);
    }
    heard
}

/// Uses a connection once.
pub fn once() -> Agent {
    agent(0)
}

/// Keeps its connection open.
fn keeping() -> Agent {
    agent(1)
}

fn agent(idle_connections: usize) -> Agent {
    let cfg = Agent::config_builder().http_status_as_error(false).timeout_global(Some(PATIENCE));
    Agent::new_with_config(cfg.max_idle_connections(idle_connections).build())
}

/// Sends a request and hears its answer to the end.
pub fn call(agent: &Agent, to: SocketAddr, call: Call) -> Heard {
    let path = match call.kind {
        Kind::Stream => "/match/a",
        Kind::Plain => "/status/a",
    };
    let began = Instant::now();
    let answer = agent
        .post(format!("http://{to}{path}"))
        .header("host", HOST)
        .header("request-id", &call.request)
        .header("deadline-ms", PATIENCE.as_millis().to_string())
        .header("token-count", "10,40")
        .header("authorization", format!("Bearer {KEY}"))
        .send("body");
    let Ok(answer) = answer else {
        let gave_up = began.elapsed() >= PATIENCE;
        return Heard { call, status: None, body: String::new(), is_whole: false, gave_up };
    };
    let status = Some(answer.status().as_u16());
    let mut body = String::new();
    let is_whole = answer.into_body().into_reader().read_to_string(&mut body).is_ok();
    let gave_up = began.elapsed() >= PATIENCE;
    Heard { call, status, body, is_whole, gave_up }
}
