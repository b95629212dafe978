//! Tells what became of a change, and waits until it is in force.

use crate::cli::Exit;
use crate::operate::operate_error::exit_of;
use crate::operate::{OperateError, OperatorCx, members};
use clap::ArgMatches;
use serde_json::{Value, json};
use sorrellock_core::id::Revision;
use sorrellock_core::version::InForce;
use sorrellock_ports::config::{ChangeReport, PageReport};
use std::thread;
use std::time::{Duration, Instant};

/// How often `--wait` looks again.
const POLL: Duration = Duration::from_millis(100);

/// Prints what became of a change; with `--wait` it waits until the change is in force.
pub(super) fn finish(
    cx: &OperatorCx,
    args: &ArgMatches,
    report: &ChangeReport,
) -> Result<Exit, OperateError> {
    for (page, err) in report.failures() {
        eprintln!("sorrellock: {}: {err}", page.items.join(", "));
    }
    let written = report.is_complete();
    let in_force = match written && args.get_flag("wait") {
        true => Some(wait(cx, report.revision())?),
        false => None,
    };
    print(cx, report, in_force.as_ref());
    Ok(match in_force {
        Some(found) if !found.is_everywhere() => Exit::NotInForce,
        _ if written => Exit::Done,
        _ => failed(report),
    })
}

/// The exit code where not all pages took the change.
fn failed(report: &ChangeReport) -> Exit {
    let failures: Vec<_> = report.failures().map(|(_, err)| err).collect();
    if failures.iter().any(|err| err.may_have_taken_effect()) {
        return Exit::Unknown;
    }
    match report.pages.iter().any(|page| page.outcome.is_ok()) {
        true => Exit::Partial,
        false => failures.first().map_or(Exit::Done, |err| exit_of(err)),
    }
}

fn wait(cx: &OperatorCx, revision: Revision) -> Result<InForce, OperateError> {
    let end = Instant::now() + cx.timeout;
    loop {
        let found = in_force(cx, revision)?;
        if found.is_everywhere() || Instant::now() > end {
            return Ok(found);
        }
        thread::sleep(POLL);
    }
}

fn in_force(cx: &OperatorCx, revision: Revision) -> Result<InForce, OperateError> {
    let (_, members) = members(cx.daemons()?)?;
    Ok(InForce::count(&members, revision))
}

fn print(cx: &OperatorCx, report: &ChangeReport, in_force: Option<&InForce>) {
    let mut text = sentence(report);
    if let Some(found) = in_force {
        text.push_str(&format!("; in force on {} of {}", found.at, found.of));
        if !found.missing.is_empty() {
            text.push_str(&format!(", not yet on {}", missing(found).join(", ")));
        }
    }
    cx.output.sentence(&text, || as_json(report, in_force));
}

fn missing(found: &InForce) -> Vec<String> {
    found.missing.iter().map(|peer| peer.addr.to_string()).collect()
}

fn sentence(report: &ChangeReport) -> String {
    let (change, revision) = (report.change, report.revision());
    let pages = report.pages.len();
    let written = report.pages.iter().filter(|page| page.outcome.is_ok()).count();
    let same = |page: &PageReport| page.outcome.as_ref().is_ok_and(|written| written.unchanged);
    if report.pages.iter().all(same) {
        return format!("nothing to change; it is so since revision {revision}");
    }
    match written == pages {
        true => format!("changed at revision {revision} (change {change:016x})"),
        false => {
            format!(
                "changed {written} of {pages} pages, up to revision {revision} (change {change:016x})"
            )
        }
    }
}

fn as_json(report: &ChangeReport, in_force: Option<&InForce>) -> Value {
    let page = |page: &PageReport| match &page.outcome {
        Ok(written) => json!({
            "page": page.page.key(),
            "items": page.items,
            "revision": written.revision,
            "unchanged": written.unchanged,
            "retries": written.retries,
        }),
        Err(err) => {
            json!({ "page": page.page.key(), "items": page.items, "error": err.to_string() })
        }
    };
    let in_force =
        in_force.map(|found| json!({ "at": found.at, "of": found.of, "missing": missing(found) }));
    json!({
        "change": format!("{:016x}", report.change),
        "revision": report.revision(),
        "pages": report.pages.iter().map(page).collect::<Vec<_>>(),
        "in_force": in_force,
    })
}
