//! Stages die, hang and leave in the middle of an answer: it comes whole all the same, and no
//! layer runs twice at a position of one KV cache. With the last stage tokens may be lost that the stages before it have run
//! already: only these positions are cut back and run again, none of a token that the caller has.

use sorrellock_core::id::StageIndex;
use sorrellock_daemon::process::{Count, LogFormat, set_up_log};
use sorrellock_fakes::EngineFailure;
use sorrellock_local::{LocalConfig, LocalFleet, MODEL};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const PROMPT: &str = "Explain the break on trade 4711.";
const TOKENS: u32 = 160;
/// The last of three stages.
const LAST: StageIndex = 2;
/// Tokens after which the failure comes; the rest takes far longer than the caller lags behind.
const FAIL_AFTER: u32 = 20;

fn fleet(cfg: LocalConfig) -> LocalFleet {
    set_up_log(LogFormat::Off);
    let cfg = cfg.with_times(Duration::from_millis(1), Duration::from_micros(5));
    LocalFleet::start(cfg).expect("the fleet starts")
}

fn three_by(replicas: usize) -> LocalConfig {
    LocalConfig::new().with_services(0).with_pipeline(3, replicas)
}

/// Streams an answer, lets `fail` happen on the way, and checks that the answer is whole and that
/// the surviving engines applied each layer once at each position of each KV cache.
fn answer_through<'a>(fleet: &'a LocalFleet, fail: impl FnMut(&'a LocalFleet)) {
    stream_through(fleet, fail);

    for engine in &fleet.engines {
        assert_eq!(engine.engine.record().repeated(), 0, "a layer ran twice at a position");
    }
}

/// The same where a stage dies. What the last one had told only to the stages before it is cut back there.
fn answer_through_death_of<'a>(
    stage: StageIndex,
    fleet: &'a LocalFleet,
    fail: impl FnMut(&'a LocalFleet),
) {
    if stage != LAST {
        return answer_through(fleet, fail);
    }
    stream_through(fleet, fail);

    // The position of the first token that the caller did not have yet.
    let unknown = PROMPT.len() as u32 + FAIL_AFTER;
    for engine in &fleet.engines {
        let repeated = engine.engine.record().first_repeated();
        assert!(repeated.is_none_or(|at| at >= unknown), "position {repeated:?} ran again");
    }
}

/// Streams an answer, lets `fail` happen on the way, and checks that the answer is whole.
fn stream_through<'a>(fleet: &'a LocalFleet, mut fail: impl FnMut(&'a LocalFleet)) {
    let seen = AtomicU32::new(0);
    let on_text = |_: &str| {
        if seen.fetch_add(1, Ordering::Relaxed) + 1 == FAIL_AFTER {
            fail(fleet);
        }
    };

    let text = fleet.caller(0, 0).stream(MODEL, PROMPT, TOKENS, on_text);

    assert_eq!(text.expect("the answer is whole"), fleet.expected(PROMPT, TOKENS));
}

fn count_all(fleet: &LocalFleet, count: Count) -> u64 {
    fleet.engines.iter().map(|engine| engine.beside.counter(count)).sum()
}

#[test]
fn any_stage_dies() {
    for stage in 0..3 {
        let fleet = fleet(three_by(2));

        answer_through_death_of(stage, &fleet, |fleet| _ = fleet.kill_busiest(stage));

        assert_eq!(fleet.entries[0].counter(Count::Reroutes), 1, "stage {stage}");
    }
}

#[test]
fn two_stages_die_at_once() {
    for (one, other) in [(0, 1), (1, LAST), (0, LAST)] {
        let fleet = fleet(three_by(2));

        answer_through_death_of(other, &fleet, |fleet| {
            let (one, other) = (fleet.busiest(one), fleet.busiest(other));
            fleet.kill(one);
            fleet.kill(other);
        });
    }
}

#[test]
fn the_replacement_dies_during_replay() {
    let fleet = fleet(three_by(3));

    answer_through(&fleet, |fleet| {
        let first = fleet.kill_busiest(1);
        let is_new = |index: &usize| {
            let engine = &fleet.engines[*index];
            engine.stage == 1 && *index != first && engine.beside.counter(Count::Steps) > 0
        };
        let new = loop {
            if let Some(new) = (0..fleet.engines.len()).find(is_new) {
                break new;
            }
            thread::sleep(Duration::from_micros(200));
        };
        fleet.kill(new);
    });

    assert!(fleet.entries[0].counter(Count::Reroutes) >= 2);
}

#[test]
fn an_engine_hangs_and_wakes_with_work_in_hand() {
    for stage in 0..3 {
        let fleet = fleet(three_by(2));

        answer_through(&fleet, |fleet| fleet.engines[fleet.busiest(stage)].engine.freeze());
        assert_eq!(count_all(&fleet, Count::EnginesStuck), 1, "stage {stage}");
        fleet.engines.iter().for_each(|engine| engine.engine.unfreeze());

        answer_through(&fleet, |_| {});
    }
}

#[test]
fn an_engine_gives_no_answer_to_a_batch() {
    for failure in [EngineFailure::CutAfter, EngineFailure::CutBefore, EngineFailure::Refuse] {
        let fleet = fleet(three_by(2));

        answer_through(&fleet, |fleet| {
            fleet.engines[fleet.busiest(1)].engine.fail_next(failure, 1);
        });
    }
}

#[test]
fn a_leaving_stage_hands_over() {
    for stage in 0..3 {
        let fleet = fleet(three_by(2));

        let drained = thread::scope(|scope| {
            let mut drain = None;
            answer_through(&fleet, |fleet| {
                let beside = &fleet.engines[fleet.busiest(stage)].beside;
                drain = Some(scope.spawn(|| beside.drain(Duration::from_secs(10))));
            });
            drain.expect("it came to the drain").join().expect("the drain ends")
        });

        assert!(drained, "stage {stage} is empty in the end");
        assert_eq!(count_all(&fleet, Count::HandedOver), 1, "stage {stage}");
        assert_eq!(applications(&fleet), naive_applications(&fleet), "no position runs again");
    }
}

#[test]
fn a_stage_dies_whose_output_is_kept_no_longer() {
    for stage in 1..3 {
        let fleet = fleet(three_by(2).with_replay_budget(2 << 10));

        answer_through_death_of(stage, &fleet, |fleet| _ = fleet.kill_busiest(stage));

        assert!(fleet.entries[0].counter(Count::Reroutes) >= 2, "a replay, then a prefill");
    }
}

#[test]
fn what_was_held_is_freed() {
    let fleet = fleet(three_by(2));
    let mut killed = None;
    answer_through(&fleet, |fleet| killed = Some(fleet.kill_busiest(1)));

    let alive = || fleet.engines.iter().enumerate().filter(|(index, _)| Some(*index) != killed);
    let held = || alive().any(|(_, engine)| engine.engine.load_now().sessions > 0);
    let end = Instant::now() + Duration::from_secs(10);
    while held() && Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
    }

    assert!(!held(), "KV caches are freed");
}

/// Applications of layers at all engines.
fn applications(fleet: &LocalFleet) -> u64 {
    fleet.engines.iter().map(|engine| engine.engine.record().applications()).sum()
}

/// Those that one machine with the whole model needs: the last token is not fed back.
fn naive_applications(fleet: &LocalFleet) -> u64 {
    (PROMPT.len() as u64 + u64::from(TOKENS) - 1) * u64::from(fleet.cfg.layers)
}
