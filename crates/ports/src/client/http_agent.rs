//! What the clients share: one peer, its pooled connections, and the way to call it.

use crate::client::{
    DEFAULT_IDLE_CONNECTIONS, DEFAULT_TIMEOUT, FixedResolver, MarkingConnector, was_never_sent,
};
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};
use std::time::Duration;
use ureq::http::{HeaderMap, Request};
use ureq::{Agent, Error, RequestExt};

/// Age at which an idle connection is closed from this side; below the usual limits of servers,
/// as a call that meets a closing connection can't be told from one that ran.
const IDLE_AGE: Duration = Duration::from_secs(10);
/// Bytes that each connection buffers in each direction, of the head or a body on its way.
const BUFFER_BYTES: usize = 16 << 10;
/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 256 << 20;

/// One call.
pub(crate) struct Call<'a> {
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) headers: &'a [(&'a str, &'a str)],
    pub(crate) body: Option<&'a [u8]>,
    pub(crate) timeout: Duration,
}

/// A whole answer.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Vec<u8>,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The body as text, for errors.
    pub(crate) fn text(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        text.chars().take(MAX_DETAIL_CHARS).collect()
    }
}

/// How much of an answer's body goes into an error.
const MAX_DETAIL_CHARS: usize = 200;

/// Why there is no whole answer; the details name the step and the peer.
#[derive(Debug)]
pub(crate) enum CallError {
    NotSent(String),
    NoAnswer(String),
}

/// One peer, with its pooled connections. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct HttpAgent {
    base: SocketAddr,
    pool: Arc<RwLock<Pool>>,
    pub(crate) timeout: Duration,
}

/// The connections of one agent.
#[derive(Clone, Debug)]
struct Pool {
    agent: Agent,
    idle_connections: usize,
    /// Rises with each pool that takes the place of another one.
    number: u64,
}

impl Pool {
    fn new(base: SocketAddr, idle_connections: usize, number: u64) -> Pool {
        Pool { agent: agent(base, idle_connections), idle_connections, number }
    }
}

impl HttpAgent {
    pub(crate) fn new(base: SocketAddr) -> HttpAgent {
        let pool = Arc::new(RwLock::new(Pool::new(base, DEFAULT_IDLE_CONNECTIONS, 0)));
        HttpAgent { base, pool, timeout: DEFAULT_TIMEOUT }
    }

    pub(crate) fn set_idle_connections(&mut self, connections: usize) {
        self.pool = Arc::new(RwLock::new(Pool::new(self.base, connections, 0)));
    }

    /// Calls once, and reads the answer whole. After a call without an answer the idle connections go as well: those that
    /// were open may have gone silent together, and each would cost one more call its time.
    pub(crate) fn call(&self, call: &Call<'_>) -> Result<Answer, CallError> {
        if call.timeout.is_zero() {
            let detail = self.detail(call, "no time left");
            return Err(CallError::NotSent(detail));
        }
        let pool = self.pool.read().unwrap().clone();
        self.send(&pool.agent, call).map_err(|err| {
            let detail = self.detail(call, &err.to_string());
            if was_never_sent(&err) {
                return CallError::NotSent(detail);
            }
            self.replace(&pool);
            CallError::NoAnswer(detail)
        })
    }

    /// Takes new connections from here on, unless another call has seen to that.
    fn replace(&self, old: &Pool) {
        let mut pool = self.pool.write().unwrap();
        if pool.number == old.number {
            *pool = Pool::new(self.base, old.idle_connections, old.number + 1);
        }
    }

    /// Names the step and the peer.
    pub(crate) fn detail(&self, call: &Call<'_>, what: &str) -> String {
        format!("{} {} at {}: {what}", call.method, call.path, self.base)
    }

    fn send(&self, agent: &Agent, call: &Call<'_>) -> Result<Answer, Error> {
        let mut req = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.base, call.path));
        for (name, value) in call.headers {
            req = req.header(*name, *value);
        }
        let res = match call.body {
            Some(body) => req
                .body(body)?
                .with_agent(agent)
                .configure()
                .timeout_global(Some(call.timeout))
                .run(),
            None => {
                req.body(())?.with_agent(agent).configure().timeout_global(Some(call.timeout)).run()
            }
        };
        let (parts, mut body) = res?.into_parts();
        let body = body.with_config().limit(MAX_ANSWER_BYTES).read_to_vec()?;
        Ok(Answer { status: parts.status.as_u16(), headers: parts.headers, body })
    }
}

fn agent(base: SocketAddr, idle_connections: usize) -> Agent {
    let cfg = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .no_delay(true)
        .user_agent("")
        .accept("")
        .accept_encoding("")
        .allow_non_standard_methods(true)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        .max_idle_connections(idle_connections)
        .max_idle_connections_per_host(idle_connections)
        .max_idle_age(IDLE_AGE)
        .build();
    Agent::with_parts(cfg, MarkingConnector::default(), FixedResolver::new(base))
}
