//! Which endpoints of a plain service the gateways of a large fleet use.

use sorrellock_routing::process::{EndpointUsage, endpoint_preference};
use std::cmp::Reverse;
use std::collections::HashMap;

/// Endpoints of the service.
const ENDPOINTS: usize = 45;
/// Requests of a gateway, one after the other.
const REQUESTS: usize = 16;

fn name(endpoint: usize) -> String {
    format!("endpoint-{endpoint}")
}

/// Returns the endpoint of the lowest load that a gateway prefers.
fn choose(gateway: u64, usages: &[EndpointUsage]) -> usize {
    let mut means: Vec<f64> = usages.iter().filter_map(|usage| usage.mean_ms).collect();
    means.sort_by(f64::total_cmp);
    let usual = means.get(means.len() / 2).copied().unwrap_or_default();
    let order = |index: &usize| Reverse(endpoint_preference(gateway, &name(*index)));
    let by_load = |a: &usize, b: &usize| {
        let load = |index: &usize| usages[*index].expected_load(usual);
        load(a).total_cmp(&load(b)).then_with(|| order(a).cmp(&order(b)))
    };
    (0..usages.len()).min_by(by_load).expect("there are endpoints")
}

/// Duration of an answer, in ms, as it varies between requests.
fn duration_ms(gateway: u64, request: usize) -> f64 {
    40.0 + ((gateway * 31 + request as u64 * 17) % 40) as f64
}

/// Sends the requests of each gateway, and returns the number of endpoints that each used, and of requests at each endpoint.
fn play(gateways: u64) -> (Vec<usize>, HashMap<usize, usize>) {
    let mut used = Vec::new();
    let mut arrivals: HashMap<usize, usize> = HashMap::new();
    for gateway in 0..gateways {
        let mut usages =
            vec![EndpointUsage { is_near: true, ..EndpointUsage::default() }; ENDPOINTS];
        for request in 0..REQUESTS {
            let chosen = choose(gateway, &usages);
            let mean = &mut usages[chosen].mean_ms;
            let taken = duration_ms(gateway, request);
            *mean = Some(mean.map_or(taken, |mean| mean + 0.2 * (taken - mean)));
            *arrivals.entry(chosen).or_default() += 1;
        }
        used.push(usages.iter().filter(|usage| usage.mean_ms.is_some()).count());
    }
    (used, arrivals)
}

#[test]
fn a_gateway_with_few_requests_keeps_to_few_endpoints_and_all_get_their_part() {
    for gateways in [8, 68, 436, 872] {
        let (used, arrivals) = play(gateways);

        let mean = used.iter().sum::<usize>() as f64 / used.len() as f64;
        let most = arrivals.values().copied().max().unwrap_or_default() as f64;
        let share = most * ENDPOINTS as f64 / (gateways as usize * REQUESTS) as f64;
        println!("{gateways} gateways: {mean:.1} endpoints for each, busiest/mean {share:.2}");
        assert!(mean <= REQUESTS as f64 / 3.0, "{gateways} gateways use {mean} endpoints each");
        assert!(gateways < 436 || share <= 2.5, "busiest/mean {share} at {gateways} gateways");
    }
}

#[test]
fn a_busy_or_slow_endpoint_gives_way_to_one_that_was_never_used() {
    let slow = EndpointUsage { mean_ms: Some(400.0), is_near: true, ..EndpointUsage::default() };
    let busy = EndpointUsage { reported: Some(4), mean_ms: Some(60.0), is_near: true, ..slow };
    let fresh = EndpointUsage { is_near: true, ..EndpointUsage::default() };

    assert!(fresh.expected_load(60.0) < slow.expected_load(60.0));
    assert!(fresh.expected_load(60.0) < busy.expected_load(60.0));
}

#[test]
fn an_endpoint_of_the_own_data_centre_goes_before_an_equal_one_elsewhere() {
    let near = EndpointUsage { is_near: true, ..EndpointUsage::default() };
    let far = EndpointUsage { is_near: false, ..near };

    assert!(near.expected_load(60.0) < far.expected_load(60.0));
}
