//! Startup and shutdown of the process.

use crate::connection::accept_callers;
use crate::process::placer::Placer;
use crate::process::{
    Count, Gateway, Options, Peers, Phase, dispatch_capacity, exchange_held, expire_entries,
    follow, follow_eras, measure_lag, read_views, serve_internal_pages, set_up_log, sync_held,
    unix_now, watch_paths,
};
use sorrellock_http::{listen, listen_for_callers};
use sorrellock_platform::{Kind, Limits, Settings, Store, parse_settings};
use sorrellock_routing::process::{Incarnation, Leaving};
use spdlog::{error, info, warn};
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{Instant, sleep};

/// Timeout of the answer's head for calls of the store, except lists and watches: the store answers in milliseconds, a
/// slow one takes some fifty times as long. Lists and watches are abandoned sooner, by their schedule.
const STORE_HEAD_LIMIT: Duration = Duration::from_millis(1_500);
/// The same for a whole answer: a small instance takes long to read a full list or a large configuration.
const STORE_LIMIT: Duration = Duration::from_millis(4_500);
/// Interval at which expired connections and state are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the settings file is checked for changes made without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time from SIGTERM until idle connections are closed: by then load balancers mostly send elsewhere, and callers have
/// got their next answer with the notice that the connection closes.
const CLOSE_IDLE_AFTER: Duration = Duration::from_millis(3_000);
/// Part of the time between SIGTERM and SIGKILL that is reserved for the shutdown itself.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which an ending process checks for remaining answers.
const END_TICK: Duration = Duration::from_millis(50);
/// Maximum part of the margin for the answers of abandoned requests. They are a few hundred bytes each, but a process
/// with a tenth of a core may have a hundred of them.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval at which the shutdown checks whether they are written; meanwhile all tasks that can make progress run.
const LAST_ANSWERS_TICK: Duration = Duration::from_millis(10);
/// Port of the metrics page, which the deployment's file also names.
const METRICS_PORT: u16 = 9_464;

/// Why a gateway can't start.
#[derive(Debug)]
pub enum StartError {
    /// The settings are invalid.
    Settings(String),
    /// A listener or the runtime can't be created.
    Io {
        /// The step that failed.
        step: String,
        /// Why it failed.
        source: io::Error,
    },
    /// A task that should run as long as the process has ended, which is a bug. The process ends too, so that it is
    /// restarted as a whole.
    TaskEnded(String),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Settings(detail) => f.write_str(detail),
            StartError::Io { step, source } => write!(f, "{step}: {source}"),
            StartError::TaskEnded(how) => write!(f, "a task of the process ended: {how}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Reads and validates a settings file; starts nothing.
pub fn check(path: &Path) -> Result<(), StartError> {
    read_settings(path).map(|_| ())
}

fn read_settings(path: &Path) -> Result<Settings, StartError> {
    let text = std::fs::read_to_string(path)
        .map_err(|err| StartError::Settings(format!("{}: {err}", path.display())))?;
    parse_settings(&text).map_err(|err| StartError::Settings(format!("{}: {err}", path.display())))
}

/// Runs a gateway with a settings file until SIGTERM.
pub fn run(path: &Path, options: Options) -> Result<(), StartError> {
    let settings = read_settings(path)?;
    let _log = set_up_log();
    run_with(settings, options, path)
}

/// The same in a process that has set up its own logger.
pub fn run_with_log_set_up(path: &Path) -> Result<(), StartError> {
    run_with(read_settings(path)?, Options::default(), path)
}

fn run_with(settings: Settings, options: Options, path: &Path) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|source| io_error("runtime", source))?;
    let local = LocalSet::new();
    let res = local.block_on(&runtime, serve(settings, options, path));
    if let Err(err) = &res {
        let text = err.to_string();
        error!("gateway failed", kv: { err = text.as_str() });
    }
    res
}

fn io_error(step: impl Into<String>, source: io::Error) -> StartError {
    StartError::Io { step: step.into(), source }
}

/// The signals that the process handles.
struct Signals {
    terminate: Signal,
    hang_up: Signal,
}

impl Signals {
    fn new() -> Result<Signals, StartError> {
        let on = |kind: SignalKind| signal(kind).map_err(|err| io_error("signals", err));
        Ok(Signals { terminate: on(SignalKind::terminate())?, hang_up: on(SignalKind::hangup())? })
    }
}

async fn serve(settings: Settings, options: Options, path: &Path) -> Result<(), StartError> {
    // Before anything else: a signal without a handler ends the process.
    let signals = Signals::new()?;
    let incarnation = rand::random();
    let gateway = Rc::new(Gateway::new(settings, options, incarnation));
    let settings = &gateway.settings;
    let (instance, data_centre) = (settings.instance.as_str(), settings.data_centre.as_str());
    info!("gateway started", kv: {
        instance, data_centre, incarnation, version = env!("CARGO_PKG_VERSION")
    });
    let mut tasks = JoinSet::new();
    start_listeners(&gateway, &mut tasks)?;
    start_store_tasks(&gateway, &mut tasks).await?;
    tasks.spawn_local(measure_lag(Rc::clone(&gateway)));
    tasks.spawn_local(sweep(Rc::clone(&gateway)));
    tasks.spawn_local(watch_paths(Rc::clone(&gateway)));
    handle_signals(&gateway, path, signals, tasks).await
}

fn start_listeners(gateway: &Rc<Gateway>, tasks: &mut JoinSet<()>) -> Result<(), StartError> {
    let settings = &gateway.settings;
    let failed = |addr: SocketAddr| move |err| io_error(format!("listen at {addr}"), err);
    let bound = |addr: SocketAddr| listen(addr).map_err(failed(addr));
    let callers = listen_for_callers(settings.callers).map_err(failed(settings.callers))?;
    for addr in [
        settings.readiness,
        SocketAddr::new(settings.ip, settings.peer_port),
        SocketAddr::new(settings.ip, METRICS_PORT),
    ] {
        tasks.spawn_local(serve_internal_pages(Rc::clone(gateway), bound(addr)?));
    }
    tasks.spawn_local(accept_callers(Rc::clone(gateway), callers));
    Ok(())
}

async fn start_store_tasks(
    gateway: &Rc<Gateway>,
    tasks: &mut JoinSet<()>,
) -> Result<(), StartError> {
    let settings = &gateway.settings;
    let limits = Limits { head: STORE_HEAD_LIMIT, whole: STORE_LIMIT };
    let store = Store::new(settings.store, limits)
        .with_eras(gateway.eras.clone())
        .with_calls(gateway.store_calls.clone());
    let addr = SocketAddr::new(settings.ip, settings.peer_port);
    let socket = UdpSocket::bind(addr).await;
    let socket = socket.map_err(|err| io_error(format!("messages at {addr}"), err))?;
    *gateway.store.borrow_mut() = Some(store.clone());
    let view_log = Rc::new(RefCell::new(None));
    let peers = Rc::new(Peers::new(Rc::clone(gateway), socket, Rc::clone(&view_log)));
    tasks.spawn_local(follow(Rc::clone(gateway), store.clone(), Kind::Configuration));
    tasks.spawn_local(follow(Rc::clone(gateway), store.clone(), Kind::Endpoints));
    tasks.spawn_local(follow_eras(Rc::clone(gateway)));
    tasks.spawn_local(expire_entries(Rc::clone(gateway)));
    tasks.spawn_local(Rc::clone(&peers).register(store.clone()));
    tasks.spawn_local(Rc::clone(&peers).write_first_gateways(store.clone()));
    tasks.spawn_local(Rc::clone(&peers).listen());
    tasks.spawn_local(Rc::clone(&peers).catch_up());
    tasks.spawn_local(dispatch_capacity(Rc::clone(gateway)));
    tasks.spawn_local(exchange_held(Rc::clone(gateway)));
    tasks.spawn_local(read_views(Rc::clone(gateway)));
    tasks.spawn_local(sync_held(Rc::clone(gateway), store.clone()));
    tasks.spawn_local(Rc::clone(&peers).report_freed());
    tasks.spawn_local(peers.send_messages());
    tasks.spawn_local(Placer::new(Rc::clone(gateway), view_log).run(store));
    Ok(())
}

/// Drops expired connections and the state of ended incarnations, and recomputes the paths as suspicions expire,
/// indefinitely.
async fn sweep(gateway: Rc<Gateway>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let knowledge = gateway.knowledge.borrow();
        let is_current = |incarnation: &Incarnation| knowledge.is_current(incarnation);
        let is_used = |incarnation: &Incarnation| {
            is_current(incarnation) && !knowledge.is_unusable(&incarnation.id)
        };
        gateway.pool.borrow_mut().sweep(Instant::now(), is_used);
        gateway.probes.borrow_mut().retain(|incarnation, _| is_used(incarnation));
        gateway.limits.borrow_mut().retain(is_current);
        gateway.drop_old_permits(is_current);
        gateway.drop_old_keepers();
        gateway.backoffs.borrow_mut().retain(is_current, Instant::now().into_std());
        gateway.invalid_notices.borrow_mut().retain(|(endpoint, _)| is_current(endpoint));
        gateway
            .uses
            .borrow_mut()
            .retain(|incarnation, used| used.in_flight > 0 || is_current(incarnation));
        drop(knowledge);
        let now = Instant::now().into_std();
        gateway.crash_guard.borrow_mut().drop_expired(now, unix_now());
        gateway.refresh_paths();
    }
}

async fn handle_signals(
    gateway: &Rc<Gateway>,
    path: &Path,
    mut signals: Signals,
    mut tasks: JoinSet<()>,
) -> Result<(), StartError> {
    let mut known = std::fs::read(path).ok();
    loop {
        let is_signalled = tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hang_up.recv() => true,
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
            Some(ended) = tasks.join_next() => {
                let how = ended.map_or_else(|err| err.to_string(), |()| "in order".to_owned());
                return Err(StartError::TaskEnded(how));
            }
        };
        let now = std::fs::read(path).ok();
        if is_signalled || now != known {
            reload_settings(gateway, path);
        }
        known = now;
    }
    leave(gateway).await;
    Ok(())
}

/// Reloads the settings file: bounds take effect at once, the rest after a restart.
fn reload_settings(gateway: &Gateway, path: &Path) {
    let settings = match read_settings(path) {
        Ok(settings) => settings,
        Err(err) => {
            let text = err.to_string();
            error!("invalid settings ignored", kv: { err = text.as_str() });
            return;
        }
    };
    info!("settings reloaded");
    if settings.bounds != gateway.bounds.get() {
        gateway.set_bounds(settings.bounds);
    }
    let needs_restart = Settings { bounds: gateway.settings.bounds, ..settings };
    if needs_restart != gateway.settings {
        warn!("settings changed: names and addresses take effect after a restart");
    }
}

/// Shuts down gracefully: running calls are finished, within the time before SIGKILL. A call that is left then gets a
/// final answer: if its connection were just closed, its caller couldn't tell that it may have run.
async fn leave(gateway: &Rc<Gateway>) {
    let began = Instant::now();
    let in_flight = gateway.in_flight.get();
    info!("gateway leaving", kv: { in_flight });
    let max_wait = gateway.bounds.get().grace.saturating_sub(END_MARGIN);
    gateway
        .leaving
        .set(Some(Leaving { signalled: began.into_std(), ends: (began + max_wait).into_std() }));
    gateway.phase.send_replace(Phase::Leaving);
    while began.elapsed() < max_wait && !is_done(gateway) {
        if began.elapsed() >= CLOSE_IDLE_AFTER {
            gateway.advance_phase(Phase::Closing);
        }
        sleep(END_TICK).await;
    }
    if !is_done(gateway) {
        gateway.advance_phase(Phase::Ending);
        write_last_answers(gateway).await;
    }
    gateway.advance_phase(Phase::Ended);
    let in_flight = gateway.in_flight.get();
    let answering = gateway.answering.get();
    let refused = gateway.counters.get(Count::RefusedLeaving);
    info!("gateway ended", kv: {
        in_flight, answering, refused, ms = began.elapsed().as_millis() as u64
    });
}

/// Waits until requests without an answer have got their final one. A fixed pause isn't enough: this function is polled
/// before the requests' own tasks, and a late process might end with none of them polled.
async fn write_last_answers(gateway: &Gateway) {
    let until = Instant::now() + LAST_ANSWERS_TIMEOUT;
    while gateway.unanswered.get() > 0 && Instant::now() < until {
        sleep(LAST_ANSWERS_TICK).await;
    }
    // The last one is written when its connection is polled next.
    sleep(LAST_ANSWERS_TICK).await;
}

/// Returns whether nothing is left to answer. An answer counts until it is written: its request may have ended before,
/// and a caller that reads slowly would lose the rest.
fn is_done(gateway: &Gateway) -> bool {
    let is_closing = *gateway.phase.borrow() >= Phase::Closing;
    is_closing && gateway.in_flight.get() == 0 && gateway.answering.get() == 0
}
