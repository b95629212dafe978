//! The faults and bounds of the stand-in platform, through the client.

mod common;

use common::{PATIENCE, SHORT, platform, platform_with, store, wait_for};
use sorrellock_fakes::{Outage, OutageWindow, PlatformConfig};
use sorrellock_ports::api::{Listing, ObjectStore, Precondition, StoreError};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const NO_WAIT: Duration = Duration::ZERO;

fn metas(listing: &Listing) -> Vec<(&str, u64)> {
    listing.objects.iter().map(|meta| (&*meta.key, meta.version)).collect()
}

#[test]
fn rates_of_reads_and_writes_are_limited_apart() {
    let platform = platform_with(PlatformConfig::new(common::loopback()).with_rates(1, 1));
    let store = store(&platform);
    let limited = StoreError::RateLimited { retry_after: Duration::from_secs(1) };

    let writes = ["a", "b"].map(|key| store.put(key, b"", Precondition::Absent));
    let watch = store.watch("none/", 0, NO_WAIT);
    let read = store.get("a");

    assert_eq!(writes, [Ok(1), Err(limited.clone())]);
    assert!(watch.is_ok(), "{watch:?}");
    assert_eq!(read, Err(limited));
    assert_eq!(platform.counters().rate_limited.load(Ordering::Relaxed), 2);
    assert_eq!(platform.get_direct("b"), None);
}

#[test]
fn rate_fills_up_again() {
    let platform = platform_with(PlatformConfig::new(common::loopback()).with_rates(1, 0));
    let store = store(&platform);
    while store.put("a", b"", Precondition::Version(1)) == Err(StoreError::Conflict { found: 0 }) {}

    wait_for("room again", || store.put("a", b"", Precondition::Absent).is_ok());
}

#[test]
fn outage_refuses_and_nothing_is_written() {
    let platform = platform();
    let store = store(&platform);
    platform.set_outage(Outage::Refuse);

    let write = store.put("a", b"", Precondition::Absent);
    let read = store.get("a");
    platform.set_outage(Outage::None);

    assert!(matches!(write, Err(StoreError::Unavailable { .. })), "{write:?}");
    assert!(matches!(read, Err(StoreError::Unavailable { .. })), "{read:?}");
    assert_eq!(store.get("a"), Ok(None));
}

#[test]
fn outage_that_hangs_gives_no_answer_within_the_timeout() {
    let platform = platform();
    let store = store(&platform).with_timeout(SHORT);
    platform.set_outage(Outage::Hang);

    let res = store.put("a", b"", Precondition::Absent);
    platform.set_outage(Outage::None);

    assert!(matches!(res, Err(StoreError::NoAnswer { .. })), "{res:?}");
    assert_eq!(store.get("a"), Ok(None));
}

#[test]
fn outage_ends_watches_that_wait() {
    let platform = platform();
    let client = store(&platform);
    let watch = thread::spawn(move || client.watch("a/", 0, PATIENCE));
    wait_for("the watch waits", || platform.waiting_watches() == 1);

    platform.set_outage(Outage::Refuse);

    let res = watch.join().expect("no panic");
    assert!(matches!(res, Err(StoreError::Unavailable { .. })), "{res:?}");
}

#[test]
fn outage_window_comes_and_goes_by_itself() {
    let platform = platform();
    let store = store(&platform);
    let window = OutageWindow { after: SHORT, lasts: 2 * SHORT, outage: Outage::Refuse };

    platform.add_outage(window);
    let before = store.get("a");
    wait_for("the outage begins", || store.get("a").is_err());
    wait_for("the outage ends", || store.get("a").is_ok());

    assert_eq!(before, Ok(None));
    assert!(platform.counters().out.load(Ordering::Relaxed) > 0);
}

#[test]
fn lost_answer_leaves_the_write_in_effect() {
    let platform = platform();
    let store = store(&platform);
    platform.lose_answers(1);

    let lost = store.put("a", b"1", Precondition::Absent);
    let next = store.put("b", b"1", Precondition::Absent);

    assert!(matches!(lost, Err(StoreError::NoAnswer { .. })), "{lost:?}");
    assert!(next.is_ok(), "{next:?}");
    assert_eq!(platform.get_direct("a").expect("an object").value, b"1");
    assert_eq!(platform.counters().answers_lost.load(Ordering::Relaxed), 1);
}

#[test]
fn conflict_loses_no_answer() {
    let platform = platform();
    let version = platform.put_direct("a", b"");
    platform.lose_answers(1);

    let res = store(&platform).put("a", b"", Precondition::Absent);

    assert_eq!(res, Err(StoreError::Conflict { found: version }));
}

#[test]
fn stale_reads_come_from_an_old_copy_and_writes_do_not() {
    let platform = platform();
    let store = store(&platform);
    let old = platform.put_direct("a", b"old");
    platform.set_stale_reads(true);

    let new = store.put("a", b"new", Precondition::Version(old)).expect("a write");
    let stale = store.get("a").expect("a read").expect("an object");
    let listed = store.list("a").expect("a list");
    platform.set_stale_reads(false);
    let fresh = store.get("a").expect("a read").expect("an object");

    assert_eq!((stale.version, &*stale.value), (old, &b"old"[..]));
    assert_eq!(metas(&listed), [("a", old)]);
    assert_eq!((fresh.version, &*fresh.value), (new, &b"new"[..]));
    assert_eq!(platform.counters().stale_reads.load(Ordering::Relaxed), 2);
}

#[test]
fn latency_does_not_make_calls_wait_for_each_other() {
    let platform = platform();
    platform.set_latency(Duration::from_millis(500));

    // One after the other, the last would be answered long after its timeout.
    let calls: Vec<_> = (0..64)
        .map(|_| {
            let store = store(&platform);
            thread::spawn(move || store.get("a"))
        })
        .collect();

    for call in calls {
        assert_eq!(call.join().expect("no panic"), Ok(None));
    }
}

#[test]
fn latency_beyond_the_timeout_gives_no_answer() {
    let platform = platform();
    platform.set_latency(Duration::from_secs(3_600));

    let res = store(&platform).with_timeout(SHORT).get("a");

    assert!(matches!(res, Err(StoreError::NoAnswer { .. })), "{res:?}");
}
