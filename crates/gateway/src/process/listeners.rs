//! Internal listeners: readiness, metrics, the state dump, and handovers to other gateways.

use crate::process::{
    CAPACITY_PATH, CapacityAsk, Count, DIGEST_QUERY, Dump, Gateway, HANDOVER_PATH, HELD_PATH,
    MAX_ASK_BYTES, PERMIT_PATH, RELEASE_PART_PATH, RELEASE_PATH, VIEW_PATH, read_permit_request,
};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use sorrellock_core::process::callers::Held;
use sorrellock_platform::Kind;
use sorrellock_routing::process::Revision;
use sorrellock_routing::request::ContentId;
use sorrellock_routing::version::{ConfigVersion, ConfigurationMark};
use spdlog::warn;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// Delay after a failed accept, for instance with too many open files.
pub(crate) const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Path of the readiness check.
const READINESS_PATH: &str = "/v1/readiness";
/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";
/// Path of the state dump.
const DUMP_PATH: &str = "/dump";
/// Path prefix of requests to end an endpoint's back-off. The endpoint's id follows.
const CLEAR_BACKOFF_PATH: &str = "/backoff/clear/";

/// Serves readiness, metrics, the state dump and handovers, indefinitely.
pub(crate) async fn serve_internal_pages(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Rc::clone(&gateway);
                let service = service_fn(move |req| page(Rc::clone(&gateway), req));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                // Errors on the connection are left to the client.
                tokio::task::spawn_local(async { drop(connection.await) });
            }
            Err(err) => {
                let text = err.to_string();
                warn!("failed to accept an internal connection", kv: { err = text.as_str() });
                sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

async fn page(
    gateway: Rc<Gateway>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if req.method() == Method::POST && req.uri().path() == CAPACITY_PATH {
        return Ok(answer(capacity(&gateway, req).await));
    }
    let page = match req.uri().path() {
        READINESS_PATH if gateway.is_ready() => (StatusCode::OK, Bytes::from_static(b"ready")),
        READINESS_PATH => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready")),
        METRICS_PATH => (StatusCode::OK, Bytes::from(metrics(&gateway))),
        DUMP_PATH => json(&Dump::of(&gateway, Instant::now())),
        HELD_PATH => json(&gateway.crash_records()),
        path if req.method() == Method::POST && path.starts_with(RELEASE_PART_PATH) => {
            json(&gateway.release_held_part(&path[RELEASE_PART_PATH.len()..]))
        }
        path if req.method() == Method::POST && path.starts_with(RELEASE_PATH) => {
            match path[RELEASE_PATH.len()..].parse::<ContentId>() {
                Ok(content) => json(&gateway.release_held(vec![content])),
                Err(err) => (StatusCode::BAD_REQUEST, Bytes::from(format!("content: {err}"))),
            }
        }
        path if req.method() == Method::POST && path.starts_with(CLEAR_BACKOFF_PATH) => {
            json(&gateway.clear_backoff(&path[CLEAR_BACKOFF_PATH.len()..]))
        }
        VIEW_PATH => gateway.view_page(),
        path if req.method() == Method::POST && path.starts_with(PERMIT_PATH) => {
            match read_permit_request(&path[PERMIT_PATH.len()..]) {
                Some((asker, limit, endpoint)) => {
                    json(&gateway.grant_permit(&endpoint, limit, asker))
                }
                None => (StatusCode::BAD_REQUEST, Bytes::from_static(b"no request for a permit")),
            }
        }
        path => match path.strip_prefix(HANDOVER_PATH).and_then(read_known) {
            Some((version, at)) => handover(&gateway, version, at, read_digest(req.uri().query())),
            None => (StatusCode::NOT_FOUND, Bytes::from_static(b"no such page")),
        },
    };
    Ok(answer(page))
}

fn answer((status, body): (StatusCode, Bytes)) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}

/// Decides on another gateway's request for capacity.
async fn capacity(gateway: &Gateway, req: Request<Incoming>) -> (StatusCode, Bytes) {
    let body = Limited::new(req.into_body(), MAX_ASK_BYTES).collect().await;
    let body = body.map_err(|err| err.to_string());
    let ask = body.and_then(|body| {
        serde_json::from_slice::<CapacityAsk>(&body.to_bytes()).map_err(|err| err.to_string())
    });
    let ask = ask.and_then(|ask| ask.check().map(|()| ask));
    match ask {
        Ok(ask) => json(&gateway.decide_capacity(ask).await.0),
        Err(err) => {
            gateway.counters.add(Count::CapacityAsksInvalid);
            warn!("request for capacity refused", kv: { err = err.as_str() });
            (StatusCode::BAD_REQUEST, Bytes::from(format!("no request for capacity: {err}")))
        }
    }
}

/// Parses the requester's configuration version and the revision up to which it knows the endpoints.
fn read_known(text: &str) -> Option<(ConfigVersion, Revision)> {
    let (version, at) = text.split_once('/')?;
    let (era, count) = at.split_once('/')?;
    let at = Revision::new(era.parse().ok()?, count.parse().ok()?);
    Some((version.parse().ok()?, at))
}

/// Parses the digest of the requester's configuration; builds that understand no changes of configurations don't send any.
fn read_digest(query: Option<&str>) -> Option<u64> {
    u64::from_str_radix(query?.strip_prefix(DIGEST_QUERY)?, 16).ok()
}

/// Returns what this gateway has and the requester lacks.
fn handover(
    gateway: &Gateway,
    version: ConfigVersion,
    at: Revision,
    digest: Option<u64>,
) -> (StatusCode, Bytes) {
    let now = Instant::now();
    let knowledge = gateway.knowledge.borrow();
    let mut handover = match digest {
        Some(digest) => {
            let mark = ConfigurationMark { version, digest };
            knowledge.handover_of_changes(mark, at, now.into_std())
        }
        None => knowledge.handover(version, at, now.into_std()),
    };
    handover.ages = gateway.knowledge_ages(now);
    let (status, body) = json(&handover);
    let counters = &gateway.counters;
    counters.add(Count::Handovers);
    counters.add_many(Count::HandoverBytes, body.len());
    if handover.configuration.is_some() {
        counters.add(Count::HandoversOfConfigurations);
    }
    (status, body)
}

fn json(page: &impl Serialize) -> (StatusCode, Bytes) {
    match serde_json::to_vec(page) {
        Ok(body) => (StatusCode::OK, Bytes::from(body)),
        Err(err) => (StatusCode::INTERNAL_SERVER_ERROR, Bytes::from(err.to_string())),
    }
}

fn metrics(gateway: &Gateway) -> String {
    let knowledge = gateway.knowledge.borrow();
    let in_flight = gateway.in_flight.get() as f64;
    let version = knowledge.config_version() as f64;
    let endpoints = knowledge.endpoints().count() as f64;
    let now = Instant::now();
    let guard = gateway.crash_guard.borrow();
    let fleet_state = gateway.fleet_state.borrow();
    let callers = &gateway.callers;
    let counted = |counter: &AtomicU64| counter.load(Ordering::Relaxed) as f64;
    // NaN before the first data from the store.
    let age = |kind| gateway.store_contact.age_ms(kind, now).map_or(f64::NAN, |ms| ms as f64);
    gateway.counters.page(
        &gateway.store_calls,
        &[
            ("in_flight", in_flight),
            ("config_version", version),
            ("endpoints", endpoints),
            ("configuration_heard_ms", age(Kind::Configuration)),
            ("endpoints_heard_ms", age(Kind::Endpoints)),
            ("limited_endpoints", gateway.limits.borrow().limited(now.into_std()).count() as f64),
            (
                "backing_off_endpoints",
                gateway.backoffs.borrow().active(now.into_std()).count() as f64,
            ),
            ("backoffs_evicted", gateway.backoffs.borrow().evicted() as f64),
            ("leaving_notices", fleet_state.leaving_notices.len() as f64),
            ("leaving_notices_evicted", fleet_state.leaving_notices.evicted() as f64),
            ("gateways_live", fleet_state.live(now) as f64),
            ("is_relay", f64::from(u8::from(fleet_state.is_relay()))),
            ("held_requests", guard.held().held() as f64),
            ("crash_suspects", guard.suspects() as f64),
            ("crash_evicted", guard.evicted() as f64),
            ("caller_connections", callers.connections() as f64),
            ("caller_connections_max", callers.bounds().connections as f64),
            ("caller_connections_closed_stalled", counted(&callers.counters().closed_stalled)),
            ("endpoint_connections_open", gateway.endpoint_connections.get() as f64),
            ("body_bytes", callers.held_bytes(Held::Body) as f64),
            ("body_bytes_max", callers.bounds().body_bytes as f64),
            ("bodies_refused_no_room", counted(&callers.counters().refused_bodies)),
            ("answer_bytes", callers.held_bytes(Held::Answer) as f64),
            ("answer_bytes_max", callers.bounds().answer_bytes as f64),
            ("capacity_waiting", gateway.capacity.borrow().waiting() as f64),
            ("loop_lag_longest_ms", gateway.recent_longest_pause().as_secs_f64() * 1e3),
        ],
    )
}
