//! The promise, checked from what callers saw and engines ran: a request that was read whole and passed on to an engine gets
//! its whole answer, unless the engine broke off, the caller left, its time was over, or the gateway's own time was.

use super::configs::LEAST_TIMEOUT_MS;
use super::evidence::{Evidence, Line};
use super::exchange::{DEADLINE, End, Exchange};
use super::lag::LateEngine;
use super::quota::Standstill;
use super::world::{EVENTS, GRACE, World};
use crate::soak::promises::check_events;
use std::collections::HashMap;
use std::fmt::Write;

/// A request that ends so soon after it was sent may not have been read.
const LOSS_SLACK_MS: u64 = 200;
/// An answer that breaks so long after an engine's end broke by it.
const BREAK_SLACK_MS: u64 = 500;
/// A request sent so long after SIGTERM at most may meet the end of grace.
const SENT_AFTER_SIGNAL_MS: u64 = 3_000;
/// Judgements of so long before an end are shown with it.
const SHOWN_MS: u64 = 1_000;
const MOST_SHOWN: usize = 25;
/// An engine is asked twice for so long in all until it is suspected.
pub const QUESTIONS_MS: u64 = 180;
/// Reasons of a suspicion that tell of a time limit alone.
const SILENCES: [&str; 4] = ["no answer in", "no whole answer in", "no connection in", "timed out"];
/// An engine that was late so short a time before a judgement was not well.
const LATE_WINDOW_MS: u64 = 400;

/// How an engine was when it was judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Condition {
    Well,
    /// The stand-in's own thread was late.
    Late,
    Paused,
    Ended,
}

/// Why an answer wasn't whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// No gateway read it whole.
    NotRead,
    /// It was read, and ended so soon that it need not have been passed on to an engine.
    NotPassedOn,
    EngineBrokeOff,
    TimeOver,
    /// It met the end of the gateway's grace.
    EndOfGrace,
    /// None of these: the promise is broken.
    Unexcused,
}

/// What was run, and how engines were.
pub struct Facts<'a> {
    pub world: &'a World,
    pub evidence: Evidence,
    pub late: Vec<LateEngine>,
    /// When each gateway stood still, by its index.
    standstills: HashMap<usize, Vec<Standstill>>,
    /// The engines that ran each request as the first of its path.
    runs: HashMap<String, Vec<usize>>,
}

impl Facts<'_> {
    pub fn gather(world: &World) -> Facts<'_> {
        let mut runs: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, engine) in world.engines.iter().enumerate() {
            for request in engine.fake.seen().runs.into_keys() {
                runs.entry(request).or_default().push(index);
            }
        }
        for service in &world.services {
            for request in service.all_runs().into_keys() {
                runs.entry(request).or_default();
            }
        }
        let evidence = Evidence::read(world);
        let (late, standstills) = (world.engine_lag.late(), standstills(world));
        Facts { world, evidence, late, standstills, runs }
    }

    /// For how long a gateway stood still in the time in which an engine's two questions run, in ms.
    pub fn stood_still_ms(&self, gateway: usize, at_ms: u64) -> u64 {
        let from = at_ms - QUESTIONS_MS;
        let overlap = |one: &Standstill| one.to_ms.min(at_ms).saturating_sub(one.from_ms.max(from));
        self.standstills.get(&gateway).into_iter().flatten().map(overlap).sum()
    }

    /// Suspicions of engines that were well, each found by a gateway itself as the engine brought no answer.
    pub fn unfounded(&self) -> impl Iterator<Item = &Line> {
        let suspected = self.evidence.judged("endpoint suspected");
        suspected.filter(|line| {
            SILENCES.iter().any(|silence| line.text("why").contains(silence))
                && self.condition(&line.engine, line.at_ms) == Condition::Well
        })
    }

    /// How an engine was at a time.
    pub fn condition(&self, id: &str, at_ms: u64) -> Condition {
        let Some(engine) = self.world.engines.iter().find(|engine| engine.fake.id() == id) else {
            return Condition::Well;
        };
        if engine.ended_ms.is_some_and(|ended| ended <= at_ms) {
            return Condition::Ended;
        }
        let was_paused =
            |(from, to): &(u64, u64)| *from <= at_ms && at_ms < to.saturating_add(LATE_WINDOW_MS);
        if engine.pauses.iter().any(was_paused) {
            return Condition::Paused;
        }
        let is_late =
            |late: &&LateEngine| late.engine == id && late.at_ms.abs_diff(at_ms) < LATE_WINDOW_MS;
        if self.late.iter().any(|late| is_late(&late)) { Condition::Late } else { Condition::Well }
    }

    /// Why a connection that ended before the answer did.
    pub fn why_broken(&self, seen: &Exchange) -> Why {
        let lines = self.evidence.of(&seen.ask.request);
        let is_read = lines.iter().any(|line| line.what == "request taken");
        let ran = self.runs.get(&seen.ask.request);
        let took_ms = seen.ended_ms - seen.sent_ms;
        let engine_ended = |index: &usize| {
            let ended = self.world.engines[*index].ended_ms;
            ended.is_some_and(|ended| {
                seen.sent_ms <= ended && ended <= seen.ended_ms + BREAK_SLACK_MS
            })
        };
        if ran.is_none() && !is_read {
            Why::NotRead
        } else if ran.is_none() && took_ms <= LOSS_SLACK_MS {
            Why::NotPassedOn
        } else if ran.is_some_and(|engines| engines.iter().any(engine_ended)) {
            Why::EngineBrokeOff
        } else if took_ms >= LEAST_TIMEOUT_MS.min(DEADLINE.as_millis() as u64) {
            Why::TimeOver
        } else if self.meets_end_of_grace(seen) {
            Why::EndOfGrace
        } else {
            Why::Unexcused
        }
    }

    /// Whether a gateway's last sixth of grace ended a request that was sent before its signal, or shortly after.
    fn meets_end_of_grace(&self, seen: &Exchange) -> bool {
        let last_sixth_ms = GRACE.as_millis() as u64 * 5 / 6;
        let signals = self.world.nodes[seen.gateway]
            .incarnations
            .iter()
            .filter_map(|incarnation| incarnation.told_to_end_ms);
        signals.into_iter().any(|signal| {
            seen.sent_ms <= signal + SENT_AFTER_SIGNAL_MS
                && (signal + last_sixth_ms..=signal + 2 * last_sixth_ms).contains(&seen.ended_ms)
        })
    }

    /// The exchanges that break the promise.
    pub fn violations<'s>(&self, seen: &'s [Exchange]) -> Vec<&'s Exchange> {
        let broken = seen.iter().filter(|seen| seen.end == End::Broke);
        broken.filter(|seen| self.why_broken(seen) == Why::Unexcused).collect()
    }

    /// Streams that hold what is not their own, in words.
    pub fn disordered(&self, seen: &[Exchange]) -> Vec<String> {
        let streams = seen.iter().filter(|seen| seen.ask.is_stream && seen.status == Some(200));
        let broken = streams.filter_map(|seen| {
            check_events(&seen.ask.request, &seen.body, seen.end == End::Whole, EVENTS).err()
        });
        broken.collect()
    }

    /// A broken promise with its request's lines, and what was judged in the second before.
    pub fn describe(&self, seen: &Exchange) -> String {
        let request = &seen.ask.request;
        let lines = self.evidence.of(request);
        let at_ms = lines.last().map_or(seen.ended_ms, |line| line.at_ms);
        let engines = self.runs.get(request).into_iter().flatten();
        let engines: Vec<&str> =
            engines.map(|index| self.world.engines[*index].fake.id()).collect();
        let mut text = format!(
            "{request} {} at {} broke {} ms after it was sent, with {} bytes, run by {engines:?}\n",
            seen.ask.route,
            self.world.nodes[seen.gateway].name,
            seen.ended_ms - seen.sent_ms,
            seen.body.len()
        );
        for line in lines {
            self.write_line(&mut text, line, at_ms);
        }
        let is_near = |line: &&Line| line.at_ms <= at_ms && at_ms - line.at_ms <= SHOWN_MS;
        // Of other gateways, what they judged of its engines; of its own, also what became of other streams.
        let concerns = |line: &&Line| {
            let is_own = line.gateway == seen.gateway && line.text("request") != request;
            let is_of_engine = engines.contains(&line.engine.as_str());
            let is_of_stream = line.fields["request"].is_string();
            (is_own && (is_of_engine || line.engine.is_empty())) || (is_of_engine && !is_of_stream)
        };
        text.push_str("  judged in the second before:\n");
        let judged = self.evidence.judgements.iter().filter(is_near).filter(concerns);
        for line in judged.take(MOST_SHOWN) {
            self.write_line(&mut text, line, at_ms);
        }
        text
    }

    fn write_line(&self, text: &mut String, line: &Line, at_ms: u64) {
        let before = line.at_ms as i64 - at_ms as i64;
        let gateway = &self.world.nodes[line.gateway].name;
        let condition = match line.engine.as_str() {
            "" => String::new(),
            engine => format!(" [{engine}: {:?}]", self.condition(engine, line.at_ms)),
        };
        let still = self.stood_still_ms(line.gateway, line.at_ms);
        let still = match line.what.as_str() {
            "endpoint suspected" => format!(" [stood still for {still} of {QUESTIONS_MS} ms]"),
            _ => String::new(),
        };
        writeln!(text, "  {before:>6} {gateway} {} {}{condition}{still}", line.what, line.fields)
            .expect("memory for text");
    }
}

fn standstills(world: &World) -> HashMap<usize, Vec<Standstill>> {
    let mut gateways = HashMap::new();
    for (index, node) in world.nodes.iter().enumerate() {
        gateways
            .extend(node.incarnations.iter().map(|incarnation| (incarnation.process.pid(), index)));
    }
    let mut all: HashMap<usize, Vec<Standstill>> = HashMap::new();
    for one in world.quotas.standstills() {
        if let Some(gateway) = gateways.get(&one.pid) {
            all.entry(*gateway).or_default().push(one);
        }
    }
    all
}
