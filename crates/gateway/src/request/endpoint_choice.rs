//! Chooses the endpoint of a plain service for an attempt.

use crate::process::Gateway;
use crate::request::Call;
use sorrellock_core::process::retries::Permit;
use sorrellock_routing::process::crashes::Turn;
use sorrellock_routing::process::notices::SendBlock;
use sorrellock_routing::process::{Endpoint, EndpointUsage, Incarnation, endpoint_preference};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum age of a load report in use: after this time the endpoint's queue has turned over.
const LOAD_MAX_AGE: Duration = Duration::from_millis(1_000);

/// Returns the endpoints of a call's service that get new work, in an order that all gateways share.
pub(super) fn open_endpoints(gateway: &Gateway, call: &Call) -> Vec<Endpoint> {
    let now = Instant::now();
    let knowledge = gateway.knowledge.borrow();
    let fleet_state = gateway.fleet_state.borrow();
    let mut open: Vec<Endpoint> = knowledge
        .open_endpoints(now.into_std())
        .filter(|endpoint| endpoint.service == call.service)
        .filter(|endpoint| !fleet_state.is_leaving(&endpoint.incarnation(), now))
        .filter(|endpoint| !gateway.has_ended(&endpoint.incarnation()))
        .cloned()
        .collect();
    open.sort_by(|a, b| a.id.cmp(&b.id));
    open
}

/// Returns the block that ends first among the endpoints of a call's service; `None` if one may be sent a request now.
pub(super) fn service_block(gateway: &Gateway, call: &Call) -> Option<SendBlock> {
    let open = open_endpoints(gateway, call);
    SendBlock::first_to_end(open.iter().map(|endpoint| gateway.send_block(&endpoint.incarnation())))
}

/// Chooses the untried endpoint with the least expected load. Suspect endpoints and those whose circuit breaker refuses
/// are used only if there are no others.
pub(super) fn choose_endpoint(
    gateway: &Gateway,
    call: &Call,
    tried: &[Incarnation],
) -> Option<(Endpoint, Permit)> {
    let now = Instant::now();
    let all = open_endpoints(gateway, call);
    let may_take = |endpoint: &&Endpoint| {
        let endpoint = endpoint.incarnation();
        !tried.contains(&endpoint) && gateway.send_block(&endpoint).is_none()
    };
    let mut open: Vec<&Endpoint> = all.iter().filter(may_take).collect();
    let separate = match gateway.turn(call, all.len()) {
        Turn::At(index) => all.get(index).map(Endpoint::incarnation),
        Turn::Any | Turn::Wait(_) => None,
    };
    let fleet_state = gateway.fleet_state.borrow();
    let usual_ms = gateway.usual_answer(&call.service).as_secs_f64() * 1e3;
    let expected_load = |endpoint: &Endpoint| usage(gateway, endpoint, now).expected_load(usual_ms);
    let preference = |endpoint: &Endpoint| endpoint_preference(gateway.incarnation, &endpoint.id);
    open.sort_by(|a, b| {
        let suspect = |endpoint: &Endpoint| fleet_state.is_suspect(&endpoint.incarnation(), now);
        let is_other = |endpoint: &Endpoint| separate != Some(endpoint.incarnation());
        (suspect(a), is_other(a))
            .cmp(&(suspect(b), is_other(b)))
            .then_with(|| expected_load(a).total_cmp(&expected_load(b)))
            .then_with(|| preference(b).cmp(&preference(a)))
    });
    let mut breakers = gateway.breakers.borrow_mut();
    for endpoint in &open {
        if let Some(permit) = breakers.admit(&endpoint.incarnation()) {
            return Some(((*endpoint).clone(), permit));
        }
    }
    let first = *open.first()?;
    Some((first.clone(), breakers.force(&first.incarnation())))
}

/// Returns what this gateway knows of an endpoint's load.
fn usage(gateway: &Gateway, endpoint: &Endpoint, now: Instant) -> EndpointUsage {
    let used = gateway.uses.borrow().get(&endpoint.incarnation()).copied().unwrap_or_default();
    let reported = used.reported.filter(|(_, at)| now - *at < LOAD_MAX_AGE);
    EndpointUsage {
        reported: reported.map(|(load, _)| load.running + load.waiting),
        in_flight: used.in_flight,
        mean_ms: (used.mean_ms > 0.0).then_some(used.mean_ms),
        is_near: endpoint.data_centre == gateway.settings.data_centre,
    }
}
