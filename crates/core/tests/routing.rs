//! Route selection: compared with an exhaustive search, and checked under load and with degraded links.

use quickcheck::{Arbitrary, Gen};
use rand::SeedableRng;
use rand::rngs::StdRng;
use sorrellock_core::id::Layer;
use sorrellock_core::request::{
    COST_JITTER, Candidate, LayerRange, LinkCosts, Peer, Route, choose_route, expected_load,
    route_cost_us,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

const SEED: u64 = 4711;
const RUNS: u64 = 2_000;
const LAYERS: Layer = 6;
const PLACES: [&str; 3] = ["pasila", "vantaa", "espoo"];

#[derive(Clone, Debug)]
struct Case {
    candidates: Vec<Candidate>,
    links: LinkCosts,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let count = u16::arbitrary(g) % 12;
        let candidates = (0..count).map(|number| arbitrary_candidate(g, number)).collect();
        let mut links = LinkCosts::new();
        for _ in 0..3 {
            let transit = Duration::from_micros(u64::from(u16::arbitrary(g)));
            links.measure(&place(g), &place(g), transit);
            links.degrade(addr(u16::arbitrary(g) % 12), &place(g), f64::from(u8::arbitrary(g)));
        }
        Case { candidates, links }
    }
}

fn arbitrary_candidate(g: &mut Gen, number: u16) -> Candidate {
    let first = Layer::arbitrary(g) % LAYERS;
    let end = first + Layer::arbitrary(g) % (LAYERS + 1 - first);
    let load = u32::arbitrary(g) % 200;
    let layers = LayerRange::new(first, end);
    Candidate { place: place(g), ..candidate(number, layers, load) }
}

fn place(g: &mut Gen) -> String {
    PLACES[usize::arbitrary(g) % PLACES.len()].into()
}

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

fn candidate(number: u16, layers: LayerRange, load: u32) -> Candidate {
    Candidate {
        daemon: Peer { addr: addr(number), incarnation: 1 },
        place: PLACES[0].into(),
        endpoint: format!("lexis-{number}"),
        layers,
        load,
        slots: 64,
    }
}

/// Returns all chains that cover the layers, by exhaustive search.
fn all_chains(candidates: &[Candidate]) -> Vec<Vec<&Candidate>> {
    let mut chains = Vec::new();
    let mut open = vec![(0, Vec::new())];
    while let Some((next, chain)) = open.pop() {
        if next == LAYERS {
            chains.push(chain);
            continue;
        }
        for candidate in candidates.iter().filter(|c| c.layers.first == next && c.layers.end > next)
        {
            let mut longer = chain.clone();
            longer.push(candidate);
            open.push((candidate.layers.end, longer));
        }
    }
    chains
}

fn hops_of<'a>(route: &Route, candidates: &'a [Candidate]) -> Vec<&'a Candidate> {
    let find = |endpoint: &str| candidates.iter().find(|c| c.endpoint == endpoint).unwrap();
    route.hops.iter().map(|hop| find(&hop.endpoint)).collect()
}

fn choose(case: &Case, seed: u64) -> Option<Route> {
    let mut rng = StdRng::seed_from_u64(seed);
    choose_route(&case.candidates, LAYERS, &PLACES[0].into(), &case.links, &mut rng)
}

#[test]
fn the_choice_is_as_good_as_that_of_all_chains_but_for_near_equals() {
    let (start, mut found) = (PLACES[0].to_owned(), 0);
    for run in 0..RUNS {
        let mut g = Gen::from_size_and_seed(100, SEED + run);
        let case = Case::arbitrary(&mut g);
        let chains = all_chains(&case.candidates);
        let cost = |hops: &Vec<&Candidate>| route_cost_us(hops, &start, &case.links);
        let min_cost = chains.iter().map(cost).min_by(f64::total_cmp);

        let route = choose(&case, SEED + run);

        assert_eq!(route.is_some(), min_cost.is_some(), "seed {}", SEED + run);
        if let (Some(route), Some(min_cost)) = (route, min_cost) {
            let chosen = cost(&hops_of(&route, &case.candidates));
            assert!(route.covers(LAYERS), "seed {}: {route:?}", SEED + run);
            assert!(
                chosen <= min_cost * (1.0 + COST_JITTER),
                "seed {}: {chosen}, {min_cost}",
                SEED + run
            );
            found += 1;
        }
    }
    assert!(found > RUNS / 10, "only {found} cases have a route");
}

#[test]
fn near_equals_are_all_chosen_and_a_much_dearer_engine_never() {
    let all = LayerRange::new(0, LAYERS);
    let candidates = vec![candidate(0, all, 3), candidate(1, all, 3), candidate(2, all, 60)];
    let case = Case { candidates, links: LinkCosts::new() };

    let chosen: BTreeSet<String> =
        (0..100).map(|seed| choose(&case, seed).unwrap().hops[0].endpoint.clone()).collect();

    assert!(chosen.iter().eq(["lexis-0", "lexis-1"]), "{chosen:?}");
}

#[test]
fn a_stale_report_is_corrected_by_the_own_requests_since() {
    let cases = [(10, 4, 4, 10), (10, 9, 4, 15), (10, 1, 4, 7), (0, 3, 0, 3), (2, 0, 5, 0)];

    for (reported, own, own_at_report, expected) in cases {
        assert_eq!(expected_load(reported, own, own_at_report), expected);
    }
}

#[test]
fn a_degraded_link_is_passed_by() {
    let (front, back) = (LayerRange::new(0, 3), LayerRange::new(3, LAYERS));
    let far = |candidate: Candidate| Candidate { place: PLACES[1].into(), ..candidate };
    let candidates =
        vec![candidate(0, front, 0), candidate(1, front, 10), far(candidate(2, back, 0))];
    let mut links = LinkCosts::new();
    let before = choose(&Case { candidates: candidates.clone(), links: links.clone() }, 1);
    links.degrade(addr(0), &PLACES[1].into(), 100.0);

    let after = choose(&Case { candidates, links }, 1);

    assert_eq!(before.unwrap().hops[0].endpoint, "lexis-0");
    assert_eq!(after.unwrap().hops[0].endpoint, "lexis-1");
}

#[test]
fn engines_with_different_cuts_join_where_their_layers_meet() {
    let candidates = vec![
        candidate(0, LayerRange::new(0, 2), 0),
        candidate(1, LayerRange::new(2, LAYERS), 0),
        candidate(2, LayerRange::new(0, 4), 0),
        candidate(3, LayerRange::new(5, LAYERS), 0),
    ];

    let route = choose(&Case { candidates, links: LinkCosts::new() }, 1).unwrap();

    let endpoints: Vec<&str> = route.hops.iter().map(|hop| &hop.endpoint[..]).collect();
    assert_eq!(endpoints, ["lexis-0", "lexis-1"]);
}
