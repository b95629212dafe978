//! When the first gateways of a data centre are written, and for whom they do in place of the list.

use sorrellock_routing::process::relays::{
    FirstGateway, FirstGateways, FirstGatewaysWriter, Placing, RelayDirectory,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const ERA: u64 = 1;
/// More than the time for which they must have been the same.
const LATER: Duration = Duration::from_secs(6);

fn first(names: [&str; 4], gateways: usize) -> FirstGateways {
    let addr = SocketAddr::from(([10, 0, 0, 1], 7_340));
    let of = |name: &str| FirstGateway { name: name.to_owned(), processor: 1_000, addr };
    FirstGateways { gateways, first: names.map(of).to_vec() }
}

fn placing(processor: u32) -> Placing {
    Placing { data_centre: "north".to_owned(), processor }
}

#[test]
fn they_are_written_once_they_have_been_the_same_for_a_while() {
    let (now, mut writer) = (Instant::now(), FirstGatewaysWriter::default());
    let (before, after) = (first(["a", "b", "c", "d"], 400), first(["a", "b", "c", "e"], 400));

    assert!(!writer.is_due(&before, ERA, now));
    assert!(!writer.is_due(&after, ERA, now + LATER), "another one has come");
    assert!(writer.is_due(&after, ERA, now + 2 * LATER));
}

#[test]
fn they_are_written_again_in_a_new_era_and_for_another_size_of_the_fleet_only() {
    let (now, mut writer) = (Instant::now(), FirstGatewaysWriter::default());
    let written = first(["a", "b", "c", "d"], 400);
    writer.on_written(written.clone(), ERA);
    let mut is_due = |first: &FirstGateways, era| {
        writer.is_due(first, era, now);
        writer.is_due(first, era, now + LATER)
    };

    assert!(!is_due(&written, ERA));
    assert!(!is_due(&first(["a", "b", "c", "d"], 420), ERA));
    assert!(is_due(&first(["a", "b", "c", "d"], 200), ERA));
    assert!(is_due(&written, ERA + 1));
}

#[test]
fn a_gateway_that_may_be_a_relay_needs_the_list() {
    let known = first(["a", "b", "c", "d"], 400);

    assert!(known.suffices("e", &placing(1_000)));
    assert!(known.suffices("aa", &placing(90)));
    assert!(!known.suffices("aa", &placing(1_000)), "it goes before some of them");
    assert!(!known.suffices("d", &placing(90)), "it is one of them");
    let few = FirstGateways { first: known.first[..3].to_vec(), ..known };
    assert!(!few.suffices("e", &placing(1_000)));
}

#[test]
fn gateways_that_read_the_first_ones_have_ranks_of_their_own() {
    let now = Instant::now();
    let rank = |index: usize| {
        let mut directory = RelayDirectory::new(&format!("gateway-{index}"), placing(90), now);
        assert!(directory.on_first(&first(["a", "b", "c", "d"], 400)));
        directory.rank(now)
    };

    let mut ranks: Vec<usize> = (0..87).map(rank).collect();

    ranks.sort_unstable();
    ranks.dedup();
    assert!(ranks[0] >= 4 && ranks.len() > 60, "{ranks:?}");
}
