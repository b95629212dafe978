//! Records of held requests, merged by gateways in any order.

use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::crashes::{
    Admission, CrashDigest, CrashGuard, HOLD_TERM, HeldRequest, HeldRequests, HeldSource, HeldSync,
    UnixMillis,
};
use sorrellock_routing::request::ContentId;
use std::time::{Duration, Instant};

const UNIX: UnixMillis = 1_790_000_000_000;

fn content(index: u8) -> ContentId {
    ContentId::new(None, "/a", &[index])
}

fn record(index: u8, generation: u32, held_at: UnixMillis) -> HeldRequest {
    HeldRequest {
        content: content(index),
        generation,
        held_at,
        endpoints: vec![Incarnation::new(format!("engine-{index}"), None)],
        workspace: None,
        path: None,
        crashes: 1,
        part: None,
        is_doubtful: false,
        trial_by: None,
    }
}

/// Records of a few contents that gateways may have made.
#[derive(Clone, Debug)]
struct Records(Vec<HeldRequest>);

impl Arbitrary for Records {
    fn arbitrary(g: &mut Gen) -> Records {
        let one = |g: &mut Gen| {
            let generation = 1 + u32::arbitrary(g) % 4;
            let held_at = UNIX - u64::arbitrary(g) % 3_000;
            let mut record = record(u8::arbitrary(g) % 3, generation, held_at);
            let endpoints = 0..u8::arbitrary(g) % 12;
            let endpoint = |_| Incarnation::new(format!("engine-{}", u8::arbitrary(g) % 20), None);
            record.endpoints = endpoints.map(endpoint).collect();
            record.path = bool::arbitrary(g).then(|| "/a".to_owned());
            record.part = bool::arbitrary(g).then(|| "bad0".to_owned());
            record.trial_by = bool::arbitrary(g).then(|| "gateway-1".to_owned());
            record
        };
        let len = usize::arbitrary(g) % 8;
        Records((0..len).map(|_| one(g)).collect())
    }
}

fn merged(records: &[HeldRequest]) -> HeldRequests {
    let mut held = HeldRequests::default();
    for record in records {
        held.merge(record.clone(), UNIX);
    }
    held
}

type Fields = (ContentId, u32, UnixMillis, Option<String>, Option<String>);

fn sorted(held: &HeldRequests) -> Vec<Fields> {
    let fields = |held: &HeldRequest| {
        let (part, trial_by) = (held.part.clone(), held.trial_by.clone());
        (held.content, held.generation, held.held_at, trial_by, part)
    };
    let mut all: Vec<_> = held.iter().map(fields).collect();
    all.sort();
    all
}

quickcheck! {
    fn the_order_of_merges_does_not_matter(records: Records) -> bool {
        let mut reversed = records.0.clone();
        reversed.reverse();
        let (one, other) = (merged(&records.0), merged(&reversed));
        sorted(&one) == sorted(&other) && one.hash() == other.hash()
    }

    fn merging_again_changes_nothing(records: Records) -> bool {
        let mut held = merged(&records.0);
        let before = sorted(&held);
        let changed = records.0.iter().any(|record| held.merge(record.clone(), UNIX).is_some());
        !changed && sorted(&held) == before
    }

    fn gateways_that_merge_each_other_s_records_agree(a: Records, b: Records) -> TestResult {
        let (mut one, mut other) = (merged(&a.0), merged(&b.0));
        for record in b.0 { one.merge(record, UNIX); }
        for record in a.0 { other.merge(record, UNIX); }
        TestResult::from_bool(one.hash() == other.hash())
    }
}

#[test]
fn records_that_lack_the_name_of_a_part_differ_from_those_that_have_it() {
    let named = HeldRequest { part: Some("bad0".to_owned()), ..record(0, 1, UNIX) };
    let (mut one, other) = (merged(&[record(0, 1, UNIX)]), merged(std::slice::from_ref(&named)));
    let before = one.hash();

    one.merge(named, UNIX);

    assert_ne!(before, other.hash());
    assert_eq!(one.hash(), other.hash());
}

#[test]
fn a_record_ends_everywhere_at_the_end_of_its_term_whoever_merges_it() {
    let term = HOLD_TERM.as_millis() as UnixMillis;
    let (mut one, mut other) = (HeldRequests::default(), HeldRequests::default());
    one.merge(record(0, 1, UNIX), UNIX);

    for late in [term / 2, term - 1] {
        let records: Vec<HeldRequest> = one.iter().cloned().collect();
        for record in records {
            other.merge(record, UNIX + late);
        }
        let records: Vec<HeldRequest> = other.iter().cloned().collect();
        for record in records {
            one.merge(record, UNIX + late);
        }
    }
    let now = UNIX + term;
    let back = other.iter().next().expect("it is merged").clone();
    one.drop_expired(now);
    one.merge(back, now);

    assert!(one.is_empty());
    assert_eq!(other.admission([content(0)].into_iter(), now), Admission::Free);
}

#[test]
fn a_clock_that_is_hours_ahead_holds_a_request_no_longer_than_others() {
    let mut held = HeldRequests::default();
    held.merge(record(0, 1, UNIX + 7_200_000), UNIX);

    let term = HOLD_TERM.as_millis() as UnixMillis;
    assert_eq!(held.admission([content(0)].into_iter(), UNIX + term + 5_000), Admission::Free);
}

#[test]
fn a_released_request_stays_released_when_older_records_come() {
    let mut held = HeldRequests::default();
    held.merge(record(0, 1, UNIX), UNIX);
    assert!(held.release(content(0)));

    assert_eq!(held.merge(record(0, 1, UNIX + 1_000), UNIX), None);
    assert_eq!(held.admission([content(0)].into_iter(), UNIX), Admission::Free);
    let is_held_again = held.hold(record(0, 0, UNIX), true, UNIX).is_some();
    assert!(is_held_again);
    assert_ne!(held.admission([content(0)].into_iter(), UNIX), Admission::Free);
}

#[test]
fn the_oldest_records_make_space() {
    let mut held = HeldRequests::default();
    for index in 0..2_000_u64 {
        let body = index.to_le_bytes();
        let content = ContentId::new(None, "/a", &body);
        let record = HeldRequest { content, ..record(0, 1, UNIX - 10_000 + index) };
        held.merge(record, UNIX);
    }

    assert_eq!(held.held(), 1_024);
    assert_eq!(held.evicted(), 976);
    let oldest = held.iter().map(|record| record.held_at).min();
    assert_eq!(oldest, Some(UNIX - 10_000 + 976));
}

#[test]
fn another_gateway_s_records_are_read_once_they_differ_for_a_while() {
    let mut sync = HeldSync::default();
    let now = Instant::now();
    let mut guard = CrashGuard::default();
    let own = guard.digest();
    guard.merge(vec![record(0, 1, UNIX)], HeldSource::Store, UNIX);
    let other = guard.digest();
    let peers: [(&str, CrashDigest); 3] = [("a", own), ("b", other), ("c", other)];
    let mut at = |ms| sync.fetch_from(own, peers.into_iter(), now + Duration::from_millis(ms));

    assert_eq!(at(0), None);
    assert_eq!(at(499), None);
    let first = at(500).expect("they differ for long");
    assert_eq!(at(600), None);
    let second = at(1_000).expect("they still differ");
    assert_ne!(first, second);
    assert!([first, second].iter().all(|peer| ["b", "c"].contains(peer)));
}

#[test]
fn the_store_is_listed_at_the_start_and_then_by_one_gateway() {
    let mut sync = HeldSync::default();
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);

    assert!(sync.is_list_due(false, false, now));
    sync.on_list(false, now);
    assert!(!sync.is_list_due(false, false, at(499)));
    assert!(sync.is_list_due(false, false, at(500)));
    sync.on_list(true, at(500));
    assert!(!sync.is_list_due(false, false, at(60_000)), "another one does");
    assert!(!sync.is_list_due(true, false, at(10_499)));
    assert!(sync.is_list_due(true, false, at(10_500)));
    assert!(sync.is_list_due(true, true, at(2_500)), "a registered gateway is silent");
}

#[test]
fn a_gateway_that_read_the_records_of_another_one_at_its_start_lists_none() {
    let now = Instant::now();
    let mut sync = HeldSync::default();
    let at_start = sync.is_list_due(false, false, now);

    sync.on_first_read(now);

    assert!(at_start);
    assert!(!sync.is_list_due(false, false, now + Duration::from_secs(60)));
}
