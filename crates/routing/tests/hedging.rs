//! When a further attempt may begin in parallel with a pending one.

use sorrellock_routing::request::overdue_after;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_attempt_is_overdue_after_the_target_latency_or_a_share_of_the_time_left() {
    let unknown = Duration::ZERO;

    assert_eq!(overdue_after(ms(20_000), ms(500), unknown), ms(500));
    assert_eq!(overdue_after(ms(1_000), ms(500), unknown), ms(400));
}

#[test]
fn a_slow_endpoint_is_given_several_times_its_mean_but_no_more_than_the_time_left() {
    assert_eq!(overdue_after(ms(20_000), ms(500), ms(300)), ms(1_200));
    assert_eq!(overdue_after(ms(800), ms(500), ms(300)), ms(800));
}
