//! Pool of idle connections to endpoints.

use crate::process::{Count, CountGuard, Gateway};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use sorrellock_http::{BudgetedStream, ByteSegments, HeadBudget, connect};
use sorrellock_platform::AnswerHead;
use sorrellock_routing::process::Incarnation;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

/// Maximum number of idle connections to one endpoint.
const MAX_IDLE: usize = 64;
/// Timeout of a connect: a round trip within a region takes a millisecond, and a lost SYN is first sent again after a
/// second.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Idle time after which a connection isn't reused, unless the endpoint announces its own limit.
const IDLE_LIMIT: Duration = Duration::from_secs(12);
/// The same for a request that may not be sent twice: an endpoint may close an idle connection without notice, and a
/// request sent on it may have run.
const IDLE_LIMIT_ONCE: Duration = Duration::from_secs(2);
/// Margin subtracted from the idle time that an endpoint announces, for network latency and timer inaccuracy.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum size of an answer's head, in bytes.
const READ_BUF_BYTES: usize = 16 << 10;

/// A connection to an endpoint. Dropping it closes it at once, which aborts a request that runs over it.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<ByteSegments>,
    pub(crate) head_budget: HeadBudget,
    addr: SocketAddr,
    driver: JoinHandle<()>,
    idle_since: Instant,
    idle_limit: Duration,
    _open: CountGuard,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Idle connections by the incarnation of their endpoint; they are dropped when it ends.
#[derive(Default)]
pub(crate) struct Pool {
    idle: HashMap<Incarnation, Vec<Connection>>,
}

impl Pool {
    /// Takes the most recently used connection that is still usable.
    pub(crate) fn take(
        &mut self,
        incarnation: &Incarnation,
        addr: SocketAddr,
        may_repeat: bool,
        now: Instant,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(incarnation)?;
        let max_idle_time = if may_repeat { IDLE_LIMIT } else { IDLE_LIMIT_ONCE };
        while let Some(connection) = idle.pop() {
            let is_fresh = now - connection.idle_since < connection.idle_limit.min(max_idle_time);
            if is_fresh && connection.addr == addr && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection after a complete answer.
    pub(crate) fn keep(
        &mut self,
        incarnation: Incarnation,
        mut connection: Connection,
        answer: &AnswerHead,
        now: Instant,
    ) {
        if answer.closes {
            return;
        }
        let announced = answer.keep_alive.map(|limit| limit.saturating_sub(IDLE_MARGIN));
        connection.idle_limit = announced.unwrap_or(IDLE_LIMIT).min(IDLE_LIMIT);
        connection.idle_since = now;
        let idle = self.idle.entry(incarnation).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Drops the connections to an endpoint that have been idle since `since` or longer: one of that age got no
    /// answer, and all of that age may have gone silent together.
    pub(crate) fn drop_idle_since(&mut self, incarnation: &Incarnation, since: Instant) {
        if let Some(idle) = self.idle.get_mut(incarnation) {
            idle.retain(|connection| connection.idle_since > since);
        }
    }

    /// Drops the connection that has been idle for longest.
    fn drop_longest_idle(&mut self) {
        // Each endpoint's connections are in the order in which they became idle.
        let of_endpoints = self.idle.values_mut().filter(|idle| !idle.is_empty());
        if let Some(idle) = of_endpoints.min_by_key(|idle| idle[0].idle_since) {
            idle.remove(0);
        }
    }

    /// Drops the connections to an incarnation that has ended.
    pub(crate) fn remove(&mut self, incarnation: &Incarnation) {
        self.idle.remove(incarnation);
    }

    /// Drops connections that were idle for too long, and those to incarnations that aren't current.
    pub(crate) fn sweep(&mut self, now: Instant, is_current: impl Fn(&Incarnation) -> bool) {
        self.idle.retain(|incarnation, idle| {
            idle.retain(|connection| now - connection.idle_since < connection.idle_limit);
            !idle.is_empty() && is_current(incarnation)
        });
    }
}

/// Returns the guard of a new connection, or an error if this process has as many as it may have.
fn claim_connection(gateway: &Rc<Gateway>) -> io::Result<CountGuard> {
    let max = gateway.callers.bounds().endpoint_connections;
    if gateway.endpoint_connections.get() >= max {
        gateway.pool.borrow_mut().drop_longest_idle();
    }
    if gateway.endpoint_connections.get() >= max {
        gateway.counters.add(Count::EndpointConnectionsRefused);
        return Err(io::ErrorKind::QuotaExceeded.into());
    }
    Ok(CountGuard::new(Rc::clone(gateway), |g| &g.endpoint_connections))
}

/// Opens a connection.
pub(crate) async fn open(addr: SocketAddr, gateway: &Rc<Gateway>) -> io::Result<Connection> {
    let open = claim_connection(gateway)?;
    gateway.counters.add(Count::EndpointConnections);
    let stream = timeout(CONNECT_LIMIT, connect(addr)).await;
    let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let head_budget = HeadBudget::default();
    let mut builder = Builder::new();
    builder.max_buf_size(READ_BUF_BYTES);
    let connected =
        builder.handshake(TokioIo::new(BudgetedStream::new(stream, head_budget.clone()))).await;
    let (sender, connection) = connected.map_err(io::Error::other)?;
    let driver = tokio::task::spawn_local(async move {
        // Errors surface at the request.
        let _ = connection.await;
    });
    let idle_since = Instant::now();
    Ok(Connection {
        sender,
        head_budget,
        addr,
        driver,
        idle_since,
        idle_limit: IDLE_LIMIT,
        _open: open,
    })
}
