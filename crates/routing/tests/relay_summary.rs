//! What gateways report together: each load and gateway once, whatever a message says.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sorrellock_routing::process::relays::{GatewayCount, LeadReport, MAX_NEWS, StoreAges, Summary};
use sorrellock_routing::process::{HeadLoad, Incarnation, Known, Revision};
use std::time::Duration;

/// A summary with any figures of a few engines and data centres.
#[derive(Clone, Debug)]
struct AnySummary(Summary);

impl Arbitrary for AnySummary {
    fn arbitrary(g: &mut Gen) -> AnySummary {
        let engine =
            |g: &mut Gen| Incarnation::new(format!("engine-{}", u8::arbitrary(g) % 4), None);
        let loads = (0..u8::arbitrary(g) % 4).map(|_| HeadLoad {
            head: engine(g),
            tokens: u32::arbitrary(g),
            streams: u32::arbitrary(g),
        });
        let mut summary = Summary { loads: loads.collect(), ..Summary::default() };
        for name in ["north", "south"] {
            let count = GatewayCount {
                live: u32::arbitrary(g),
                sharers: u32::arbitrary(g),
                half_ready_in_ms: Option::arbitrary(g),
            };
            summary.gateways.insert(name.to_owned(), count);
        }
        let at = Revision::new(u64::arbitrary(g) % 3, u64::arbitrary(g));
        summary.known = Known { config: u64::arbitrary(g), endpoints_at: at };
        summary.store_ages = StoreAges {
            configuration_ms: Option::arbitrary(g),
            endpoints_ms: Option::arbitrary(g),
        };
        let heard_ms = u32::arbitrary(g);
        summary.lead = bool::arbitrary(g).then_some(LeadReport { term: at, heard_ms, view: None });
        let leaving = (0..usize::arbitrary(g) % (2 * MAX_NEWS))
            .map(|index| Incarnation::new(format!("engine-{index}"), None));
        summary.leaving = leaving.collect();
        AnySummary(summary)
    }
}

fn merged(parts: &[AnySummary]) -> Summary {
    Summary::merged(parts.iter().map(|part| (&part.0, Duration::from_millis(40))))
}

fn load_of(summary: &Summary, head: &Incarnation) -> (u64, u64) {
    let of_head = summary.loads.iter().filter(|load| load.head == *head);
    of_head.fold((0, 0), |(tokens, streams), load| {
        (tokens + u64::from(load.tokens), streams + u64::from(load.streams))
    })
}

quickcheck! {
    fn the_order_of_parts_changes_no_figure(parts: Vec<AnySummary>) -> bool {
        let mut reversed = parts.clone();
        reversed.reverse();
        let (one, other) = (merged(&parts), merged(&reversed));
        let heads: Vec<Incarnation> = one.loads.iter().map(|load| load.head.clone()).collect();
        one.known == other.known
            && one.store_ages == other.store_ages
            && one.lead == other.lead
            && one.live() == other.live()
            && heads.iter().all(|head| load_of(&one, head) == load_of(&other, head))
    }

    fn lists_of_news_are_bounded(parts: Vec<AnySummary>) -> bool {
        merged(&parts).leaving.len() <= MAX_NEWS
    }

    fn what_a_gateway_reported_itself_is_never_taken_off_twice(summary: AnySummary, own: AnySummary) -> bool {
        let rest = summary.0.loads_without(&own.0.loads);
        rest.iter().all(|load| {
            let whole = summary.0.loads.iter().filter(|known| known.head == load.head);
            whole.map(|known| known.streams).max().is_some_and(|streams| load.streams <= streams)
        })
    }
}

#[test]
fn the_age_of_the_newest_state_is_that_of_a_gateway_that_knows_it() {
    let state = |config, ms| Summary {
        known: Known { config, endpoints_at: Revision::new(0, 1) },
        store_ages: StoreAges { configuration_ms: Some(ms), endpoints_ms: None },
        ..Summary::default()
    };
    let (behind, newest) = (state(7, 10), state(8, 900));

    let whole = Summary::merged([(&behind, Duration::ZERO), (&newest, Duration::from_millis(50))]);

    assert_eq!((whole.known.config, whole.store_ages.configuration_ms), (8, Some(950)));
}

#[test]
fn the_lead_that_was_heard_last_of_the_latest_term_counts() {
    let lead = |term, heard_ms| Summary {
        lead: Some(LeadReport { term: Revision::new(0, term), heard_ms, view: None }),
        ..Summary::default()
    };
    let parts = [lead(4, 0), lead(5, 700), lead(5, 300)];

    let whole = Summary::merged(parts.iter().map(|part| (part, Duration::ZERO)));

    let lead = whole.lead.expect("a lead");
    assert_eq!((lead.term, lead.heard_ms), (Revision::new(0, 5), 300));
}
