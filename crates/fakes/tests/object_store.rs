//! The object API of the stand-in platform, through the client.

mod common;

use common::{PATIENCE, SHORT, platform, store, wait_for};
use sorrellock_ports::api::{
    Listing, MAX_VALUE_BYTES, ObjectMeta, ObjectStore, Precondition, StoreError,
};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const NO_WAIT: Duration = Duration::ZERO;

fn metas(listing: &Listing) -> Vec<(&str, u64)> {
    listing.objects.iter().map(|meta| (&*meta.key, meta.version)).collect()
}

#[test]
fn object_that_was_put_is_read_back() {
    let platform = platform();
    let store = store(&platform);

    let version = store.put("rows/page 1?&ä", b"\0value", Precondition::Absent).expect("a write");
    let object = store.get("rows/page 1?&ä").expect("a read").expect("an object");

    assert_eq!((object.version, &*object.value), (version, &b"\0value"[..]));
    assert_eq!(store.get("rows/other"), Ok(None));
}

#[test]
fn put_of_an_object_that_exists_conflicts_with_its_version() {
    let platform = platform();
    let store = store(&platform);
    let version = platform.put_direct("a", b"1");

    let res = store.put("a", b"2", Precondition::Absent);

    assert_eq!(res, Err(StoreError::Conflict { found: version }));
    assert_eq!(platform.get_direct("a").expect("an object").value, b"1");
}

#[test]
fn put_on_an_old_version_conflicts_with_the_new_one() {
    let platform = platform();
    let store = store(&platform);
    let old = platform.put_direct("a", b"1");
    let new = platform.put_direct("a", b"2");

    let stale = store.put("a", b"3", Precondition::Version(old));
    let fresh = store.put("a", b"3", Precondition::Version(new));

    assert_eq!(stale, Err(StoreError::Conflict { found: new }));
    assert_eq!(fresh, Ok(platform.revision()));
}

#[test]
fn put_on_a_version_of_no_object_conflicts_with_none() {
    let platform = platform();

    let res = store(&platform).put("a", b"1", Precondition::Version(1));

    assert_eq!(res, Err(StoreError::Conflict { found: 0 }));
}

#[test]
fn of_two_racing_puts_on_one_version_one_wins() {
    let platform = platform();
    let version = platform.put_direct("a", b"0");

    let racers: Vec<_> = (0..8)
        .map(|racer| {
            let store = store(&platform);
            thread::spawn(move || store.put("a", &[racer], Precondition::Version(version)))
        })
        .collect();
    let results: Vec<_> = racers.into_iter().map(|racer| racer.join().expect("no panic")).collect();

    assert_eq!(results.iter().filter(|res| res.is_ok()).count(), 1, "{results:?}");
    assert_eq!(platform.counters().conflicts.load(Ordering::Relaxed), 7);
}

#[test]
fn revision_is_one_for_all_objects_and_only_rises() {
    let platform = platform();
    let store = store(&platform);

    let first = store.put("a", b"", Precondition::Absent).expect("a write");
    let second = store.put("b", b"", Precondition::Absent).expect("a write");
    store.delete("a", first).expect("a delete");
    let third = store.put("a", b"", Precondition::Absent).expect("a write");

    assert!(first < second && second + 1 < third, "{first} {second} {third}");
}

#[test]
fn delete_needs_the_present_version() {
    let platform = platform();
    let store = store(&platform);
    let old = platform.put_direct("a", b"1");
    let new = platform.put_direct("a", b"2");

    let stale = store.delete("a", old);
    let fresh = store.delete("a", new);
    let again = store.delete("a", new);

    assert_eq!(stale, Err(StoreError::Conflict { found: new }));
    assert_eq!(fresh, Ok(()));
    assert_eq!(again, Err(StoreError::Conflict { found: 0 }));
}

#[test]
fn value_of_1_mib_passes_and_a_larger_one_is_invalid() {
    let platform = platform();
    let store = store(&platform);

    let fits = store.put("fits", &vec![7; MAX_VALUE_BYTES], Precondition::Absent);
    let large = store.put("large", &vec![7; MAX_VALUE_BYTES + 1], Precondition::Absent);
    let huge = store.put("huge", &vec![7; 4 * MAX_VALUE_BYTES], Precondition::Absent);

    assert!(fits.is_ok(), "{fits:?}");
    assert!(matches!(large, Err(StoreError::Invalid { .. })), "{large:?}");
    assert!(matches!(huge, Err(StoreError::Invalid { .. })), "{huge:?}");
    assert_eq!(store.get("fits").expect("a read").expect("an object").value.len(), MAX_VALUE_BYTES);
}

#[test]
fn list_gives_the_prefix_in_order() {
    let platform = platform();
    for key in ["b/2", "a/1", "b/1", "b", "c/1"] {
        platform.put_direct(key, b"");
    }

    let listing = store(&platform).list("b/").expect("a list");

    assert_eq!(listing.revision, 5);
    assert_eq!(metas(&listing), [("b/1", 3), ("b/2", 1)]);
}

#[test]
fn watch_gives_what_changed_before_it_at_once() {
    let platform = platform();
    let old = platform.put_direct("a/old", b"");
    let gone = platform.put_direct("a/gone", b"");
    let new = platform.put_direct("a/new", b"");
    platform.delete_direct("a/gone");

    let listing = store(&platform).watch("a/", old, PATIENCE).expect("a watch");

    assert_eq!(metas(&listing), [("a/gone", 0), ("a/new", new)]);
    assert_eq!(listing.revision, platform.revision());
    assert!(gone < listing.revision);
}

#[test]
fn watch_waits_for_a_change_under_its_prefix_only() {
    let platform = platform();
    let after = platform.put_direct("a/1", b"");
    let client = store(&platform);
    let watch = thread::spawn(move || client.watch("a/", after, PATIENCE));
    wait_for("the watch waits", || platform.waiting_watches() == 1);

    platform.put_direct("b/1", b"");
    thread::sleep(SHORT);
    assert_eq!(platform.waiting_watches(), 1);
    let changed = platform.put_direct("a/2", b"");

    let listing = watch.join().expect("no panic").expect("a watch");
    assert_eq!(metas(&listing), [("a/2", changed)]);
}

#[test]
fn watch_whose_wait_is_over_gives_nothing() {
    let platform = platform();
    let after = platform.put_direct("a/1", b"");

    let listing = store(&platform).watch("a/", after, SHORT).expect("a watch");

    assert_eq!(listing, Listing { revision: after, objects: Vec::<ObjectMeta>::new() });
    assert_eq!(platform.waiting_watches(), 0);
}

#[test]
fn many_watches_wait_without_holding_up_other_calls() {
    let platform = platform();
    let watches: Vec<_> = (0..64)
        .map(|_| {
            let store = store(&platform);
            thread::spawn(move || store.watch("a/", 0, PATIENCE))
        })
        .collect();
    wait_for("all wait", || platform.waiting_watches() == 64);

    let version = store(&platform).put("a/1", b"", Precondition::Absent).expect("a write");

    for watch in watches {
        let listing = watch.join().expect("no panic").expect("a watch");
        assert_eq!(metas(&listing), [("a/1", version)]);
    }
}

#[test]
fn watch_whose_caller_went_away_is_forgotten() {
    let platform = platform();
    let mut caller = TcpStream::connect(platform.addr()).expect("the platform listens");
    let watch = "GET /v1/watch?prefix=a&after=0&wait_ms=60000 HTTP/1.1\r\nhost: t\r\n\r\n";
    caller.write_all(watch.as_bytes()).expect("the connection is open");
    wait_for("the watch waits", || platform.waiting_watches() == 1);

    drop(caller);

    wait_for("it is forgotten", || platform.waiting_watches() == 0);
}

#[test]
fn watch_from_before_forgotten_deletions_is_invalid() {
    let platform = platform();
    for n in 0..=65_536 {
        let key = format!("k{n}");
        platform.put_direct(&key, b"");
        platform.delete_direct(&key);
    }
    let store = store(&platform);

    let forgotten = store.watch("", 0, NO_WAIT);
    let remembered = store.watch("", 2, NO_WAIT);

    assert!(matches!(forgotten, Err(StoreError::Invalid { .. })), "{forgotten:?}");
    assert_eq!(remembered.expect("a watch").objects.len(), 65_536);
}

#[test]
fn waits_of_watches_end_in_any_order() {
    let platform = platform();
    let waits = [3, 1, 2, 1].map(|n| n * SHORT);
    let watches = waits.map(|wait| {
        let store = store(&platform);
        thread::spawn(move || store.watch("a/", 0, wait))
    });

    for watch in watches {
        assert_eq!(watch.join().expect("no panic"), Ok(Listing::default()));
    }
    assert_eq!(platform.waiting_watches(), 0);
}

#[test]
fn calls_are_counted_by_sort() {
    let platform = platform();
    let store = store(&platform);

    let version = store.put("a", b"", Precondition::Absent).expect("a write");
    store.get("a").expect("a read");
    store.list("").expect("a list");
    store.watch("", 0, NO_WAIT).expect("a watch");
    store.delete("a", version).expect("a delete");

    let counters = platform.counters();
    let counts = [&counters.puts, &counters.gets, &counters.lists, &counters.watches];
    assert!(counts.iter().all(|count| count.load(Ordering::Relaxed) == 1), "{counters:?}");
    assert_eq!(counters.deletes.load(Ordering::Relaxed), 1);
}
