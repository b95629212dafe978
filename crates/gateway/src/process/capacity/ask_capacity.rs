//! Asks the gateway that gives out scarce capacity.

use super::messages::{CAPACITY_PATH, CapacityAnswer, CapacityAsk};
use crate::process::{Count, Gateway, MAX_UTILIZATION, PathChoice, PathReservation, TakenGrant};
use http::Method;
use rand::RngExt;
use sorrellock_core::id::{Incarnation as GatewayIncarnation, Sequence};
use sorrellock_core::process::admission::RETURN_WAIT_FACTOR;
use sorrellock_platform::Client;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::capacity::AlonePart;
use spdlog::debug;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Time for the keeper's answer beyond the time that the request may wait: some ten round trips within a region, and the
/// keeper's own work.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time without requests to a keeper that gave no answer.
const KEEPER_RETRY: Duration = Duration::from_millis(300);

/// Time after a request for capacity in which its keeper gets this gateway's load at once: as long as a burst pauses.
const INTEREST_TIME: Duration = Duration::from_secs(1);

/// Share of a path's capacity from which it counts as scarce. Below it, a gateway takes its part of what is free without
/// asking.
pub(super) const SCARCE_FROM: f64 = 0.6;

/// The gateways that keep capacity, as this one knows them.
#[derive(Default)]
pub(crate) struct CapacityKeepers {
    /// Their connections are kept.
    clients: HashMap<SocketAddr, Client>,
    /// Those that gave no answer, and until when they aren't asked.
    silent: HashMap<SocketAddr, Instant>,
    /// When each was last asked.
    asked: HashMap<SocketAddr, Instant>,
    /// Number of the last grant that was taken, by the keeper that gave it.
    taken: HashMap<GatewayIncarnation, Sequence>,
    /// What this gateway takes of each path while no keeper answers, by first engine.
    alone: HashMap<Incarnation, AlonePart>,
    /// What it takes without asking while there is plenty.
    plenty: HashMap<Incarnation, AlonePart>,
}

impl CapacityKeepers {
    /// Drops what belongs to gateways and paths that are gone.
    pub(crate) fn retain(
        &mut self,
        is_live: impl Fn(&SocketAddr) -> bool,
        is_running: impl Fn(GatewayIncarnation) -> bool,
        is_path: impl Fn(&Incarnation) -> bool,
    ) {
        self.alone.retain(|head, _| is_path(head));
        self.plenty.retain(|head, _| is_path(head));
        self.taken.retain(|keeper, _| is_running(*keeper));
        self.clients.retain(|addr, _| is_live(addr));
        self.silent.retain(|addr, _| is_live(addr));
        self.asked.retain(|addr, _| is_live(addr));
    }

    /// Returns the keepers that were asked recently, which wait for the load of this gateway.
    pub(crate) fn interested(&self, now: Instant) -> impl Iterator<Item = SocketAddr> {
        let recent = self.asked.iter().filter(move |(_, at)| now - **at < INTEREST_TIME);
        recent.map(|(addr, _)| *addr)
    }

    /// Returns the last grants that this gateway took, for its messages.
    pub(crate) fn taken(&self) -> Vec<TakenGrant> {
        let taken = self.taken.iter();
        taken.map(|(keeper, number)| TakenGrant { keeper: *keeper, number: *number }).collect()
    }

    fn is_silent(&self, addr: SocketAddr, now: Instant) -> bool {
        self.silent.get(&addr).is_some_and(|until| *until > now)
    }

    fn client(&mut self, addr: SocketAddr) -> Client {
        self.clients.entry(addr).or_insert_with(|| Client::new(addr)).clone()
    }
}

impl Gateway {
    /// Asks for capacity. Returns the answer, and the reservation if this gateway keeps the capacity itself.
    pub(crate) async fn ask_capacity(
        &self,
        ask: CapacityAsk,
    ) -> (CapacityAnswer, Option<PathReservation>) {
        let keeper = self.capacity_keeper(&ask.service);
        self.counters.add(Count::CapacityAsks);
        if keeper == self.incarnation {
            return self.decide_capacity(ask).await;
        }
        let now = Instant::now();
        let addr = {
            let fleet_state = self.fleet_state.borrow();
            let mut peers = fleet_state.live_peers(now);
            peers.find(|peer| peer.message.incarnation == keeper).map(|peer| peer.addr)
        };
        let addr = addr.filter(|addr| !self.capacity_keepers.borrow().is_silent(*addr, now));
        let answer = match addr {
            Some(addr) => self.call_keeper(addr, &ask).await,
            None => None,
        };
        if let Some(CapacityAnswer::Granted { number, .. }) = &answer {
            // The caller reserves it before another message is sent.
            let mut keepers = self.capacity_keepers.borrow_mut();
            let taken = keepers.taken.entry(keeper).or_default();
            *taken = (*number).max(*taken);
        }
        if answer.is_none() {
            self.counters.add(Count::CapacityUnanswered);
        }
        (answer.unwrap_or(CapacityAnswer::Unknown), None)
    }

    /// Returns whether this gateway may take `tokens` of the best path while no keeper answers.
    pub(crate) fn take_alone(&self, tokens: f64, best: &PathChoice) -> bool {
        let (reach, live) = self.capacity_reach();
        let mut keepers = self.capacity_keepers.borrow_mut();
        take_part(&mut keepers.alone, tokens, best, MAX_UTILIZATION * reach, live)
    }

    /// Returns whether this gateway may take `tokens` of the best path without asking, as there is plenty.
    pub(crate) fn take_plenty(&self, tokens: f64, best: &PathChoice) -> bool {
        let (reach, live) = self.capacity_reach();
        let mut keepers = self.capacity_keepers.borrow_mut();
        take_part(&mut keepers.plenty, tokens, best, SCARCE_FROM * reach, live)
    }

    /// Drops what belongs to gateways and paths that are gone.
    pub(crate) fn drop_old_keepers(&self) {
        let fleet_state = self.fleet_state.borrow();
        let (addrs, running): (HashSet<SocketAddr>, HashSet<GatewayIncarnation>) = fleet_state
            .live_peers(Instant::now())
            .map(|peer| (peer.addr, peer.message.incarnation))
            .unzip();
        let mut keepers = self.capacity_keepers.borrow_mut();
        let paths = self.paths.borrow();
        let is_path = |head: &Incarnation| paths.is_head(head);
        keepers.retain(|addr| addrs.contains(addr), |keeper| running.contains(&keeper), is_path);
    }

    async fn call_keeper(&self, addr: SocketAddr, ask: &CapacityAsk) -> Option<CapacityAnswer> {
        let client = {
            let mut keepers = self.capacity_keepers.borrow_mut();
            keepers.asked.insert(addr, Instant::now());
            keepers.client(addr)
        };
        let body = serde_json::to_vec(ask).ok()?;
        let max_wait = Duration::from_millis(ask.max_wait_ms.into());
        let limit = max_wait * RETURN_WAIT_FACTOR + ANSWER_TIMEOUT;
        let answer = client.call(Method::POST, CAPACITY_PATH, Some(body), limit).await;
        let read = |body: &[u8]| serde_json::from_slice(body).map_err(|err| err.to_string());
        match answer.map_err(|err| err.to_string()).and_then(|answer| read(&answer.body)) {
            Ok(answer) => Some(answer),
            Err(err) => {
                debug!("no answer to a request for capacity", kv: { err = err.as_str() });
                let until = Instant::now() + KEEPER_RETRY;
                self.capacity_keepers.borrow_mut().silent.insert(addr, until);
                None
            }
        }
    }
}

/// Takes a request's share of a path out of this gateway's part of what is free below `limit`.
fn take_part(
    parts: &mut HashMap<Incarnation, AlonePart>,
    tokens: f64,
    best: &PathChoice,
    limit: f64,
    live: usize,
) -> bool {
    if best.share > limit {
        return false;
    }
    let (path, slots) = (&best.live.path, f64::from(best.live.slots));
    let share = (tokens / path.token_capacity.max(1.0)).max(1.0 / slots);
    let free = limit - best.share + share;
    let draw = rand::rng().random_range(0.0..1.0);
    let part = parts.entry(path.first().incarnation.clone()).or_default();
    part.take(share, free, live, draw, Instant::now().into_std())
}
