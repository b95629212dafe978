//! Gives out the capacity of a service for all gateways, and keeps the queue for it.

use super::ask_capacity::SCARCE_FROM;
use super::grant_limits::{GrantLimits, PathShares};
use super::messages::{CapacityAnswer, CapacityAsk};
use crate::process::{Count, Gateway, LivePath, MAX_UTILIZATION, NoPlace, PathReservation};
use sorrellock_core::clock::SystemClock;
use sorrellock_core::id::{Incarnation as GatewayIncarnation, Sequence};
use sorrellock_core::process::admission::{
    CapacityDecision, CapacityDemand, CapacityQueue, CapacityRefusal, Placement, QueueBounds,
    Recovery,
};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::capacity::{
    CapacityTerm, PendingGrants, capacity_keeper, has_keeper, usable_share,
};
use sorrellock_routing::version::ServiceName;
use spdlog::info;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Time after its start until a gateway knows the loads of all others, which come with two messages of each.
const LOADS_KNOWN_AFTER: Duration = Duration::from_millis(600);
/// Interval at which the queues are decided on while requests wait, as loads of other gateways arrive.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Least time between two updates of all loads: with 300 gateways they are some 3,000 entries.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which this gateway checks for which services it gives out the capacity.
const TERM_INTERVAL: Duration = Duration::from_millis(50);

/// A request that waits for its answer.
struct Waiting {
    ask: CapacityAsk,
    answer: oneshot::Sender<Answer>,
}

/// An answer, with the reservation if the request is this gateway's own.
type Answer = (CapacityAnswer, Option<PathReservation>);

/// The queues that this gateway keeps.
#[derive(Default)]
pub(crate) struct CapacityKeeper {
    queues: HashMap<ServiceName, CapacityQueue<SystemClock>>,
    waiting: HashMap<Sequence, Waiting>,
    grants: PendingGrants,
    terms: HashMap<ServiceName, CapacityTerm>,
    shares: PathShares,
    last_ticket: Sequence,
    /// Wakes the dispatcher when a request waits.
    offered: Rc<Notify>,
    /// Wakes it when a gateway reported its load out of turn.
    loads_changed: Rc<Notify>,
}

impl CapacityKeeper {
    /// Returns the queues, by service.
    pub(crate) fn queues(
        &self,
    ) -> impl Iterator<Item = (&ServiceName, &CapacityQueue<SystemClock>)> {
        self.queues.iter()
    }

    /// Wakes the dispatcher, if requests wait.
    pub(crate) fn on_loads_changed(&self) {
        if !self.waiting.is_empty() {
            self.loads_changed.notify_one();
        }
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn offer(&mut self, ask: &CapacityAsk) -> Result<(Sequence, bool), CapacityRefusal> {
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        let demand = CapacityDemand {
            ticket,
            workspace: ask.workspace.clone().unwrap_or_default(),
            rank: ask.rank,
            is_resumed: ask.is_resumed,
            request: ask.request,
            tokens: ask.tokens,
            bytes: ask.bytes,
            max_wait: Duration::from_millis(ask.max_wait_ms.into()),
        };
        let new = || CapacityQueue::new(SystemClock, QueueBounds::new());
        let queue = self.queues.entry(ask.service.clone()).or_insert_with(new);
        let returns = queue.offer(&demand)?;
        Ok((ticket, returns))
    }
}

/// Removes a request from its queue when it no longer waits.
struct WaitGuard<'a> {
    gateway: &'a Gateway,
    service: ServiceName,
    ticket: Sequence,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut keeper = self.gateway.capacity.borrow_mut();
        if keeper.waiting.remove(&self.ticket).is_some()
            && let Some(queue) = keeper.queues.get_mut(&self.service)
        {
            queue.cancel(self.ticket);
        }
    }
}

/// Decides on waiting requests as capacity is freed and as they have waited for long enough, indefinitely.
pub(crate) async fn dispatch_capacity(gateway: Rc<Gateway>) {
    let offered = Rc::clone(&gateway.capacity.borrow().offered);
    let loads_changed = Rc::clone(&gateway.capacity.borrow().loads_changed);
    let freed = gateway.paths.borrow().freed();
    let mut updated = Instant::now();
    loop {
        gateway.check_capacity_terms();
        if gateway.capacity.borrow().waiting.is_empty() {
            // Both a request and the time are reasons to go on.
            let _ = timeout(TERM_INTERVAL, offered.notified()).await;
            continue;
        }
        tokio::select! {
            () = freed.notified() => {}
            () = loads_changed.notified() => {}
            () = sleep(DISPATCH_INTERVAL) => {}
        }
        sleep_until(updated + MIN_UPDATE_INTERVAL).await;
        updated = Instant::now();
        gateway.update_loads();
        gateway.dispatch_all_capacity();
    }
}

impl Gateway {
    /// Returns the gateway that gives out the capacity of a service.
    pub(crate) fn capacity_keeper(&self, service: &str) -> GatewayIncarnation {
        let fleet_state = self.fleet_state.borrow();
        let ready = fleet_state.live_peers(Instant::now());
        let ready = ready.filter(|peer| peer.message.ready_in_ms == 0);
        let ready = ready.map(|peer| peer.message.incarnation);
        let own = self.is_ready().then_some(self.incarnation);
        capacity_keeper(service, ready.chain(own)).unwrap_or(self.incarnation)
    }

    /// Returns whether one gateway gives out the capacity of a service for all.
    pub(crate) fn has_capacity_keeper(&self) -> bool {
        !self.fleet_state.borrow().uses_relays() && has_keeper(self.capacity_reach().1)
    }

    /// Checks for which services this gateway gives out the capacity now.
    fn check_capacity_terms(&self) {
        if !self.has_capacity_keeper() {
            return;
        }
        let now = Instant::now().into_std();
        let services: Vec<ServiceName> = {
            let knowledge = self.knowledge.borrow();
            let routes = knowledge.routes();
            routes.map(|routes| routes.ranked_services().cloned().collect()).unwrap_or_default()
        };
        let mut keeper = self.capacity.borrow_mut();
        keeper.terms.retain(|service, _| services.contains(service));
        keeper.shares.record(&self.paths.borrow(), &services, now);
        for service in services {
            let is_keeper = self.capacity_keeper(&service) == self.incarnation;
            keeper.terms.entry(service).or_default().check(is_keeper, now);
        }
    }

    /// Returns the share of the capacity that the gateways in reach may use, and their number.
    pub(crate) fn capacity_reach(&self) -> (f64, usize) {
        let now = Instant::now();
        let fleet_state = self.fleet_state.borrow();
        let live = fleet_state.live(now);
        (usable_share(live, fleet_state.gateways(now)), live)
    }

    /// Decides on a request for capacity, of this gateway or another one.
    pub(crate) async fn decide_capacity(&self, ask: CapacityAsk) -> Answer {
        if !self.knows_capacity(&ask) {
            return (CapacityAnswer::Unknown, None);
        }
        let service = ask.service.clone();
        let offered = self.capacity.borrow_mut().offer(&ask);
        let ticket = match offered {
            Ok((ticket, returns)) => {
                if returns {
                    self.counters.add(Count::CapacityReturns);
                }
                ticket
            }
            Err(refusal) => return (self.refuse_capacity(&ask, refusal), None),
        };
        let (answer, decided) = oneshot::channel();
        let offered = {
            let mut keeper = self.capacity.borrow_mut();
            keeper.waiting.insert(ticket, Waiting { ask, answer });
            Rc::clone(&keeper.offered)
        };
        let _guard = WaitGuard { gateway: self, service: service.clone(), ticket };
        self.dispatch_queue(&service);
        offered.notify_one();
        decided.await.unwrap_or((CapacityAnswer::Unknown, None))
    }

    /// Returns whether this gateway knows enough to give out capacity.
    fn knows_capacity(&self, ask: &CapacityAsk) -> bool {
        let now = Instant::now();
        let paths = self.paths.borrow();
        let mut open = paths.paths(&ask.service).iter().filter(|live| !live.is_avoided(now));
        let keeper = self.capacity.borrow();
        let is_settled =
            keeper.terms.get(&ask.service).is_some_and(|term| term.is_settled(now.into_std()));
        open.next().is_some() && is_settled && now - self.began >= LOADS_KNOWN_AFTER
    }

    /// Puts the requests that wait in order of their ranks in the configuration in force.
    pub(crate) fn update_capacity_ranks(&self) {
        let Some(routes) = self.knowledge.borrow().routes().cloned() else { return };
        let mut keeper = self.capacity.borrow_mut();
        let CapacityKeeper { queues, waiting, .. } = &mut *keeper;
        for queue in queues.values_mut() {
            queue.set_ranks(|ticket| {
                let ask = &waiting.get(&ticket)?.ask;
                routes.capacity_rank(&ask.route, ask.workspace.as_deref())
            });
        }
    }

    fn dispatch_all_capacity(&self) {
        let services: Vec<ServiceName> = self.capacity.borrow().queues.keys().cloned().collect();
        services.iter().for_each(|service| self.dispatch_queue(service));
    }

    fn dispatch_queue(&self, service: &str) {
        let expected_rate = self.expected_capacity_rate(service);
        let recovery = self.expected_recovery(service);
        let mut keeper = self.capacity.borrow_mut();
        let CapacityKeeper { queues, waiting, grants, shares, terms, .. } = &mut *keeper;
        let Some(queue) = queues.get_mut(service) else { return };
        let is_seen =
            terms.get(service).is_some_and(|term| term.is_seen(Instant::now().into_std()));
        let taken_below = if is_seen { SCARCE_FROM } else { MAX_UTILIZATION };
        let limits = shares.limits(taken_below, self.capacity_reach());
        queue.set_expected_rate(expected_rate);
        queue.set_recovery(recovery);
        let mut granted = HashMap::new();
        let decisions = queue.dispatch(|ticket, reserve| {
            let Some(waiting) = waiting.get(&ticket) else { return Placement::Unfit };
            match self.place(&waiting.ask, reserve, &limits) {
                Ok(live) => {
                    let answer = self.grant(&waiting.ask, &live, grants);
                    granted.insert(ticket, answer);
                    Placement::Placed
                }
                Err(NoPlace::Full) if self.fits_no_other(&waiting.ask, reserve, &limits) => {
                    Placement::Full
                }
                Err(_) => Placement::Unfit,
            }
        });
        let mut answers = Vec::new();
        for (ticket, decision) in decisions {
            let Some(waiting) = waiting.remove(&ticket) else { continue };
            let answer = match decision {
                CapacityDecision::Start => granted.remove(&ticket),
                CapacityDecision::Refuse(refusal) => {
                    Some((self.refuse_capacity(&waiting.ask, refusal), None))
                }
            };
            answers.extend(answer.map(|answer| (waiting.answer, answer)));
        }
        drop(keeper);
        // A request whose caller has gone drops its reservation, which wakes the dispatcher.
        answers.into_iter().for_each(|(tx, answer)| drop(tx.send(answer)));
    }

    /// Returns the path for a request on which `reserve` tokens would stay free.
    fn place(
        &self,
        ask: &CapacityAsk,
        reserve: f64,
        limits: &GrantLimits<'_>,
    ) -> Result<Rc<LivePath>, NoPlace> {
        let (tokens, now) = (ask.tokens + reserve, Instant::now());
        let may_take = |live: &Rc<LivePath>| {
            let first = &live.path.first().incarnation;
            !ask.excluded.contains(first) && self.send_block(first).is_none()
        };
        let limit = |live: &LivePath| limits.limit(&live.path.first().incarnation);
        let (service, own) = (&ask.service, &ask.data_centre);
        let best = self.paths.borrow().best_within(service, tokens, own, may_take, limit, now);
        match best {
            Some(best) if best.share > limit(&best.live) => Err(NoPlace::Full),
            Some(best) => Ok(best.live),
            None => Err(NoPlace::NoPath),
        }
    }

    /// Returns whether a request for which there is no room would fit nowhere if it excluded no path.
    fn fits_no_other(&self, ask: &CapacityAsk, reserve: f64, limits: &GrantLimits<'_>) -> bool {
        let unrestricted = CapacityAsk { excluded: Vec::new(), ..ask.clone() };
        ask.excluded.is_empty() || self.place(&unrestricted, reserve, limits).is_err()
    }

    /// Grants capacity on a path. It counts until the gateway's load includes it.
    fn grant(&self, ask: &CapacityAsk, live: &Rc<LivePath>, grants: &mut PendingGrants) -> Answer {
        let now = Instant::now();
        let head = live.path.first().incarnation.clone();
        self.counters.add(Count::CapacityGrants);
        if ask.gateway == self.incarnation {
            let place = PathReservation::new(&self.paths, live, ask.tokens, now);
            return (CapacityAnswer::Granted { head, number: 0 }, Some(place));
        }
        let number = grants.add(ask.gateway, &head, ask.tokens, now.into_std());
        self.paths.borrow_mut().add_peer_load(&head, ask.tokens);
        (CapacityAnswer::Granted { head, number }, None)
    }

    fn refuse_capacity(&self, ask: &CapacityAsk, refusal: CapacityRefusal) -> CapacityAnswer {
        self.counters.add(Count::CapacityRefusals);
        let retry_after_ms = refusal.retry_after.as_millis() as u32;
        let (reach, gateways) = self.capacity_reach();
        let is_any = |_: &Rc<LivePath>| true;
        let now = Instant::now();
        let best = self.paths.borrow().best(&ask.service, ask.tokens, "", is_any, now);
        let share = best.map_or(0.0, |best| best.share);
        info!("capacity refused", kv: {
            service = ask.service.as_str(), workspace = ask.workspace.as_deref().unwrap_or(""), rank = ask.rank,
            tokens = ask.tokens as u64, why = refusal.refusal.name(), ahead = refusal.ahead as u64,
            rate = refusal.rate as u64, reserve = refusal.reserve as u64, share, reach, gateways,
            retry_after_ms, gateway = ask.gateway
        });
        CapacityAnswer::Refused { retry_after_ms }
    }

    /// Returns the tokens per second that are freed if the streams of a service take their usual time.
    fn expected_capacity_rate(&self, service: &str) -> f64 {
        let tokens = self.paths.borrow().reserved(service);
        let paces = self.stream_paces.borrow();
        let usual = paces.get(service).map_or(0.0, |pace| pace.mean().as_secs_f64());
        if usual > 0.0 { tokens / usual } else { 0.0 }
    }

    /// Returns when the next data centre has a path again, if some lack one.
    fn expected_recovery(&self, service: &str) -> Option<Recovery> {
        let now = Instant::now();
        let (after, lost) = self.next_repair(service, now)?;
        let serving = self.paths.borrow().data_centres(service, now).max(1);
        // All of a data centre's engines count alike; those that wait for repair come back about together.
        Some(Recovery { after, factor: 1.0 + lost as f64 / serving as f64 })
    }

    /// Drops the grants that the other gateways' loads include by now, and returns the others.
    pub(crate) fn pending_grants(&self) -> Vec<(Incarnation, f64)> {
        let now = Instant::now();
        let fleet_state = self.fleet_state.borrow();
        let taken: HashMap<GatewayIncarnation, Sequence> = fleet_state
            .live_peers(now)
            .filter_map(|peer| Some((peer.message.incarnation, peer.taken_of(self.incarnation)?)))
            .collect();
        let last_taken = |gateway| taken.get(&gateway).copied();
        let mut keeper = self.capacity.borrow_mut();
        keeper.grants.drop_reported(last_taken, now.into_std());
        keeper.grants.iter().map(|(head, tokens)| (head.clone(), tokens)).collect()
    }
}
