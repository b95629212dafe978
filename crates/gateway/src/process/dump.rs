//! Dump of a gateway's state as JSON.

use crate::process::{Gateway, Phase, unix_now};
use serde::Serialize;
use sorrellock_platform::Kind;
use sorrellock_routing::process::crashes::HeldRequest;
use sorrellock_routing::process::knowledge::{EntryState, Knowledge, KnownEndpoint};
use sorrellock_routing::process::retries::RetryBudget;
use sorrellock_routing::process::{
    ChangeCount, FaultKind, LayerRange, MAX_FOUND_CHARS, Revision, StoreEra, cut,
};
use sorrellock_routing::request::ContentId;
use sorrellock_routing::version::rank_name;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Maximum number of elements in each list: more than the largest deployment has endpoints.
const MAX_ELEMENTS: usize = 1_024;

/// The state of a gateway. Ages are in ms.
#[derive(Serialize)]
pub(crate) struct Dump {
    instance: String,
    phase: &'static str,
    config_version: u64,
    /// The newest known era of the store, and the era of the endpoint list.
    store_era: StoreEra,
    endpoints_era: StoreEra,
    endpoints_at: ChangeCount,
    /// Age of the last data from the store that was confirmed complete.
    configuration_heard_ms: Option<u64>,
    endpoints_heard_ms: Option<u64>,
    /// Which watches of the store this gateway leaves to others.
    watches_left: WatchesLeftDump,
    lead: Option<LeadDump>,
    /// Number of gateways that share the fleet's bounds, this one included, and the fraction of the retry budget's slack that this
    /// one has.
    budget_gateways: usize,
    retry_share: f64,
    /// What this gateway has of the retry budget of each service.
    retry_budgets: Vec<RetryBudgetDump>,
    /// How this gateway exchanges messages with the others: all to all, or as a member or relay of its data centre.
    role: &'static str,
    /// Number of live gateways, this one included.
    live_gateways: usize,
    /// The gateways that send messages to this one.
    gateways: Vec<GatewayDump>,
    endpoints: Vec<EndpointDump>,
    refused_by_reason: BTreeMap<FaultKind, usize>,
    refused_entries: Vec<RefusedDump>,
    paths: Vec<PathDump>,
    capacity: Vec<CapacityDump>,
    limits: Vec<LimitDump>,
    /// Endpoints that asked this gateway for no requests.
    backoffs: Vec<BackoffDump>,
    /// Endpoints that said in an answer to this gateway that they leave.
    leaving: Vec<LeavingDump>,
    /// Number of requests under which endpoints ended, too few to hold them back.
    crash_suspects: usize,
    held_requests: Vec<HeldDump>,
    /// Number of elements omitted from the lists.
    left_out: usize,
}

#[derive(Serialize)]
struct WatchesLeftDump {
    configuration: bool,
    endpoints: bool,
}

#[derive(Serialize)]
struct LeadDump {
    is_own: bool,
    term: ChangeCount,
    era: StoreEra,
    heard_ms: u64,
}

#[derive(Serialize)]
struct RetryBudgetDump {
    service: String,
    /// Requests and repeats of the latest window, and the repeats allowed in it.
    requests: usize,
    repeats: usize,
    max_repeats: f64,
}

#[derive(Serialize)]
struct GatewayDump {
    instance: String,
    addr: SocketAddr,
    heard_ms: u64,
    config_version: u64,
    endpoints_era: StoreEra,
    endpoints_at: ChangeCount,
}

#[derive(Serialize)]
struct EndpointDump {
    id: String,
    started: Option<u64>,
    service: String,
    addr: SocketAddr,
    data_centre: String,
    is_leaving: bool,
    layers: LayerRange,
    era: StoreEra,
    revision: ChangeCount,
    /// `listed`, `missing` or `unusable`.
    entry: &'static str,
    entry_ms: Option<u64>,
    why: Option<String>,
}

#[derive(Serialize)]
struct RefusedDump {
    id: String,
    era: StoreEra,
    revision: ChangeCount,
    why: String,
}

#[derive(Serialize)]
struct PathDump {
    service: String,
    data_centre: String,
    engines: Vec<String>,
    /// Total capacity in tokens.
    room: f64,
    /// Tokens that streams of this gateway reserve.
    tokens: f64,
    /// Number of streams of this gateway.
    streams: u32,
    is_superseded: bool,
    is_retiring: bool,
    is_broken: bool,
}

/// The queue for scarce capacity that this gateway gives out.
#[derive(Serialize)]
struct CapacityDump {
    service: String,
    /// Number of waiting requests by rank: that of the workspace, then that of the route.
    waiting: BTreeMap<String, usize>,
    /// Refused callers that are expected back.
    expected_returns: usize,
    /// Tokens that start per second.
    rate: f64,
}

/// A limit that an endpoint named.
#[derive(Serialize)]
struct LimitDump {
    endpoint: String,
    per_s: f64,
    /// Time since the latest answer that named it.
    named_ms: u64,
}

/// A back-off that an endpoint asked for.
#[derive(Serialize)]
struct BackoffDump {
    endpoint: String,
    left_ms: u64,
}

/// An endpoint that said that it leaves.
#[derive(Serialize)]
struct LeavingDump {
    endpoint: String,
    /// Time since it first said so.
    said_ms: u64,
}

/// A request that is held back, or was until it was released.
#[derive(Serialize)]
struct HeldDump {
    content: ContentId,
    is_held: bool,
    workspace: Option<String>,
    /// Known where the request has run, and in the store.
    path: Option<String>,
    held_ms: u64,
    /// Name of the part of prompts, if it is one.
    part: Option<String>,
    /// It may well be innocent, and is tried soon.
    is_doubtful: bool,
    /// The endpoints that ended under it.
    endpoints: Vec<String>,
    trial_by: Option<String>,
}

impl Dump {
    /// Returns the state of a gateway now.
    pub(crate) fn of(gateway: &Gateway, now: Instant) -> Dump {
        let knowledge = gateway.knowledge.borrow();
        let endpoints = knowledge.known_endpoints().map(|known| endpoint(known, now));
        let refused = knowledge.refused().iter().map(|(id, entry)| RefusedDump {
            id: cut(id, MAX_FOUND_CHARS),
            era: entry.revision.era,
            revision: entry.revision.count,
            why: entry.fault.to_string(),
        });
        let mut refused_by_reason = BTreeMap::new();
        for (_, entry) in knowledge.refused().iter() {
            *refused_by_reason.entry(entry.fault.kind()).or_default() += 1;
        }
        let mut left_out = 0;
        Dump {
            instance: gateway.settings.instance.clone(),
            phase: phase_name(*gateway.phase.borrow()),
            config_version: knowledge.config_version(),
            store_era: gateway.eras.known(),
            endpoints_era: knowledge.endpoints_at().era,
            endpoints_at: knowledge.endpoints_at().count,
            configuration_heard_ms: gateway.store_contact.age_ms(Kind::Configuration, now),
            endpoints_heard_ms: gateway.store_contact.age_ms(Kind::Endpoints, now),
            watches_left: WatchesLeftDump {
                configuration: gateway.store_contact.is_left_to_others(Kind::Configuration),
                endpoints: gateway.store_contact.is_left_to_others(Kind::Endpoints),
            },
            lead: lead(gateway, now),
            budget_gateways: gateway.fleet_state.borrow().gateways(now),
            retry_share: gateway.retry_share(now).fraction,
            retry_budgets: bounded(retry_budgets(gateway).into_iter(), &mut left_out),
            role: gateway.fleet_state.borrow().role_name(),
            live_gateways: gateway.fleet_state.borrow().live(now),
            gateways: bounded(gateways(gateway, now).into_iter(), &mut left_out),
            endpoints: bounded(endpoints, &mut left_out),
            refused_by_reason,
            refused_entries: bounded(refused, &mut left_out),
            paths: bounded(paths(gateway, &knowledge).into_iter(), &mut left_out),
            capacity: bounded(capacity(gateway).into_iter(), &mut left_out),
            limits: bounded(limits(gateway, now).into_iter(), &mut left_out),
            backoffs: bounded(backoffs(gateway, now).into_iter(), &mut left_out),
            leaving: bounded(leaving(gateway, now).into_iter(), &mut left_out),
            crash_suspects: gateway.crash_guard.borrow().suspects(),
            held_requests: bounded(
                gateway.held_records().into_iter().map(held_request),
                &mut left_out,
            ),
            left_out,
        }
    }
}

fn capacity(gateway: &Gateway) -> Vec<CapacityDump> {
    let keeper = gateway.capacity.borrow();
    let queues = keeper.queues().map(|(service, queue)| CapacityDump {
        service: service.clone(),
        waiting: queue.waiting_by_rank().into_iter().map(|(r, n)| (rank_name(r), n)).collect(),
        expected_returns: queue.expected_returns(),
        rate: queue.rate(),
    });
    queues.collect()
}

fn limits(gateway: &Gateway, now: Instant) -> Vec<LimitDump> {
    let limits = gateway.limits.borrow();
    let limited = limits.limited(now.into_std()).map(|(endpoint, limit, age)| LimitDump {
        endpoint: endpoint.to_string(),
        per_s: limit.per_s(),
        named_ms: age.as_millis() as u64,
    });
    limited.collect()
}

fn backoffs(gateway: &Gateway, now: Instant) -> Vec<BackoffDump> {
    let backoffs = gateway.backoffs.borrow();
    let active = backoffs.active(now.into_std()).map(|(endpoint, left)| BackoffDump {
        endpoint: endpoint.to_string(),
        left_ms: left.as_millis() as u64,
    });
    active.collect()
}

fn leaving(gateway: &Gateway, now: Instant) -> Vec<LeavingDump> {
    let fleet_state = gateway.fleet_state.borrow();
    let leaving = fleet_state.leaving_notices.all().map(|(endpoint, since)| LeavingDump {
        endpoint: endpoint.to_string(),
        said_ms: millis(since.into(), now),
    });
    leaving.collect()
}

fn held_request(held: HeldRequest) -> HeldDump {
    HeldDump {
        content: held.content,
        is_held: held.is_held(),
        held_ms: unix_now().saturating_sub(held.held_at),
        endpoints: held.endpoints.iter().map(ToString::to_string).collect(),
        workspace: held.workspace,
        path: held.path,
        part: held.part,
        is_doubtful: held.is_doubtful,
        trial_by: held.trial_by,
    }
}

fn bounded<T>(mut all: impl Iterator<Item = T>, left_out: &mut usize) -> Vec<T> {
    let kept = all.by_ref().take(MAX_ELEMENTS).collect();
    *left_out += all.count();
    kept
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Running => "running",
        Phase::Leaving => "leaving",
        Phase::Closing => "closing",
        Phase::Ending => "ending",
        Phase::Ended => "ended",
    }
}

fn millis(since: Instant, now: Instant) -> u64 {
    (now - since).as_millis() as u64
}

fn lead(gateway: &Gateway, now: Instant) -> Option<LeadDump> {
    let fleet_state = gateway.fleet_state.borrow();
    let (term, last_contact) = fleet_state.views.lead(now.into_std())?;
    let Revision { era, count } = term;
    let is_own = gateway.lead_term.get().is_some();
    let heard_ms = millis(last_contact.into(), now);
    Some(LeadDump { is_own, term: count, era, heard_ms })
}

fn retry_budgets(gateway: &Gateway) -> Vec<RetryBudgetDump> {
    let services: Vec<String> = gateway.budgets.borrow().keys().cloned().collect();
    let dump = |service: String| {
        let budget = gateway.retry_budget(&service);
        let RetryBudget { requests, repeats, max_repeats, .. } = budget;
        RetryBudgetDump { service, requests, repeats, max_repeats }
    };
    services.into_iter().map(dump).collect()
}

fn gateways(gateway: &Gateway, now: Instant) -> Vec<GatewayDump> {
    let fleet_state = gateway.fleet_state.borrow();
    let live = fleet_state.live_peers(now).map(|peer| GatewayDump {
        instance: peer.message.instance.clone(),
        addr: peer.addr,
        heard_ms: millis(peer.last_contact, now),
        config_version: peer.message.known.config,
        endpoints_era: peer.message.known.endpoints_at.era,
        endpoints_at: peer.message.known.endpoints_at.count,
    });
    live.collect()
}

fn endpoint(known: &KnownEndpoint, now: Instant) -> EndpointDump {
    let endpoint = &known.endpoint;
    let (entry, since, why) = match &known.entry {
        EntryState::Listed => ("listed", None, None),
        EntryState::MissingSince(since) => ("missing", Some(*since), None),
        EntryState::UnusableSince(since, fault) => {
            ("unusable", Some(*since), Some(fault.to_string()))
        }
    };
    EndpointDump {
        id: endpoint.id.clone(),
        started: endpoint.started,
        service: endpoint.service.clone(),
        addr: endpoint.addr,
        data_centre: endpoint.data_centre.clone(),
        is_leaving: endpoint.is_leaving,
        layers: endpoint.layers,
        era: known.revision.era,
        revision: known.revision.count,
        entry,
        entry_ms: since.map(|since| millis(since.into(), now)),
        why,
    }
}

fn paths(gateway: &Gateway, knowledge: &Knowledge) -> Vec<PathDump> {
    let Some(routes) = knowledge.routes() else { return Vec::new() };
    let table = gateway.paths.borrow();
    let mut paths = Vec::new();
    for service in &routes.cfg().services {
        paths.extend(table.paths(&service.name).iter().map(|live| PathDump {
            service: service.name.clone(),
            data_centre: live.path.data_centre.clone(),
            engines: live.path.parts.iter().map(|part| part.incarnation.to_string()).collect(),
            room: live.path.token_capacity,
            tokens: live.tokens.get(),
            streams: live.streams.get(),
            is_superseded: live.is_superseded.get(),
            is_retiring: live.departure().is_some(),
            is_broken: live.is_broken(),
        }));
    }
    paths
}
