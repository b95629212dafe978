//! Accepts the connections of callers, serves their requests, and closes idle connections.

use crate::process::{ACCEPT_ERROR_PAUSE, Count, CountGuard, Gateway, Phase};
use crate::request::handle_request;
use http::{HeaderValue, Request, Response, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sorrellock_core::process::callers::{Stage, UNREAD_AFTER};
use sorrellock_http::{Activity, AnswerBody, CallerSlot, Cut, WatchedStream};
use sorrellock_routing::version::CallerLimits;
use spdlog::warn;
use std::cell::{Cell, OnceCell};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Smallest buffer size that hyper accepts.
const MIN_BUF_BYTES: usize = 8 << 10;
/// Time that a connection may be idle beyond the limit, so that a caller that keeps to the limit never sends a request
/// on a connection that is being closed.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// How long a connection that is closed in favour of another caller may take to send its last answer.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Accepts connections for ever.
pub(crate) async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match gateway.callers.open() {
                Some(slot) => {
                    let gateway = Rc::clone(&gateway);
                    tokio::task::spawn_local(serve_caller(gateway, stream, slot));
                }
                None => gateway.counters.add(Count::ConnectionsRefused),
            },
            Err(err) => {
                let text = err.to_string();
                warn!("failed to accept a caller connection", kv: { err = text.as_str() });
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

async fn serve_caller(gateway: Rc<Gateway>, stream: TcpStream, slot: CallerSlot) {
    // An error here means that the caller has gone, which the first read shows too.
    let _ = stream.set_nodelay(true);
    let activity = Arc::new(Activity::new(slot));
    // The size of the read buffer can't be changed later, so it is that of the time when the first head comes.
    if !await_first_head(&gateway, &stream, &activity).await {
        return;
    }
    // The limits at the caller's last request: the configuration may change while the connection is idle.
    let last_limits = Rc::new(Cell::new(gateway.caller_limits()));
    let buf_bytes = read_buf_bytes(&gateway);
    // Set from the first request until the connection is closed. A gateway that shuts down closes each connection after
    // its answer, so that those left have an answer to write.
    let answering: Rc<OnceCell<CountGuard>> = Rc::default();
    let service = {
        let (gateway, activity) = (Rc::clone(&gateway), Arc::clone(&activity));
        let (answering, last_limits) = (Rc::clone(&answering), Rc::clone(&last_limits));
        service_fn(move |req| {
            answering.get_or_init(|| CountGuard::new(Rc::clone(&gateway), |g| &g.answering));
            last_limits.set(gateway.caller_limits());
            serve_request(Rc::clone(&gateway), Arc::clone(&activity), buf_bytes, req)
        })
    };
    let mut builder = http1::Builder::new();
    // Disabled because `serve_caller` has its own timer, which distinguishes a slow head from an idle connection.
    builder.header_read_timeout(None);
    builder.max_buf_size(buf_bytes);
    let io = TokioIo::new(WatchedStream::new(stream, Arc::clone(&activity)));
    let mut connection = pin!(builder.serve_connection(io, service));
    let mut phase = gateway.phase.subscribe();
    let mut limits_changed = gateway.caller_limits.subscribe();
    loop {
        // A new connection gets an answer before it is closed. If it were closed unread, its caller would spend a
        // retry, although this process may still serve the request or answer when to retry.
        if *phase.borrow_and_update() >= Phase::Closing && answering.get().is_some() {
            connection.as_mut().graceful_shutdown();
        }
        // A head that is being read would be lost. Its answer closes the connection.
        if read_buf_bytes(&gateway) != buf_bytes && activity.now().0 != Stage::Head {
            connection.as_mut().graceful_shutdown();
        }
        let limits = longest_timeouts(last_limits.get(), gateway.caller_limits());
        let wait = match check_connection(&activity, &limits) {
            ConnectionCheck::Wait(wait) => wait,
            ConnectionCheck::CloseIdle => {
                connection.as_mut().graceful_shutdown();
                limits.header_timeout
            }
            ConnectionCheck::Cut => return,
        };
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = phase.changed() => {}
            _ = limits_changed.changed() => {}
            () = activity.slot().closing() => {
                connection.as_mut().graceful_shutdown();
                // Time out or done: either way the connection is closed.
                let _ = timeout(LAST_ANSWER_TIMEOUT, connection).await;
                return;
            }
            () = sleep(wait) => {}
        }
    }
}

/// Waits until the first bytes of a connection come. Returns whether they did before it is to be closed.
async fn await_first_head(gateway: &Gateway, stream: &TcpStream, activity: &Activity) -> bool {
    let mut first_byte = [0];
    loop {
        let ConnectionCheck::Wait(wait) = check_connection(activity, &gateway.caller_limits())
        else {
            return false;
        };
        tokio::select! {
            res = stream.peek(&mut first_byte) => return res.is_ok(),
            () = activity.slot().closing() => return false,
            () = sleep(wait) => {}
        }
    }
}

/// Returns the size of the read buffer of a connection, which bounds the heads that it takes.
fn read_buf_bytes(gateway: &Gateway) -> usize {
    gateway.caller_limits().max_header_bytes.max(MIN_BUF_BYTES)
}

/// What to do with a connection, by its activity and how long that has lasted.
enum ConnectionCheck {
    Wait(Duration),
    CloseIdle,
    /// Its head is late, or its caller doesn't read the last answer.
    Cut,
}

fn check_connection(activity: &Activity, limits: &CallerLimits) -> ConnectionCheck {
    let (doing, elapsed) = activity.now();
    let (limit, over) = match doing {
        Stage::Body | Stage::Serving | Stage::Answering => {
            return ConnectionCheck::Wait(limits.header_timeout);
        }
        Stage::Head => (limits.header_timeout.max(limits.idle_timeout), ConnectionCheck::Cut),
        Stage::Idle if elapsed >= limits.idle_timeout + IDLE_SLACK + UNREAD_AFTER => {
            return ConnectionCheck::Cut;
        }
        Stage::Idle => (limits.idle_timeout + IDLE_SLACK, ConnectionCheck::CloseIdle),
    };
    if elapsed >= limit {
        return over;
    }
    ConnectionCheck::Wait((limit - elapsed).min(limits.header_timeout))
}

/// Returns the longer timeouts of two limits, as a caller may keep to either.
fn longest_timeouts(one: CallerLimits, other: CallerLimits) -> CallerLimits {
    CallerLimits {
        header_timeout: one.header_timeout.max(other.header_timeout),
        idle_timeout: one.idle_timeout.max(other.idle_timeout),
        ..other
    }
}

/// Serves one request of a connection that accepts heads of up to `buf_bytes`.
async fn serve_request(
    gateway: Rc<Gateway>,
    activity: Arc<Activity>,
    buf_bytes: usize,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Cut> {
    activity.on_request();
    let arrived = Instant::now();
    let unanswered = CountGuard::new(Rc::clone(&gateway), |g| &g.unanswered);
    let res = handle_request(Rc::clone(&gateway), req, &activity, arrived).await;
    activity.on_answer();
    drop(unanswered);
    let mut answer = res?;
    // A new connection accepts heads of the size that the configuration allows by now.
    let is_outdated = read_buf_bytes(&gateway) != buf_bytes;
    if is_outdated || *gateway.phase.borrow() >= Phase::Leaving {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer.map(|body| body.with_activity(activity)))
}
