//! The figures of a run, in a few lines.

use super::callers::Seen;
use super::check::{Condition, Facts, QUESTIONS_MS};
use super::evidence::Line;
use super::exchange::{End, Exchange};
use super::lag::Lag;
use super::options::Options;
use super::quota::Usage;
use std::collections::{BTreeMap, BTreeSet};

/// Counts by a key.
fn counted<K: Ord>(keys: impl Iterator<Item = K>) -> BTreeMap<K, usize> {
    let mut counts = BTreeMap::new();
    keys.for_each(|key| *counts.entry(key).or_default() += 1);
    counts
}

/// The figures of a run.
pub fn report(seed: u64, facts: &Facts<'_>, seen: &mut Seen) -> String {
    let Options { variant, gateways, share, streams, load, seconds, .. } = &facts.world.options;
    format!(
        "seed {seed}, {variant:?}, {gateways} gateways, share {share}, {streams} streams at load {load}, {seconds} s\n\
         {}\n{}\n{}\n",
        report_callers(facts, &seen.exchanges),
        report_engines(facts),
        report_machine(facts, &mut seen.lag),
    )
}

fn report_callers(facts: &Facts<'_>, seen: &[Exchange]) -> String {
    let (streams, calls): (Vec<&Exchange>, _) = seen.iter().partition(|one| one.ask.is_stream);
    let whole = |all: &[&Exchange]| all.iter().filter(|one| one.is_served()).count();
    let ended = |end| seen.iter().filter(move |one| one.end == end);
    let statuses = counted(ended(End::Whole).filter_map(|one| one.status));
    let ends = counted(seen.iter().map(|one| one.end));
    let broke = counted(ended(End::Broke).map(|one| facts.why_broken(one)));
    format!(
        "streams {}, whole {}; calls {}, whole {}; statuses {statuses:?}; {ends:?}; broke {broke:?}",
        streams.len(),
        whole(&streams),
        calls.len(),
        whole(&calls),
    )
}

fn report_engines(facts: &Facts<'_>) -> String {
    let evidence = &facts.evidence;
    let conditions = |lines: &mut dyn Iterator<Item = &Line>| {
        counted(lines.map(|line| facts.condition(&line.engine, line.at_ms)))
    };
    let why = evidence.doubts().map(|line| line.text("why"));
    let why = counted(why.map(|why| why.split_once(':').map_or(why, |(cause, _)| cause)));
    let number = |what| evidence.judged(what).count();
    let unfounded: Vec<&Line> = facts.unfounded().collect();
    let was_still =
        |line: &&&Line| facts.stood_still_ms(line.gateway, line.at_ms) > QUESTIONS_MS / 2;
    let while_still = unfounded.iter().filter(was_still).count();
    format!(
        "engines suspected {:?}, taken to be dead {:?}; paths checked {}, moves {}\n\
         runs in doubt {:?} {why:?}; failovers done {}, withdrawn {}, run kept {}; attempts in doubt {}\n\
         engines that were well, and suspected by a gateway itself for want of an answer: {}, of them {while_still} by one that stood \
         still for most of that time",
        conditions(&mut evidence.judged("endpoint suspected")),
        conditions(&mut evidence.judged("engine taken to be dead")),
        number("path checked"),
        number("stream moved to another path"),
        conditions(&mut evidence.doubts()),
        number("failover done"),
        number("failover withdrawn, the run goes on"),
        number("failover not possible, run kept"),
        number("attempt in doubt"),
        unfounded.len(),
    )
}

fn report_machine(facts: &Facts<'_>, lag: &mut Lag) -> String {
    let Usage { periods, throttled_periods, cpu, waited } = facts.world.quotas.usage();
    let throttled = throttled_periods as f64 / periods.max(1) as f64 * 100.0;
    let most_late = facts.late.iter().map(|late| late.late).max().unwrap_or_default();
    format!(
        "throttled in {throttled:.0} % of periods, processor {:.1} s, waited for a processor {:.2} s\n\
         lag of the callers' runtimes p50 {:?} p99 {:?} p99.9 {:?} most {:?}; of engines over 20 ms {} times, most {most_late:?}; \
         of the quota {:?}",
        cpu.as_secs_f64(),
        waited.as_secs_f64(),
        lag.quantile(0.5),
        lag.quantile(0.99),
        lag.quantile(0.999),
        lag.quantile(1.0),
        facts.late.len(),
        facts.world.quotas.most_late(),
    )
}

/// The figures of requests that were truncated against the promise.
pub fn report_broken(facts: &Facts<'_>, broken: &[&Exchange]) -> String {
    let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
    let mut engines: BTreeMap<&str, usize> = BTreeMap::new();
    let (mut gateways, mut of_well_engines) = (BTreeSet::new(), 0);
    for one in broken {
        let lines = facts.evidence.of(&one.ask.request);
        let end = lines.iter().rfind(|line| line.what == "request ended");
        *ends.entry(end.map_or("no line tells", |line| line.text("why"))).or_default() += 1;
        let doubts: Vec<&Line> = lines.iter().filter(|line| line.is_doubt()).collect();
        let is_well = |line: &Line| facts.condition(&line.engine, line.at_ms) == Condition::Well;
        if let Some(last) = lines.iter().rfind(|line| !line.engine.is_empty()) {
            *engines.entry(&last.engine).or_default() += 1;
        }
        let is_of_well = !doubts.is_empty() && doubts.into_iter().all(is_well);
        of_well_engines += usize::from(is_of_well);
        gateways.insert(one.gateway);
    }
    format!(
        "truncated against the promise: {}, of them {of_well_engines} with engines that were well; at {} gateways, by the last \
         engine {engines:?}; {ends:?}\n",
        broken.len(),
        gateways.len(),
    )
}
