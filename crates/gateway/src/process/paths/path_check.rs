//! Probes the engines of an idle path to find dead ones.

use crate::process::{AnswerOf, Count, Gateway, LivePath, Unanswered};
use sorrellock_http::drain_event_loop;
use sorrellock_platform::{CallError, read_report};
use sorrellock_routing::process::{FailureEvidence, PathPart, probe_delay};
use spdlog::info;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Timeout of a request for an engine's report, on a kept connection and once more on a new one: about fifty round
/// trips within a region.
const REPORT_TIMEOUT: Duration = Duration::from_millis(90);
/// Number of engines without an answer in one check from which they are probed once more before any is suspected:
/// a process that runs late can't tell whether its peers are at fault.
const MANY_SILENT: usize = 3;
/// Interval at which paths are checked: a broken one is found at most a tenth of a pause late.
const WATCH_INTERVAL: Duration = Duration::from_millis(15);
/// Lag of the event loop above which events that arrived meanwhile are read before paths are evaluated.
const MAX_TRUSTED_LAG: Duration = Duration::from_millis(10);
/// Minimum interval between checks of a path: each report has a cost.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Finds idle paths and checks them, indefinitely.
pub(crate) async fn watch_paths(gateway: Rc<Gateway>) {
    loop {
        let due = Instant::now() + WATCH_INTERVAL;
        sleep_until(due).await;
        if due.elapsed() > MAX_TRUSTED_LAG {
            drain_event_loop().await;
        }
        gateway.apply_reported_failures();
        let now = Instant::now();
        let paths = gateway.paths.borrow();
        paths.break_suspected(now);
        let idle: Vec<Rc<LivePath>> = paths.idle(now).cloned().collect();
        drop(paths);
        for live in idle.iter().filter(|live| is_turn(&gateway, live, now)) {
            check_path(&gateway, live);
        }
    }
}

/// Returns whether it is this gateway's turn to probe an idle path: others with streams on it may go first and
/// report what they find.
fn is_turn(gateway: &Gateway, live: &LivePath, now: Instant) -> bool {
    let head = &live.path.first().incarnation;
    let data_centre = &live.path.data_centre;
    let fleet_state = gateway.fleet_state.borrow();
    let before = fleet_state.probers_before(head, data_centre, gateway.incarnation, now);
    live.is_idle(now, probe_delay(before))
}

/// Requests a report from each engine of a path, unless that was done just now or the path is known to be broken.
/// Engines that don't answer are suspected and reported to the lead.
pub(crate) fn check_path(gateway: &Rc<Gateway>, live: &Rc<LivePath>) {
    if live.is_broken() || !is_due(&live.checked) {
        return;
    }
    let data_centre = live.path.data_centre.as_str();
    info!("path checked", kv: { data_centre, engines = live.path.parts.len() });
    let round = ProbeRound::new(live.path.parts.len());
    live.path.parts.iter().for_each(|part| spawn_check(gateway, live, part, &round));
}

/// Probes only the first engine of a path, after a connection to it broke: that is no evidence about the others.
pub(crate) fn check_first(gateway: &Rc<Gateway>, live: &Rc<LivePath>) {
    if is_due(&live.first_checked) {
        spawn_check(gateway, live, live.path.first(), &ProbeRound::new(1));
    }
}

/// Records a check, unless one was made just now. Returns whether a check is due.
fn is_due(checked: &Cell<Option<Instant>>) -> bool {
    let now = Instant::now();
    let is_due = checked.get().is_none_or(|checked| now - checked >= CHECK_INTERVAL);
    if is_due {
        checked.set(Some(now));
    }
    is_due
}

/// Engines that are probed at the same moment. The number of missing answers shows whether this process is late.
#[derive(Clone)]
struct ProbeRound {
    unanswered: Rc<Cell<usize>>,
}

impl ProbeRound {
    fn new(engines: usize) -> ProbeRound {
        ProbeRound { unanswered: Rc::new(Cell::new(engines)) }
    }

    fn on_answer(&self) {
        self.unanswered.set(self.unanswered.get() - 1);
    }

    /// Returns whether so many engines gave no answer that this process, or the network between, is more likely at
    /// fault.
    fn is_inconclusive(&self) -> bool {
        self.unanswered.get() >= MANY_SILENT
    }
}

fn spawn_check(gateway: &Rc<Gateway>, live: &Rc<LivePath>, part: &PathPart, round: &ProbeRound) {
    let check = check_engine(Rc::clone(gateway), Rc::clone(live), part.clone(), round.clone());
    tokio::task::spawn_local(check);
}

/// Probes one engine. If it fails, it is suspected, and the path breaks if it is still idle.
async fn check_engine(gateway: Rc<Gateway>, live: Rc<LivePath>, part: PathPart, round: ProbeRound) {
    let mut res = request_report(&gateway, &part).await;
    if matches!(&res, Err(Unanswered::Failed(err)) if err.silence().is_some())
        && round.is_inconclusive()
    {
        gateway.counters.add(Count::QuestionsHeldUp);
        res = request_report(&gateway, &part).await;
    }
    match res {
        Ok(()) => round.on_answer(),
        Err(Unanswered::Failed(err)) => {
            gateway.suspect(&part.incarnation, evidence_of(&err), &err.to_string());
            if live.is_idle(Instant::now(), Duration::ZERO) {
                live.mark_broken();
            }
        }
        // Other gateways and the lead probe it too.
        Err(Unanswered::Inconclusive) => {}
    }
}

async fn request_report(gateway: &Rc<Gateway>, part: &PathPart) -> Result<(), Unanswered> {
    let asked = Instant::now();
    let client = gateway.probe(&part.incarnation, part.addr);
    let report =
        gateway.query(&client, REPORT_TIMEOUT, |limit| read_report(&client, limit)).await?;
    // A restarted engine breaks all its paths.
    let answer_of = gateway.on_answer_of(&part.incarnation, part.addr, report.started, asked);
    if report.is_leaving && answer_of == AnswerOf::SameIncarnation {
        gateway.on_leaving_answered(&part.incarnation);
    }
    Ok(())
}

fn evidence_of(err: &CallError) -> FailureEvidence {
    match err.silence() {
        Some(_) => FailureEvidence::NoAnswer,
        None => FailureEvidence::Refused,
    }
}
