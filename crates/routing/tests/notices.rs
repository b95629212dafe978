//! What endpoints say of themselves in their answers to a gateway.

use quickcheck::{TestResult, quickcheck};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::notices::{BackoffChange, Backoffs, LeavingNotices, SendBlock};
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(3);
const MOMENT: Duration = Duration::from_millis(1);

fn engine() -> Incarnation {
    Incarnation::new("engine", Some(1))
}

#[test]
fn an_endpoint_gets_nothing_until_the_end_of_its_back_off() {
    let (mut backoffs, now) = (Backoffs::default(), Instant::now());

    let change = backoffs.on_answer(&engine(), Some(WAIT), now);

    assert_eq!(change, Some(BackoffChange::Begun(WAIT)));
    assert_eq!(backoffs.blocked_for(&engine(), now), Some(WAIT));
    assert_eq!(backoffs.admit(&engine(), now + WAIT - MOMENT), Err(MOMENT));
    assert!(backoffs.admit(&engine(), now + WAIT).is_ok());
    assert_eq!(backoffs.blocked_for(&Incarnation::new("engine", Some(2)), now), None);
}

#[test]
fn no_later_answer_shortens_a_back_off() {
    let (mut backoffs, now) = (Backoffs::default(), Instant::now());
    backoffs.on_answer(&engine(), Some(WAIT), now);

    let shorter = backoffs.on_answer(&engine(), Some(MOMENT), now);
    let none = backoffs.on_answer(&engine(), None, now);
    let zero = backoffs.on_answer(&engine(), Some(Duration::ZERO), now);

    assert_eq!((shorter, none, zero), (None, None, None));
    assert_eq!(backoffs.blocked_for(&engine(), now), Some(WAIT));
    backoffs.on_answer(&engine(), Some(2 * WAIT), now);
    assert_eq!(backoffs.blocked_for(&engine(), now), Some(2 * WAIT));
}

#[test]
fn after_a_back_off_one_request_finds_out_whether_the_endpoint_takes_more() {
    let (mut backoffs, now) = (Backoffs::default(), Instant::now());
    backoffs.on_answer(&engine(), Some(WAIT), now);
    let over = now + WAIT;

    let first = backoffs.admit(&engine(), over);
    let second = backoffs.admit(&engine(), over + MOMENT);
    let answered = backoffs.on_answer(&engine(), None, over + 2 * MOMENT);
    let third = backoffs.admit(&engine(), over + 2 * MOMENT);

    assert!(matches!(first, Ok(Some(_))));
    assert!(second.is_err());
    assert_eq!(answered, Some(BackoffChange::Ended));
    assert_eq!(third, Ok(None));
    assert_eq!(backoffs.admit(&engine(), over + 2 * MOMENT), Ok(None));
}

#[test]
fn a_trial_that_brings_no_answer_makes_way_for_the_next_one() {
    let (mut backoffs, now) = (Backoffs::default(), Instant::now());
    backoffs.on_answer(&engine(), Some(WAIT), now);
    let over = now + WAIT;
    let trial = backoffs.admit(&engine(), over).expect("a trial").expect("the first one");

    backoffs.on_trial_over(&engine(), trial);

    assert!(matches!(backoffs.admit(&engine(), over + MOMENT), Ok(Some(_))));
    assert!(backoffs.admit(&engine(), over + 2 * WAIT).is_ok(), "it has timed out");
}

#[test]
fn a_trial_that_has_timed_out_ends_no_later_one() {
    let (mut backoffs, now) = (Backoffs::default(), Instant::now());
    backoffs.on_answer(&engine(), Some(WAIT), now);
    let first = backoffs.admit(&engine(), now + WAIT).expect("a trial").expect("the first one");
    backoffs.admit(&engine(), now + 2 * WAIT).expect("another one");

    backoffs.on_trial_over(&engine(), first);

    assert!(backoffs.admit(&engine(), now + 2 * WAIT + MOMENT).is_err());
}

#[test]
fn back_offs_end_by_hand_and_outlive_a_lapsed_entry() {
    let (mut backoffs, now) = (Backoffs::default(), Instant::now());
    backoffs.on_answer(&engine(), Some(Duration::MAX), now);

    backoffs.retain(|_| false, now + WAIT);
    let is_kept = backoffs.blocked_for(&engine(), now + WAIT).is_some();

    assert!(is_kept);
    assert_eq!(backoffs.active(now).count(), 1);
    assert!(backoffs.clear("engine"));
    assert!(!backoffs.clear("engine"));
    assert_eq!(backoffs.blocked_for(&engine(), now), None);
}

#[test]
fn a_back_off_lasts_until_its_end_however_long_its_entry_is_away() {
    let (mut backoffs, now) = (Backoffs::default(), Instant::now());
    let hour = Duration::from_secs(3_600);
    backoffs.on_answer(&engine(), Some(hour), now);

    backoffs.retain(|_| false, now + hour - MOMENT);
    let is_kept = backoffs.blocked_for(&engine(), now + hour - MOMENT).is_some();
    backoffs.retain(|_| false, now + hour);

    assert!(is_kept);
    assert!(!backoffs.clear("engine"), "it is over, and its endpoint gone");
}

#[test]
fn back_offs_are_bounded_and_those_that_end_first_make_way() {
    let (mut backoffs, now) = (Backoffs::default(), Instant::now());
    let one = |index: u32| Incarnation::new(format!("engine-{index}"), None);

    for index in 0..5_000 {
        backoffs.on_answer(&one(index), Some(WAIT + Duration::from_millis(index.into())), now);
    }

    assert_eq!(backoffs.active(now).count() as u64 + backoffs.evicted(), 5_000);
    assert!(backoffs.blocked_for(&one(0), now).is_none());
    assert!(backoffs.blocked_for(&one(4_999), now).is_some());
}

/// An endpoint's answers and a gateway's sends, in ms between them. Each answer asks for a wait in ms, or for none.
fn gets_nothing_while_it_asks_for_nothing(steps: Vec<(u16, Option<u16>)>) -> TestResult {
    let (mut backoffs, began) = (Backoffs::default(), Instant::now());
    let (mut now, mut until) = (began, began);
    for (after, wait) in steps {
        now += Duration::from_millis(after.into());
        let is_admitted = backoffs.admit(&engine(), now).is_ok();
        if is_admitted && now < until {
            return TestResult::error(format!("sent {:?} before the end", until - now));
        }
        let wait = wait.map(|wait| Duration::from_millis(wait.into()));
        // Whether it was this request or an earlier one that the endpoint answers.
        backoffs.on_answer(&engine(), wait, now);
        until = until.max(now + wait.unwrap_or_default());
    }
    let is_reopened = backoffs.admit(&engine(), until + Duration::from_secs(2)).is_ok();
    TestResult::from_bool(is_reopened)
}

#[test]
fn back_offs_hold_in_any_order_of_answers() {
    quickcheck(gets_nothing_while_it_asks_for_nothing as fn(Vec<(u16, Option<u16>)>) -> TestResult);
}

#[test]
fn an_endpoint_that_leaves_does_so_until_its_incarnation_ends() {
    let (mut notices, now) = (LeavingNotices::default(), Instant::now());

    assert!(notices.add(&engine(), now));
    assert!(!notices.add(&engine(), now + WAIT));

    assert!(notices.contains(&engine()));
    assert!(!notices.contains(&Incarnation::new("engine", Some(2))));
    assert_eq!(notices.all().collect::<Vec<_>>(), [(&engine(), now)]);
}

#[test]
fn leaving_endpoints_are_bounded_and_the_oldest_make_way() {
    let (mut notices, now) = (LeavingNotices::default(), Instant::now());
    let one = |index: u32| Incarnation::new(format!("engine-{index}"), None);

    (0..5_000).for_each(|index| {
        notices.add(&one(index), now + Duration::from_millis(index.into()));
    });

    assert_eq!(notices.len() as u64 + notices.evicted(), 5_000);
    assert!(notices.evicted() > 0);
    assert!(!notices.contains(&one(0)) && notices.contains(&one(4_999)));
}

#[test]
fn callers_wait_for_the_endpoint_that_is_free_first() {
    let (limited, backing_off) = (SendBlock::Limited(WAIT), SendBlock::BackingOff(2 * WAIT));

    let all = SendBlock::first_to_end([Some(backing_off), Some(limited)].into_iter());
    let some = SendBlock::first_to_end([Some(backing_off), None].into_iter());
    let none = SendBlock::first_to_end([].into_iter());

    assert_eq!((all, some, none), (Some(limited), None, None));
    assert_eq!(SendBlock::longer(Some(limited), Some(backing_off)), Some(backing_off));
}
