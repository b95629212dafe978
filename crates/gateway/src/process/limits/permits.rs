//! Permits to send to endpoints that named a limit. One gateway grants those of an endpoint for all, so that the limit
//! holds for the fleet, whatever its size.

use crate::process::{Count, Gateway};
use http::Method;
use sorrellock_platform::Client;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::limits::{Permit, PermitBucket, RateLimit, permit_keeper};
use spdlog::debug;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for the answer of the gateway that grants permits: some ten round trips within a region, and its own work.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time until a permit is asked for again after the gateway that grants them gave no answer.
const KEEPER_RETRY: Duration = Duration::from_millis(300);
/// Path prefix of requests for a permit. The asker's incarnation, the limit that it knows, and the endpoint's start and id
/// follow.
pub(crate) const PERMIT_PATH: &str = "/permit/";
/// Stands for an endpoint's start that isn't known.
const NO_START: &str = "-";

/// Permits of endpoints that named a limit.
#[derive(Default)]
pub(crate) struct Permits {
    /// Those that this gateway grants.
    buckets: HashMap<Incarnation, PermitBucket>,
    /// Endpoints for which this gateway was denied a permit, and until when.
    denied: HashMap<Incarnation, Instant>,
    /// Clients of the gateways that grant permits; their connections are kept.
    keepers: HashMap<SocketAddr, Client>,
}

impl Permits {
    fn keeper(&mut self, addr: SocketAddr) -> Client {
        self.keepers.entry(addr).or_insert_with(|| Client::new(addr)).clone()
    }
}

/// The gateway that grants an endpoint's permits.
enum Keeper {
    Own,
    Other(SocketAddr),
}

impl Gateway {
    /// Drops what has expired or belongs to endpoints or gateways that are gone.
    pub(crate) fn drop_old_permits(&self, is_current: impl Fn(&Incarnation) -> bool) {
        let now = Instant::now();
        let fleet_state = self.fleet_state.borrow();
        let addrs: HashSet<SocketAddr> =
            fleet_state.coordinators(now).into_iter().map(|other| other.addr).collect();
        let mut permits = self.permits.borrow_mut();
        permits.buckets.retain(|endpoint, _| is_current(endpoint));
        permits.denied.retain(|_, until| *until > now);
        permits.keepers.retain(|addr, _| addrs.contains(addr));
    }

    /// Returns the time until this gateway may ask for a permit to send to an endpoint; `None` if it may now, or if the
    /// endpoint names no limit.
    pub(crate) fn denied_for(&self, endpoint: &Incarnation) -> Option<Duration> {
        self.limits.borrow().limit(endpoint)?;
        let until = *self.permits.borrow().denied.get(endpoint)?;
        let left = until.saturating_duration_since(Instant::now());
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether an endpoint names a limit.
    pub(crate) fn is_limited(&self, endpoint: &Incarnation) -> bool {
        self.limits.borrow().limit(endpoint).is_some()
    }

    /// Takes a permit to send one request to an endpoint, if it names a limit. Returns the time after which to ask again
    /// if there is none.
    pub(crate) async fn take_permit(&self, endpoint: &Incarnation) -> Result<(), Duration> {
        let Some(limit) = self.limits.borrow().limit(endpoint) else { return Ok(()) };
        if let Some(wait) = self.denied_for(endpoint) {
            return Err(wait);
        }
        let permit = match self.permit_keeper(endpoint) {
            Keeper::Own => self.grant_permit(endpoint, limit, self.incarnation),
            Keeper::Other(addr) => self.ask_permit(endpoint, limit, addr).await,
        };
        match permit {
            Permit::Granted => {
                self.counters.add(Count::LimitedSends);
                Ok(())
            }
            Permit::Denied { retry_in } => {
                self.counters.add(Count::PermitsDenied);
                let until = Instant::now() + retry_in;
                self.permits.borrow_mut().denied.insert(endpoint.clone(), until);
                Err(retry_in)
            }
        }
    }

    fn permit_keeper(&self, endpoint: &Incarnation) -> Keeper {
        let now = Instant::now();
        let fleet_state = self.fleet_state.borrow();
        let others = fleet_state.coordinators(now);
        let own = fleet_state.is_coordinator().then_some(self.incarnation);
        let candidates = others.iter().map(|other| other.incarnation).chain(own);
        let keeper = permit_keeper(endpoint, candidates);
        let other = others.iter().find(|other| Some(other.incarnation) == keeper);
        other.map_or(Keeper::Own, |other| Keeper::Other(other.addr))
    }

    /// Grants or denies a permit to the gateway with the incarnation `asker`, which knows this limit of the endpoint.
    pub(crate) fn grant_permit(
        &self,
        endpoint: &Incarnation,
        limit: RateLimit,
        asker: u64,
    ) -> Permit {
        let now = Instant::now();
        let limit = self.limits.borrow().limit(endpoint).unwrap_or(limit);
        let share = self.fleet_state.borrow().reachable_share(now);
        let mut permits = self.permits.borrow_mut();
        let new = || PermitBucket::new(now.into_std());
        let bucket = permits.buckets.entry(endpoint.clone()).or_insert_with(new);
        bucket.take(limit, share, asker, now.into_std())
    }

    async fn ask_permit(
        &self,
        endpoint: &Incarnation,
        limit: RateLimit,
        addr: SocketAddr,
    ) -> Permit {
        let client = self.permits.borrow_mut().keeper(addr);
        let started = endpoint.started.map_or(NO_START.to_owned(), |started| started.to_string());
        let asker = self.incarnation;
        let path = format!("{PERMIT_PATH}{asker}/{limit}/{started}/{}", endpoint.id);
        let answer = client.call(Method::POST, &path, None, PERMIT_TIMEOUT).await;
        let read = |body: &[u8]| serde_json::from_slice::<Permit>(body).map_err(|e| e.to_string());
        match answer.map_err(|err| err.to_string()).and_then(|answer| read(&answer.body)) {
            Ok(permit) => permit,
            Err(err) => {
                self.counters.add(Count::PermitFailures);
                debug!("no answer to a request for a permit", kv: { err = err.as_str() });
                Permit::Denied { retry_in: KEEPER_RETRY }
            }
        }
    }
}

/// Parses the part of a request for a permit after [`PERMIT_PATH`].
pub(crate) fn read_permit_request(text: &str) -> Option<(u64, RateLimit, Incarnation)> {
    let mut parts = text.splitn(4, '/');
    let asker = parts.next()?.parse().ok()?;
    let limit = parts.next()?.parse().ok()?;
    let started = match parts.next()? {
        NO_START => None,
        started => Some(started.parse().ok()?),
    };
    Some((asker, limit, Incarnation::new(parts.next()?, started)))
}
