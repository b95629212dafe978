//! Finds which engines of a quiet path are dead, by asking each.

use crate::process::{Count, Gateway, LivePath, Unanswered};
use sorrellock_http::drain_event_loop;
use sorrellock_platform::{CallError, read_report};
use sorrellock_routing::process::{FailureEvidence, PathPart, probe_delay};
use spdlog::info;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Time for an engine's report, on a kept connection and once more on a new one: some fifty round
/// trips inside a region.
const REPORT_LIMIT: Duration = Duration::from_millis(90);
/// Engines without an answer in one check from which on they are asked once more before any is suspected: a late process
/// can't judge its peers.
const MANY_SILENT: usize = 3;
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
        gateway.take_reported_failures();
        let now = Instant::now();
        let paths = gateway.paths.borrow();
        paths.break_suspected(now);
        let quiet: Vec<Rc<LivePath>> = paths.quiet(now).cloned().collect();
        drop(paths);
        for live in quiet.iter().filter(|live| is_turn(&gateway, live, now)) {
            check_path(&gateway, live);
        }
    }
}

/// Whether it is this gateway's turn to probe an idle path: others with streams on it may go first, and report
/// what they find.
fn is_turn(gateway: &Gateway, live: &LivePath, now: Instant) -> bool {
    let head = &live.path.first().incarnation;
    let data_centre = &live.path.data_centre;
    let beliefs = gateway.beliefs.borrow();
    let before = beliefs.probers_before(head, data_centre, gateway.incarnation, now);
    live.is_quiet(now, probe_delay(before))
}

/// Asks each engine of a path for a report, unless that was done just now or the path is known to be broken. Those that
/// don't answer are suspected, and the lead hears of it.
pub(crate) fn check_path(gateway: &Rc<Gateway>, live: &Rc<LivePath>) {
    if live.is_broken() || !is_due(&live.checked) {
        return;
    }
    let data_centre = live.path.data_centre.as_str();
    info!("path checked", kv: { data_centre, engines = live.path.parts.len() });
    let round = Round::new(live.path.parts.len());
    live.path.parts.iter().for_each(|part| spawn_check(gateway, live, part, &round));
}

/// Asks the first engine of a path alone: a connection to it broke, which tells nothing of the others.
pub(crate) fn check_first(gateway: &Rc<Gateway>, live: &Rc<LivePath>) {
    if is_due(&live.first_checked) {
        spawn_check(gateway, live, live.path.first(), &Round::new(1));
    }
}

/// Notes a check, unless one was made just now.
fn is_due(checked: &Cell<Option<Instant>>) -> bool {
    let now = Instant::now();
    let is_due = checked.get().is_none_or(|checked| now - checked >= CHECK_INTERVAL);
    if is_due {
        checked.set(Some(now));
    }
    is_due
}

/// Engines that are asked at the same moment. The last ones to answer tell how late this process is.
#[derive(Clone)]
struct Round {
    unanswered: Rc<Cell<usize>>,
}

impl Round {
    fn new(engines: usize) -> Round {
        Round { unanswered: Rc::new(Cell::new(engines)) }
    }

    fn on_answer(&self) {
        self.unanswered.set(self.unanswered.get() - 1);
    }

    /// Whether so many engines gave no answer that this process, or its way to them, is likelier to be at fault.
    fn is_doubtful(&self) -> bool {
        self.unanswered.get() >= MANY_SILENT
    }
}

fn spawn_check(gateway: &Rc<Gateway>, live: &Rc<LivePath>, part: &PathPart, round: &Round) {
    let check = check_engine(Rc::clone(gateway), Rc::clone(live), part.clone(), round.clone());
    tokio::task::spawn_local(check);
}

/// An engine that doesn't answer breaks the path, which is quiet already.
async fn check_engine(gateway: Rc<Gateway>, live: Rc<LivePath>, part: PathPart, round: Round) {
    let mut res = ask_for_report(&gateway, &part).await;
    if matches!(&res, Err(Unanswered::Failed(err)) if err.silence().is_some())
        && round.is_doubtful()
    {
        gateway.counters.add(Count::QuestionsHeldUp);
        res = ask_for_report(&gateway, &part).await;
    }
    match res {
        Ok(()) => round.on_answer(),
        Err(Unanswered::Failed(err)) => {
            gateway.suspect(&part.incarnation, evidence_of(&err), &err.to_string());
            if live.is_quiet(Instant::now(), Duration::ZERO) {
                live.mark_broken();
            }
        }
        // Other gateways ask too, and so does the lead.
        Err(Unanswered::Inconclusive) => {}
    }
}

async fn ask_for_report(gateway: &Rc<Gateway>, part: &PathPart) -> Result<(), Unanswered> {
    let asked = Instant::now();
    let client = gateway.probe(&part.incarnation, part.addr);
    let report = gateway.ask(&client, REPORT_LIMIT, |limit| read_report(&client, limit)).await?;
    // An engine that started again breaks all its paths by that.
    gateway.on_answer_of(&part.incarnation, part.addr, report.started, asked);
    Ok(())
}

fn evidence_of(err: &CallError) -> FailureEvidence {
    match err.silence() {
        Some(_) => FailureEvidence::NoAnswer,
        None => FailureEvidence::Refused,
    }
}
