//! HTTP calls to one peer, over connections that are kept.

use crate::connection::{BudgetedStream, HeadBudget, connect};
use crate::drained_timeout::{LimitOver, drained_timeout, drained_timeout_at};
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Idle connections kept to one peer.
const MAX_IDLE: usize = 4;
/// Largest body of an answer: a page of the store's list is 1 MB at most, an object as well.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Why a call brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent.
    NotSent {
        /// What was tried, and why it failed.
        step: String,
        /// Who was called.
        peer: SocketAddr,
        /// For how long the peer left the connection unanswered, where that is why it failed.
        silence: Option<Duration>,
    },
    /// It was sent; it may have taken effect.
    NoAnswer {
        /// What was tried, and why it failed.
        step: String,
        /// Who was called.
        peer: SocketAddr,
        /// For how long the peer had it without answering it whole, where that is why it failed.
        silence: Option<Duration>,
    },
}

impl CallError {
    /// For how long the peer was silent; none where it, or the way to it, failed the call otherwise. A
    /// request that waited in this process to be written leaves the peer less than the limit.
    pub fn silence(&self) -> Option<Duration> {
        match self {
            CallError::NotSent { silence, .. } | CallError::NoAnswer { silence, .. } => *silence,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::NotSent { step, peer, .. } => write!(f, "{peer}: {step}; nothing was sent"),
            CallError::NoAnswer { step, peer, .. } => write!(f, "{peer}: {step}; no answer"),
        }
    }
}

impl std::error::Error for CallError {}

/// An answer, whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// Time for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Until its head has come: a peer that is silent shows by then.
    pub head: Duration,
    /// Until all of it has come: a large one takes a small instance long to read.
    pub whole: Duration,
}

impl Limits {
    /// One bound for head and body together.
    pub fn whole(limit: Duration) -> Limits {
        Limits { head: limit, whole: limit }
    }
}

/// How far the sending of a request is.
#[derive(Clone, Copy)]
enum Progress {
    /// A connection is being made.
    Connecting(Instant),
    /// It waits for the connection's task.
    Queued,
    /// The connection's task had its turn.
    Written(Instant),
}

impl Progress {
    /// For how long the peer could have answered.
    fn silence(self) -> Duration {
        match self {
            Progress::Queued => Duration::ZERO,
            Progress::Connecting(since) | Progress::Written(since) => since.elapsed(),
        }
    }
}

/// A connection to the peer.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    budget: HeadBudget,
}

/// Calls one peer. Clones share its connections.
#[derive(Clone)]
pub struct Client {
    peer: SocketAddr,
    idle: Rc<RefCell<Vec<Connection>>>,
}

impl Client {
    /// A client without connections yet.
    pub fn new(peer: SocketAddr) -> Client {
        Client { peer, idle: Rc::default() }
    }

    /// Who is called.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Whether a connection is kept for the next call.
    pub fn has_idle(&self) -> bool {
        !self.idle.borrow().is_empty()
    }

    /// Makes a call that is to be answered whole within `limit`. See [`Client::call_within`].
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        self.call_within(method, path, body, Limits::whole(limit)).await
    }

    /// Makes a call. The connection is kept only if the answer came whole. After a call without an
    /// answer the idle connections go as well: those that were open may have gone silent together, and each
    /// would cost one more call its time (500 ms each in the test of three).
    pub async fn call_within(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limits: Limits,
    ) -> Result<Answer, CallError> {
        let began = Instant::now();
        let mut progress = Progress::Connecting(began);
        let head = self.head(method, path, body, &mut progress);
        let head = drained_timeout(limits.head, head).await;
        let res = match head {
            Ok(Ok((connection, answer))) => {
                let until = began + limits.whole;
                let body = drained_timeout_at(until, self.whole(connection, answer)).await;
                body.unwrap_or_else(|LimitOver| {
                    Err(self.silent(format!("no whole answer in {:?}", limits.whole), progress))
                })
            }
            Ok(Err(err)) => Err(err),
            Err(LimitOver) if matches!(progress, Progress::Connecting(_)) => {
                Err(CallError::NotSent {
                    step: format!("no connection in {:?}", limits.head),
                    peer: self.peer,
                    silence: Some(progress.silence()),
                })
            }
            Err(LimitOver) => Err(self.silent(format!("no answer in {:?}", limits.head), progress)),
        };
        if matches!(res, Err(CallError::NoAnswer { .. })) {
            self.idle.borrow_mut().clear();
        }
        res
    }

    /// Sends a request and waits for the head of its answer. One that comes back unsent, as the peer has closed a kept connection, goes
    /// over the next one, in the end over a new one.
    async fn head(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        progress: &mut Progress,
    ) -> Result<(Connection, Response<Incoming>), CallError> {
        let mut req = self.request(method, path, body)?;
        loop {
            let (mut connection, is_kept) = self.connection().await?;
            *progress = Progress::Queued;
            connection.budget.begin();
            let answer = connection.sender.try_send_request(req);
            // The connection's task writes the request in its next turn.
            yield_now().await;
            *progress = Progress::Written(Instant::now());
            let mut err = match answer.await {
                Ok(answer) => {
                    connection.budget.end();
                    return Ok((connection, answer));
                }
                Err(err) => err,
            };
            let step = err.error().to_string();
            req = match err.take_message() {
                Some(unsent) if is_kept => unsent,
                Some(_) => return Err(self.not_sent(step)),
                None => return Err(self.no_answer(step)),
            };
            *progress = Progress::Connecting(Instant::now());
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Request<Full<Bytes>>, CallError> {
        let mut builder =
            Request::builder().method(method).uri(path).header("host", self.peer.to_string());
        if body.is_some() {
            builder = builder.header("content-type", "application/json");
        }
        let body = Full::new(Bytes::from(body.unwrap_or_default()));
        builder.body(body).map_err(|err| self.not_sent(err.to_string()))
    }

    /// Reads the body of an answer, and keeps its connection.
    async fn whole(
        &self,
        connection: Connection,
        answer: Response<Incoming>,
    ) -> Result<Answer, CallError> {
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|err| self.no_answer(err.to_string()))?.to_bytes();
        self.keep(connection);
        Ok(Answer { status: head.status, headers: head.headers, body })
    }

    /// A connection, and whether it was kept from an earlier call.
    async fn connection(&self) -> Result<(Connection, bool), CallError> {
        while let Some(mut connection) = self.take_idle() {
            if connection.sender.ready().await.is_ok() {
                return Ok((connection, true));
            }
        }
        let stream = connect(self.peer).await;
        let stream = stream.map_err(|err| self.not_sent(format!("connect: {err}")))?;
        let budget = HeadBudget::default();
        let stream = BudgetedStream::new(stream, budget.clone());
        let hands = handshake(TokioIo::new(stream)).await;
        let (sender, driver) = hands.map_err(|err| self.not_sent(format!("handshake: {err}")))?;
        // Its end shows at the sender.
        tokio::task::spawn_local(driver);
        Ok((Connection { sender, budget }, false))
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle.borrow_mut().pop()
    }

    fn keep(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    fn not_sent(&self, step: String) -> CallError {
        CallError::NotSent { step, peer: self.peer, silence: None }
    }

    /// The time for an answer is over.
    fn silent(&self, step: String, progress: Progress) -> CallError {
        CallError::NoAnswer { step, peer: self.peer, silence: Some(progress.silence()) }
    }

    fn no_answer(&self, step: String) -> CallError {
        CallError::NoAnswer { step, peer: self.peer, silence: None }
    }
}
