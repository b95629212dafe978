//! How the gateways of a fleet detect a dead engine: which ones probe, and when all know.

use quickcheck::quickcheck;
use sorrellock_routing::process::{FailureEvidence, probe_delay, probers_before};
use std::time::Duration;

const SIZES: [u64; 3] = [8, 68, 420];
/// Time from the last event of a path until it counts as idle.
const IDLE: Duration = Duration::from_millis(75);
/// Interval at which a gateway checks its paths.
const TICK: Duration = Duration::from_millis(15);
/// Time until a report has reached all gateways.
const REPORT: Duration = Duration::from_millis(20);

/// Result for one dead engine in a fleet whose gateways all have streams over it.
struct Detection {
    /// Number of gateways that probed.
    probing: usize,
    /// Time from the last event until all gateways know.
    known_by_all: Duration,
}

/// Simulates the death of an engine. Gateways whose turn is in `late` don't probe at all.
fn simulate(gateways: u64, evidence: FailureEvidence, late: &[usize]) -> Detection {
    let time_to_find = match evidence {
        FailureEvidence::Refused => Duration::from_millis(2),
        FailureEvidence::NoAnswer => Duration::from_millis(90),
    };
    let turns = (0..gateways).map(|own| turn(own, gateways)).filter(|turn| !late.contains(turn));
    let probes: Vec<Duration> = turns.map(|turn| IDLE + probe_delay(turn) + TICK).collect();
    let first = *probes.iter().min().expect("one of them probes");
    let reported = first + time_to_find + REPORT;
    Detection {
        probing: probes.iter().filter(|at| **at < reported).count(),
        known_by_all: reported.max(evidence.min_idle()) + TICK,
    }
}

/// Returns the turn of a gateway in a fleet.
fn turn(own: u64, gateways: u64) -> usize {
    probers_before("north", own, (0..gateways).filter(|other| *other != own))
}

#[test]
fn four_gateways_probe_an_engine_that_gives_no_answer_in_any_fleet() {
    let probing = SIZES.map(|size| simulate(size, FailureEvidence::NoAnswer, &[]).probing);

    assert_eq!(probing, [4, 4, 4]);
}

#[test]
fn two_gateways_probe_an_engine_that_refuses_connections() {
    let probing = SIZES.map(|size| simulate(size, FailureEvidence::Refused, &[]).probing);

    assert_eq!(probing, [2, 2, 2]);
}

#[test]
fn all_gateways_know_of_a_dead_engine_equally_soon_in_any_fleet() {
    for evidence in [FailureEvidence::Refused, FailureEvidence::NoAnswer] {
        let known = SIZES.map(|size| simulate(size, evidence, &[]).known_by_all);

        assert!(known.iter().all(|at| *at == known[0]), "{known:?}");
        assert!(known[0] <= Duration::from_millis(220), "{known:?}");
    }
}

#[test]
fn an_engine_is_found_without_the_gateways_that_probe_first() {
    for size in SIZES {
        let detection = simulate(size, FailureEvidence::NoAnswer, &[0, 1]);

        assert!(
            detection.known_by_all <= Duration::from_millis(280),
            "{:?}",
            detection.known_by_all
        );
    }
}

#[test]
fn a_gateway_that_receives_no_report_probes_in_the_end() {
    let latest = (0..420).map(probe_delay).max().expect("a fleet");

    assert!(latest <= Duration::from_millis(400), "{latest:?}");
}

#[test]
fn the_only_gateway_on_a_path_probes_at_once() {
    assert_eq!(probe_delay(turn(7, 1)), Duration::ZERO);
}

quickcheck! {
    /// Each turn is taken by exactly one gateway, for any set of gateways.
    fn gateways_agree_on_their_turns(gateways: Vec<u64>, data_centre: String) -> bool {
        let mut gateways = gateways;
        gateways.sort_unstable();
        gateways.dedup();
        let turn = |own: &u64| {
            let others = gateways.iter().copied().filter(|other| other != own);
            probers_before(&data_centre, *own, others)
        };
        let mut turns: Vec<usize> = gateways.iter().map(turn).collect();
        turns.sort_unstable();
        turns.into_iter().eq(0..gateways.len())
    }

    /// Removing a gateway moves only those behind it, by one turn.
    fn the_others_keep_their_order_when_one_goes(gateways: Vec<u64>) -> bool {
        let Some((gone, rest)) = gateways.split_first() else { return true };
        let before = |own: u64, others: &[u64]| probers_before("north", own, others.iter().copied());
        rest.iter().all(|own| {
            let after = before(*own, rest);
            let with = before(*own, &gateways);
            with == after + before(*own, &[*gone])
        })
    }
}
