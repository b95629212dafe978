//! Connections of callers: takes them in, serves their requests, and closes those that are idle.

use crate::process::{ACCEPT_ERROR_PAUSE, Count, Gateway, Phase};
use crate::request::handle_request;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use sorrellock_http::{Activity, AnswerBody, Cut, Doing, WatchedIo};
use sorrellock_routing::version::CallerLimits;
use spdlog::warn;
use std::cell::{Cell, OnceCell};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Connections open at once: descriptors are kept for endpoints and the process's own.
const MAX_CONNECTIONS: usize = 2_500;
/// hyper takes no smaller buffer.
const MIN_BUF_BYTES: usize = 8 << 10;
/// Limits before a configuration tells them.
const FIRST_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
/// Time that a connection may be idle beyond the limit, so that a caller that keeps to the limit
/// never meets the close.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Takes connections in, for ever.
pub(crate) async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let open = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(_) if Rc::strong_count(&open) > MAX_CONNECTIONS => {
                gateway.counters.add(Count::ConnectionsRefused);
            }
            Ok((stream, _)) => {
                let (gateway, guard) = (Rc::clone(&gateway), Rc::clone(&open));
                tokio::task::spawn_local(async move {
                    serve(gateway, stream).await;
                    drop(guard);
                });
            }
            Err(err) => {
                let text = err.to_string();
                warn!("connection of a caller not accepted", kv: { err = text.as_str() });
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    // A caller that has gone already shows at the first read.
    let _ = stream.set_nodelay(true);
    let activity = Arc::new(Activity::new());
    // The limits that the caller last acted under: the configuration may change while it is idle.
    let last_limits = Rc::new(Cell::new(limits(&gateway)));
    let buf_bytes = last_limits.get().max_header_bytes.max(MIN_BUF_BYTES);
    // Set with the first request, until the connection is closed. A gateway that ends closes each after its
    // answer, so that those left have one to write.
    let answering: Rc<OnceCell<Counted>> = Rc::default();
    let service = {
        let (gateway, activity) = (Rc::clone(&gateway), Arc::clone(&activity));
        let (answering, last_limits) = (Rc::clone(&answering), Rc::clone(&last_limits));
        service_fn(move |req| {
            answering.get_or_init(|| Counted::new(Rc::clone(&gateway), |g| &g.answering));
            last_limits.set(limits(&gateway));
            serve_one(Rc::clone(&gateway), Arc::clone(&activity), buf_bytes, req)
        })
    };
    let mut builder = http1::Builder::new();
    // The connection's own timer tells a slow head from an idle connection.
    builder.header_read_timeout(None);
    builder.max_buf_size(buf_bytes);
    let io = WatchedIo::new(stream, Arc::clone(&activity));
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut phase = gateway.phase.subscribe();
    loop {
        // A new connection gets an answer first: closed unread, its caller would spend a retry on a
        // process that may still serve it, or tell when to come back.
        if *phase.borrow_and_update() >= Phase::Closing && answering.get().is_some() {
            connection.as_mut().graceful_shutdown();
        }
        let limits = longest(last_limits.get(), limits(&gateway));
        let wait = match time_left(&activity, &limits) {
            TimeLeft::Wait(wait) => wait,
            TimeLeft::CloseIdle => {
                connection.as_mut().graceful_shutdown();
                limits.header_timeout
            }
            TimeLeft::CutHead => return,
        };
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = phase.changed() => {}
            () = sleep(wait) => {}
        }
    }
}

/// Counts one in a count of the gateway while it lives.
struct Counted {
    gateway: Rc<Gateway>,
    count: fn(&Gateway) -> &Cell<usize>,
}

impl Counted {
    fn new(gateway: Rc<Gateway>, count: fn(&Gateway) -> &Cell<usize>) -> Counted {
        let cell = count(&gateway);
        cell.set(cell.get() + 1);
        Counted { gateway, count }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let cell = (self.count)(&self.gateway);
        cell.set(cell.get() - 1);
    }
}

/// What becomes of a connection, by what it does and for how long.
enum TimeLeft {
    Wait(Duration),
    CloseIdle,
    CutHead,
}

fn time_left(activity: &Activity, limits: &CallerLimits) -> TimeLeft {
    let (doing, elapsed) = activity.now();
    let (limit, over) = match doing {
        Doing::Request => return TimeLeft::Wait(limits.header_timeout),
        Doing::Head => (limits.header_timeout.max(limits.idle_timeout), TimeLeft::CutHead),
        Doing::Idle => (limits.idle_timeout + IDLE_SLACK, TimeLeft::CloseIdle),
    };
    if elapsed >= limit {
        return over;
    }
    TimeLeft::Wait((limit - elapsed).min(limits.header_timeout))
}

/// The longer times of two limits: a caller may keep to either.
fn longest(one: CallerLimits, other: CallerLimits) -> CallerLimits {
    CallerLimits {
        header_timeout: one.header_timeout.max(other.header_timeout),
        idle_timeout: one.idle_timeout.max(other.idle_timeout),
        ..other
    }
}

/// The limits of the configuration in force.
fn limits(gateway: &Gateway) -> CallerLimits {
    let knowledge = gateway.knowledge.borrow();
    knowledge.routes().map_or(FIRST_LIMITS, |routes| routes.cfg().limits)
}

/// Serves one request of a connection that takes heads of `buf_bytes`.
async fn serve_one(
    gateway: Rc<Gateway>,
    activity: Arc<Activity>,
    buf_bytes: usize,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Cut> {
    activity.on_request();
    let arrived = Instant::now();
    let unanswered = Counted::new(Rc::clone(&gateway), |g| &g.unanswered);
    let res = handle_request(Rc::clone(&gateway), req, arrived).await;
    drop(unanswered);
    let mut answer = res?;
    // A new connection takes heads of the size that the configuration allows by now.
    let is_outdated = limits(&gateway).max_header_bytes > buf_bytes;
    if is_outdated || *gateway.phase.borrow() >= Phase::Leaving {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer.map(|body| body.with_activity(activity)))
}
