//! One connection: serves its requests and cuts it off where it is too slow.

use crate::connection::{Activity, CallerSlot, Callers, WatchedStream};
use crate::process::{Counters, Phase, ServerConfig, count};
use crate::request::{AnswerBody, Cut, Intake, Request};
use crossbeam::channel::Sender;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sorrellock_core::process::callers::Stage;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

/// hyper takes no smaller buffer.
const MIN_BUF_BYTES: usize = 8 << 10;

/// What all connections of a listener share.
pub(crate) struct ConnectionCx {
    pub(crate) cfg: ServerConfig,
    pub(crate) counters: Arc<Counters>,
    pub(crate) requests: Sender<Request>,
    pub(crate) callers: Callers,
}

/// One connection that was taken in.
pub(crate) struct Connection {
    cx: Arc<ConnectionCx>,
    peer: SocketAddr,
    phase: watch::Receiver<Phase>,
    activity: Arc<Activity>,
}

/// What a connection woke up for.
enum Event {
    Closed(hyper::Result<()>),
    PhaseChanged,
    /// It is closed in favour of another caller.
    Stalled,
    Tick,
}

impl Connection {
    pub(crate) fn new(
        cx: Arc<ConnectionCx>,
        peer: SocketAddr,
        slot: CallerSlot,
        phase: watch::Receiver<Phase>,
    ) -> Connection {
        Connection { cx, peer, phase, activity: Arc::new(Activity::new(slot)) }
    }

    /// Serves the connection until it is closed or cut off.
    pub(crate) async fn serve(mut self, stream: TcpStream) {
        let io = TokioIo::new(WatchedStream::new(stream, Arc::clone(&self.activity)));
        let slot = Arc::clone(self.activity.slot());
        let intake = Intake::new(Arc::clone(&self.cx), self.peer, Arc::clone(&self.activity));
        let service = service_fn(move |req| intake.clone().answer(req));
        let mut connection = pin!(self.builder().serve_connection(io, service));
        loop {
            match *self.phase.borrow_and_update() {
                Phase::Aborted => return,
                Phase::Draining => connection.as_mut().graceful_shutdown(),
                Phase::Running | Phase::NotAccepting => {}
            }
            let Some(wait) = self.time_left() else { return };
            match next_event(connection.as_mut(), &mut self.phase, &slot, wait).await {
                Event::Closed(res) => return self.on_closed(res),
                Event::Stalled => return,
                Event::PhaseChanged | Event::Tick => {}
            }
        }
    }

    fn builder(&self) -> Builder {
        let mut builder = Builder::new();
        // The connection's own timer tells a slow head from an idle connection.
        builder.header_read_timeout(None);
        builder.max_buf_size(self.cx.cfg.max_header_bytes.max(MIN_BUF_BYTES));
        builder
    }

    /// Time until the connection is next looked at; nothing if it is too slow. What it does can
    /// change without a wake-up of its timer, so that it is looked at as often as the shorter
    /// limit tells, and cut off at twice the limit at the latest.
    fn time_left(&self) -> Option<Duration> {
        let cfg = &self.cx.cfg;
        let shorter = cfg.header_timeout.min(cfg.idle_timeout);
        let (doing, elapsed) = self.activity.now();
        let (limit, counter) = match doing {
            Stage::Head => (cfg.header_timeout, &self.cx.counters.header_timeouts),
            Stage::Idle => (cfg.idle_timeout, &self.cx.counters.idle_timeouts),
            Stage::Body | Stage::Serving | Stage::Answering => return Some(shorter),
        };
        if elapsed >= limit {
            count(counter);
            return None;
        }
        Some((limit - elapsed).min(shorter))
    }

    fn on_closed(&self, res: hyper::Result<()>) {
        if let Err(err) = res
            && err.is_parse()
        {
            count(&self.cx.counters.malformed);
        }
    }
}

type HyperConnection<S> = hyper::server::conn::http1::Connection<TokioIo<WatchedStream>, S>;

async fn next_event<S>(
    mut connection: std::pin::Pin<&mut HyperConnection<S>>,
    phase: &mut watch::Receiver<Phase>,
    slot: &CallerSlot,
    wait: Duration,
) -> Event
where
    S: hyper::service::HttpService<hyper::body::Incoming, ResBody = AnswerBody, Error = Cut>,
{
    let mut changed = pin!(phase.changed());
    let mut closing = pin!(slot.closing());
    let mut tick = pin!(sleep(wait));
    poll_fn(|cx| {
        // First, so that a body that completes just now isn't handed over.
        if closing.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Event::Stalled);
        }
        if let Poll::Ready(res) = connection.as_mut().poll(cx) {
            return Poll::Ready(Event::Closed(res));
        }
        if changed.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Event::PhaseChanged);
        }
        tick.as_mut().poll(cx).map(|()| Event::Tick)
    })
    .await
}
