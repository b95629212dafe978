//! Finds which engines of a quiet path are dead, by asking each.

use crate::process::{Gateway, LivePath, Unanswered};
use sorrellock_http::drain_event_loop;
use sorrellock_platform::read_report;
use sorrellock_routing::process::Incarnation;
use spdlog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time for an engine's report, on a kept connection and once more on a new one: some fifty round
/// trips inside a region.
const REPORT_LIMIT: Duration = Duration::from_millis(90);
/// What a gateway leaves to each one before it, in order of name, before it asks itself.
const TURN: Duration = Duration::from_millis(3);
/// The most of that: a path may have streams of the last gateway only.
const TURN_MOST: Duration = Duration::from_millis(30);
/// How often paths are looked at: a broken one is found a tenth of a pause late at most.
const WATCH_INTERVAL: Duration = Duration::from_millis(15);
/// After a longer lag, events that came meanwhile are read before paths are judged.
const TRUSTED_LAG: Duration = Duration::from_millis(10);
/// A path is asked at most this often: each report is priced.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Looks for quiet paths and has them checked, for ever.
pub(crate) async fn watch_paths(gateway: Rc<Gateway>) {
    loop {
        let due = Instant::now() + WATCH_INTERVAL;
        sleep_until(due).await;
        if due.elapsed() > TRUSTED_LAG {
            drain_event_loop().await;
        }
        let paths = gateway.paths.borrow();
        paths.break_suspected(Instant::now());
        let later = turn(&gateway);
        let quiet: Vec<Rc<LivePath>> = paths.quiet(Instant::now(), later).cloned().collect();
        drop(paths);
        for live in &quiet {
            check_path(&gateway, live);
        }
    }
}

/// How long this gateway leaves it to others to ask: they tell at once what they find.
fn turn(gateway: &Gateway) -> Duration {
    let beliefs = gateway.beliefs.borrow();
    let rank = beliefs.rank(&gateway.settings.instance, Instant::now());
    (TURN * rank).min(TURN_MOST)
}

/// Asks each engine of a path for a report, unless that was done just now. Those that don't
/// answer are suspected, and the lead hears of it.
pub(crate) fn check_path(gateway: &Rc<Gateway>, live: &Rc<LivePath>) {
    let now = Instant::now();
    if live.checked.get().is_some_and(|checked| now - checked < CHECK_INTERVAL) {
        return;
    }
    live.checked.set(Some(now));
    let data_centre = live.path.data_centre.as_str();
    info!("path checked", kv: { data_centre, engines = live.path.parts.len() });
    for part in &live.path.parts {
        let check = check_engine(Rc::clone(gateway), Rc::clone(live), part.life.clone(), part.addr);
        tokio::task::spawn_local(check);
    }
}

/// An engine that doesn't answer breaks the path, which is quiet already.
async fn check_engine(
    gateway: Rc<Gateway>,
    live: Rc<LivePath>,
    life: Incarnation,
    addr: SocketAddr,
) {
    let asked = Instant::now();
    let client = gateway.probe(&life, addr);
    match gateway.ask(REPORT_LIMIT, || read_report(&client, REPORT_LIMIT)).await {
        Ok(report) => {
            // An engine that started again breaks all its paths by that.
            gateway.on_answer_of(&life, addr, report.started, asked);
        }
        Err(Unanswered::Failed(err)) => {
            gateway.suspect(&life, &err.to_string());
            if live.is_quiet(Instant::now(), Duration::ZERO) {
                live.break_up();
            }
        }
        // Other gateways ask too, and so does the lead.
        Err(Unanswered::Inconclusive) => {}
    }
}
