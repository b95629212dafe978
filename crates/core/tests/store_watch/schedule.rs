//! The rules of one schedule.

use sorrellock_core::process::store_watch::{WatchSchedule, WatchTimes, list_turn};
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(2);
const INTERVAL: Duration = Duration::from_secs(1);
const LONGEST: Duration = Duration::from_secs(8);

fn schedule() -> WatchSchedule {
    WatchSchedule::new(WatchTimes::new(WITHIN))
}

#[test]
fn the_first_call_and_each_one_after_a_doubt_is_answered_at_once() {
    let mut schedule = schedule();
    let first = schedule.wait(3);
    schedule.on_answer();
    schedule.on_suspicion();

    assert_eq!((first, schedule.wait(3)), (Duration::ZERO, Duration::ZERO));
}

#[test]
fn the_first_has_an_answer_in_each_interval_and_all_others_watch_for_long() {
    let mut schedule = schedule();
    schedule.on_answer();

    let waits = [0, 1, 5].map(|rank| schedule.wait(rank));

    assert_eq!(waits, [INTERVAL, LONGEST, LONGEST]);
}

#[test]
fn the_answer_timeout_grows_with_unanswered_calls_and_is_bounded() {
    let mut schedule = schedule();
    let mut answer_timeouts = Vec::new();
    for _ in 0..4 {
        answer_timeouts.push(schedule.answer_timeout().as_millis());
        schedule.on_failure();
    }
    schedule.on_answer();

    assert_eq!(answer_timeouts, [500, 1_000, 1_500, 1_500]);
    assert_eq!(schedule.answer_timeout().as_millis(), 500);
}

#[test]
fn the_first_few_ask_a_store_that_is_down_more_often_than_all_others() {
    let mut schedule = schedule();
    for _ in 0..20 {
        schedule.on_failure();
    }

    let waits = [0, 1, 2, 3].map(|rank| schedule.retry_in(rank, None).as_millis());

    assert_eq!(waits, [250, 250, 1_000, 1_000]);
}

#[test]
fn a_refused_process_retries_slowly_while_others_report_recent_data() {
    let mut schedule = schedule();
    for _ in 0..20 {
        schedule.on_failure();
    }

    let informed = schedule.retry_in(0, Some(INTERVAL));
    let uninformed = schedule.retry_in(0, Some(INTERVAL * 3));

    assert_eq!((informed.as_millis(), uninformed.as_millis()), (1_000, 250));
}

#[test]
fn the_maximum_age_grows_with_the_rank_up_to_a_bound() {
    let schedule = schedule();

    let max_ages: Vec<u128> =
        [0, 1, 5, 400].map(|rank| schedule.max_age(rank).as_millis()).to_vec();

    assert_eq!(max_ages, [1_800, 1_900, 2_300, 2_800]);
}

#[test]
fn an_interval_is_never_so_short_that_calls_follow_each_other_without_end() {
    let times = WatchTimes::new(Duration::ZERO);

    assert_eq!(times.interval, Duration::from_millis(500));
}

#[test]
fn a_turn_is_within_a_second_whatever_the_number_in_contact() {
    for count in [0, 1, 87, 436, 872] {
        for rank in [0, 1, 87, 871] {
            let turn = list_turn(rank, count);
            assert!(turn < Duration::from_secs(1), "rank {rank} of {count}: {turn:?}");
        }
    }
}
