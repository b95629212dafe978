//! One request of a caller, and what it sees of the answer.

use crate::fleet::{HOST, KEY};
use crate::planned_work::lag::now_ms;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// How long a caller waits for a new connection.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// A caller leaves a stream after so long without an event.
const SILENCE_PATIENCE: Duration = Duration::from_secs(2);
/// How long a caller waits for a whole answer.
pub const DEADLINE: Duration = Duration::from_secs(20);

/// A connection that is kept, and the index of its gateway.
pub type Kept = Option<(usize, SendRequest<Full<Bytes>>)>;

/// What a request asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub request: String,
    /// The prefix of its route.
    pub route: &'static str,
    pub is_stream: bool,
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// The answer came whole.
    Whole,
    /// The connection ended before.
    Broke,
    /// No connection could be had.
    NotConnected,
    /// The caller left: no event came for too long.
    LeftSilent,
    /// The caller left at its deadline.
    LeftLate,
}

/// A request and what its caller saw.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub ask: Ask,
    /// The index of the gateway.
    pub gateway: usize,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub status: Option<u16>,
    /// Seconds after which to come back.
    pub retry_after: Option<f64>,
    pub body: String,
    pub end: End,
}

impl Exchange {
    /// Whether it was served to its end.
    pub fn is_served(&self) -> bool {
        self.status == Some(200) && self.end == End::Whole
    }
}

/// Sends a request over the kept connection, or else over a new one to the gateway at `addr`.
pub async fn exchange(kept: &mut Kept, gateway: usize, addr: SocketAddr, ask: Ask) -> Exchange {
    let (gateway, sender) = match kept.take() {
        Some((gateway, sender)) => (gateway, Some(sender)),
        None => (gateway, connect(addr).await),
    };
    let sent_ms = now_ms();
    let mut seen = Exchange {
        ask,
        gateway,
        sent_ms,
        ended_ms: sent_ms,
        status: None,
        retry_after: None,
        body: String::new(),
        end: End::NotConnected,
    };
    if let Some(mut sender) = sender {
        seen.end = send(&mut sender, &mut seen).await;
        if seen.end == End::Whole && sender.ready().await.is_ok() {
            *kept = Some((gateway, sender));
        }
    }
    seen.ended_ms = now_ms();
    seen
}

async fn connect(addr: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = timeout(CONNECT_PATIENCE, TcpStream::connect(addr)).await.ok()?.ok()?;
    // A connection that can't be set so is closed already.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    // Ends once the sender and the answer are dropped.
    tokio::spawn(connection);
    Some(sender)
}

async fn send(sender: &mut SendRequest<Full<Bytes>>, seen: &mut Exchange) -> End {
    let until = Instant::now() + DEADLINE;
    let patience = if seen.ask.is_stream { SILENCE_PATIENCE } else { DEADLINE };
    let answer = match timeout(patience, sender.send_request(request(&seen.ask))).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => return End::Broke,
        Err(_) if patience == DEADLINE => return End::LeftLate,
        Err(_) => return End::LeftSilent,
    };
    seen.status = Some(answer.status().as_u16());
    seen.retry_after = retry_after(&answer);
    let mut body = answer.into_body();
    loop {
        let silent = Instant::now() + patience;
        match timeout_at(silent.min(until), body.frame()).await {
            Ok(None) => return End::Whole,
            Ok(Some(Err(_))) => return End::Broke,
            Ok(Some(Ok(frame))) => {
                let bytes = frame.into_data().unwrap_or_default();
                seen.body.push_str(&String::from_utf8_lossy(&bytes));
            }
            Err(_) if silent < until => return End::LeftSilent,
            Err(_) => return End::LeftLate,
        }
    }
}

fn request(ask: &Ask) -> Request<Full<Bytes>> {
    Request::post(format!("{}a", ask.route))
        .header("host", HOST)
        .header("request-id", &ask.request)
        .header("deadline-ms", DEADLINE.as_millis().to_string())
        .header("token-count", "10,100")
        .header("model", "m")
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("a proper request")
}

fn retry_after(answer: &Response<Incoming>) -> Option<f64> {
    answer.headers().get("retry-after")?.to_str().ok()?.parse().ok()
}

/// Whether a gateway says in time that it is ready.
pub async fn is_ready(addr: SocketAddr, patience: Duration) -> bool {
    let asking = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let req = Request::get("/v1/readiness").header("host", HOST).body(Empty::<Bytes>::new());
        let answer = sender.send_request(req.expect("a proper request")).await.ok()?;
        Some(answer.status().as_u16())
    };
    timeout(patience, asking).await == Ok(Some(200))
}
