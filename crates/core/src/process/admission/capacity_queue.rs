//! Queue for scarce capacity that all processes share: who starts, who waits, who is refused and when they may return.
//!
//! The queue knows no capacity itself. Whoever keeps it measures what is taken and tells for each request, in the order of
//! the queue, whether it fits now.

use crate::clock::Clock;
use crate::id::{Sequence, WorkspaceId};
use crate::process::Queued;
use crate::process::admission::{
    Promises, QueueBounds, Rank, RankShares, RankedQueue, RequestIdentity, StartRate,
};
use crate::request::Refusal;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Number of ranks.
pub const RANKS: Rank = 100;
/// Shortest Retry-After: a caller that returns sooner finds the same streams still running.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Share of the drain rate that returning callers are promised. The rest serves new requests in time: while the load stays
/// above the capacity, all would be served late otherwise.
const PROMISED_SHARE: f64 = 0.5;
/// Longest Retry-After: what is lost is repaired by then, or the load has changed, so that an estimate doesn't hold beyond it.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(4);
/// Factor on the longest wait of callers that return as told: most don't try a third time, so that a late answer is worth
/// more to them than a second refusal.
pub const RETURN_WAIT_FACTOR: u32 = 4;
/// Capacity that a request leaves to more urgent ones, as the time in which these ask for it: about the time after which
/// the capacity of others is freed.
const RESERVE_TIME: f64 = 0.06;
/// Time between two checks of all waiting requests against the drain rate.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A request that wants capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityDemand {
    /// Number of the request; increases with each arrival.
    pub ticket: Sequence,
    /// The workspace that sent it; empty for callers without one.
    pub workspace: WorkspaceId,
    /// Its rank; those from [`RANKS`] on count as the last one.
    pub rank: Rank,
    /// Whether it goes before new requests of its rank, as it has lost its run.
    pub is_resumed: bool,
    /// Identifies it among the attempts of its caller.
    pub request: RequestIdentity,
    /// Capacity that it takes, in tokens.
    pub tokens: f64,
    /// Size of its body in bytes.
    pub bytes: u64,
    /// Longest time that it may wait.
    pub max_wait: Duration,
}

/// Whether a request fits into the capacity that is free now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// It has been given capacity.
    Placed,
    /// There isn't enough. Requests behind it don't overtake it, as large ones would never start otherwise.
    Full,
    /// None that it may use is free, though others may use some.
    Unfit,
}

/// Capacity that will be added.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Recovery {
    /// Time until then.
    pub after: Duration,
    /// Factor by which the work that starts per second grows.
    pub factor: f64,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CapacityDecision {
    /// It starts.
    Start,
    /// It is refused.
    Refuse(CapacityRefusal),
}

/// A refusal, with the figures that it follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityRefusal {
    /// The reason.
    pub refusal: Refusal,
    /// Time after which its caller may return.
    pub retry_after: Duration,
    /// Work that goes before it.
    pub ahead: f64,
    /// Work started per second.
    pub rate: f64,
    /// Tokens that requests of its rank leave to more urgent ones.
    pub reserve: f64,
}

/// What the queue keeps of a waiting request beside its place.
#[derive(Clone, Copy, Debug)]
struct Entry {
    order: Rank,
    /// Identifies it when its caller returns; none for a request whose caller waits for a lost run.
    request: Option<RequestIdentity>,
    tokens: f64,
    deadline: Instant,
    /// Work that went before it when it was offered.
    ahead: f64,
}

/// Queue for scarce capacity.
#[derive(Debug)]
pub struct CapacityQueue<C> {
    clock: C,
    waiting: RankedQueue,
    shares: RankShares,
    promises: Promises,
    entries: HashMap<Sequence, Entry>,
    /// The waiting requests by the time at which they have waited for as long as they may.
    deadlines: BTreeSet<(Instant, Sequence)>,
    /// Requests that were offered since the last dispatch.
    offered: Vec<Sequence>,
    /// Requests that were dropped to make space, and are refused by the next dispatch.
    dropped: Vec<(Sequence, Entry)>,
    rate: StartRate,
    recovery: Option<Recovery>,
    late_checked: Instant,
}

impl<C: Clock> CapacityQueue<C> {
    /// Creates an empty queue.
    pub fn new(clock: C, bounds: QueueBounds) -> CapacityQueue<C> {
        let now = clock.now();
        CapacityQueue {
            clock,
            waiting: RankedQueue::new(bounds),
            shares: RankShares::default(),
            promises: Promises::default(),
            entries: HashMap::new(),
            deadlines: BTreeSet::new(),
            offered: Vec::new(),
            dropped: Vec::new(),
            rate: StartRate::new(now),
            recovery: None,
            late_checked: now,
        }
    }

    /// Sets the drain rate to expect before it is measured: the tokens that are reserved over the usual duration of a
    /// request.
    pub fn set_expected_rate(&mut self, tokens_per_second: f64) {
        self.rate.set_expected(tokens_per_second);
    }

    /// Sets the capacity that is expected to be added, if any.
    pub fn set_recovery(&mut self, recovery: Option<Recovery>) {
        self.recovery = recovery;
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of refused callers that are expected back.
    pub fn expected_returns(&self) -> usize {
        self.promises.len()
    }

    /// Returns the work that starts per second while capacity is full, or is expected to.
    pub fn rate(&self) -> f64 {
        self.rate.get(self.clock.now())
    }

    /// Returns the number of waiting requests of each rank.
    pub fn waiting_by_rank(&self) -> BTreeMap<Rank, usize> {
        let mut counts = BTreeMap::new();
        for order in self.waiting.waiting_ranks() {
            *counts.entry(rank_of(order)).or_default() += self.waiting.rank(order).len();
        }
        counts
    }

    /// Queues a request, or refuses it for the bounds on memory. [`CapacityQueue::dispatch`] decides on it.
    /// Returns whether its caller returns as it was told.
    pub fn offer(&mut self, demand: &CapacityDemand) -> Result<bool, CapacityRefusal> {
        let now = self.clock.now();
        let rank = demand.rank.min(RANKS - 1);
        self.shares.on_offered(rank, demand.tokens, now);
        let returns = self.promises.take(demand.request, now);
        let order = order(rank, returns || demand.is_resumed);
        let bytes = demand.bytes + QueueBounds::REQUEST_BYTES;
        let request = (!demand.is_resumed).then_some(demand.request);
        if self.waiting.check_bounds(order, &demand.workspace, bytes).is_err() {
            return Err(self.refuse(Refusal::Limit, order, demand.tokens, request, now));
        }
        let ahead = self.waiting.work_ahead(order, &demand.workspace, 1.0);
        let max_wait = if returns { demand.max_wait * RETURN_WAIT_FACTOR } else { demand.max_wait };
        let (ticket, tokens, deadline) = (demand.ticket, demand.tokens, now + max_wait);
        let queued = Queued { ticket, weight: 1.0, known: tokens, cost: tokens, bytes, deadline };
        self.waiting.rank_mut(order).push(&demand.workspace, queued);
        let entry = Entry { order, request, tokens, deadline, ahead };
        self.entries.insert(ticket, entry);
        self.deadlines.insert((deadline, ticket));
        self.offered.push(ticket);
        while let Some(excess) = self.waiting.excess(order) {
            let entry = self.remove(excess);
            self.dropped.extend(entry.map(|entry| (excess, entry)));
        }
        Ok(returns)
    }

    /// Removes a request whose caller has gone. Returns whether it was waiting.
    pub fn cancel(&mut self, ticket: Sequence) -> bool {
        self.remove(ticket).is_some()
    }

    /// Puts the waiting requests in order of their ranks in a new configuration. `rank` returns that of a request, if it is
    /// known.
    pub fn set_ranks(&mut self, rank: impl Fn(Sequence) -> Option<Rank>) {
        let new_order = |(ticket, entry): (&Sequence, &Entry)| {
            let goes_first = entry.order == order(rank_of(entry.order), true);
            let order = order(rank(*ticket)?.min(RANKS - 1), goes_first);
            (order != entry.order).then_some((*ticket, order))
        };
        let moved: Vec<(Sequence, Rank)> = self.entries.iter().filter_map(new_order).collect();
        for (ticket, order) in moved {
            let Some(entry) = self.entries.get_mut(&ticket) else { continue };
            let removed = self.waiting.rank_mut(entry.order).remove(ticket);
            entry.order = order;
            if let Some((workspace, queued)) = removed {
                self.waiting.rank_mut(order).push(&workspace, queued);
            }
        }
    }

    /// Returns when the next waiting request has waited for as long as it may.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Decides on the waiting requests. `place` gives capacity to a request if it fits and leaves that many tokens free.
    pub fn dispatch(
        &mut self,
        mut place: impl FnMut(Sequence, f64) -> Placement,
    ) -> Vec<(Sequence, CapacityDecision)> {
        let now = self.clock.now();
        let mut decisions = Vec::new();
        for (ticket, Entry { order, request, tokens, .. }) in std::mem::take(&mut self.dropped) {
            let refusal = self.refuse(Refusal::Capacity, order, tokens, request, now);
            decisions.push((ticket, CapacityDecision::Refuse(refusal)));
        }
        let mut unfit = Vec::new();
        while let Some((order, ticket)) = self.next(now) {
            match place(ticket, self.reserve(rank_of(order), now)) {
                Placement::Placed => {
                    self.start(order, now);
                    decisions.push((ticket, CapacityDecision::Start));
                }
                Placement::Full => {
                    self.rate.on_full(now);
                    break;
                }
                Placement::Unfit => {
                    let removed = self.waiting.rank_mut(order).remove(ticket);
                    unfit.extend(removed.map(|(workspace, queued)| (order, workspace, queued)));
                }
            }
        }
        for (order, workspace, queued) in unfit {
            self.waiting.rank_mut(order).push(&workspace, queued);
        }
        self.refuse_late(now, &mut decisions);
        decisions
    }

    /// Returns the request that is next in order.
    fn next(&self, now: Instant) -> Option<(Rank, Sequence)> {
        let behind = self.shares.most_behind(self.waiting.waiting_ranks().map(rank_of), now);
        let orders = |rank: Rank| [order(rank, true), order(rank, false)];
        let first = behind.into_iter().flat_map(orders);
        let next = first.chain(self.waiting.waiting_ranks());
        let head = |order: Rank| Some((order, self.waiting.rank(order).peek()?.ticket));
        next.into_iter().find_map(head)
    }

    /// Returns the tokens that a request of `rank` leaves to more urgent ones.
    fn reserve(&self, rank: Rank, now: Instant) -> f64 {
        if self.shares.is_behind(rank, now) {
            return 0.0;
        }
        self.shares.offered_above(rank, now).min(self.rate.get(now)) * RESERVE_TIME
    }

    fn start(&mut self, order: Rank, now: Instant) {
        let queue = self.waiting.rank_mut(order);
        let Some((workspace, queued)) = queue.pop() else { return };
        // The work is charged as known; its end corrects nothing.
        queue.finish(&workspace, queued.weight, 0.0);
        if let Some(entry) = self.entries.remove(&queued.ticket) {
            self.deadlines.remove(&(entry.deadline, queued.ticket));
        }
        self.rate.on_started(queued.cost, now);
        self.shares.on_started(rank_of(order), queued.cost, now);
    }

    fn remove(&mut self, ticket: Sequence) -> Option<Entry> {
        let entry = self.entries.remove(&ticket)?;
        self.deadlines.remove(&(entry.deadline, ticket));
        self.waiting.rank_mut(entry.order).remove(ticket);
        Some(entry)
    }

    /// Refuses requests that have waited for as long as they may, or can't start before that.
    fn refuse_late(&mut self, now: Instant, decisions: &mut Vec<(Sequence, CapacityDecision)>) {
        let over = self.deadlines.iter().take_while(|(deadline, _)| *deadline <= now);
        let mut late: Vec<Sequence> = over.map(|(_, ticket)| *ticket).collect();
        let offered = std::mem::take(&mut self.offered);
        late.extend(offered.into_iter().filter(|ticket| self.is_hopeless(*ticket, now)));
        let rate = self.rate.get(now);
        if rate > 0.0 && now.duration_since(self.late_checked) >= LATE_CHECK_INTERVAL {
            self.late_checked = now;
            let found = self.waiting.late(rate, now).into_iter();
            let found = found.filter(|(order, _)| !self.shares.is_behind(rank_of(*order), now));
            late.extend(found.map(|(_, ticket)| ticket));
        }
        for ticket in late {
            let Some(entry) = self.remove(ticket) else { continue };
            let Entry { order, tokens, request, .. } = entry;
            let refusal = self.refuse(Refusal::Deadline, order, tokens, request, now);
            decisions.push((ticket, CapacityDecision::Refuse(refusal)));
        }
    }

    /// Returns whether a request that was just offered can't start in the time that it may wait.
    fn is_hopeless(&self, ticket: Sequence, now: Instant) -> bool {
        let Some(entry) = self.entries.get(&ticket) else { return false };
        let rate = self.rate.get(now);
        let left = entry.deadline.saturating_duration_since(now).as_secs_f64();
        let wait = (entry.ahead + entry.tokens) / rate;
        rate > 0.0 && wait > left && !self.shares.is_behind(rank_of(entry.order), now)
    }

    fn refuse(
        &mut self,
        refusal: Refusal,
        order: Rank,
        tokens: f64,
        request: Option<RequestIdentity>,
        now: Instant,
    ) -> CapacityRefusal {
        let rank = rank_of(order);
        let rate = self.rate.get(now);
        let floor = rate * self.shares.floor_share(rank, now);
        let own_rate = (rate - self.shares.offered_above(rank, now)).max(floor) * PROMISED_SHARE;
        let waiting = self.waiting.work_of_higher_ranks(order.saturating_add(1));
        let ahead = waiting + self.promises.work_up_to(rank);
        let retry_after = self.time_for(ahead + tokens, own_rate);
        if let Some(request) = request {
            self.promises.add(request, rank, tokens, retry_after, now);
        }
        let reserve = self.reserve(rank, now);
        CapacityRefusal { refusal, retry_after, ahead, rate, reserve }
    }

    /// Returns the time in which `work` is done at a rate that grows once capacity is added.
    fn time_for(&self, work: f64, rate: f64) -> Duration {
        let seconds = match self.recovery {
            Some(Recovery { after, factor }) if work > rate * after.as_secs_f64() => {
                let left = work - rate * after.as_secs_f64();
                after.as_secs_f64() + left / (rate * factor)
            }
            _ => work / rate,
        };
        let time = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETURN_DELAY);
        time.clamp(MIN_RETRY_AFTER, MAX_RETURN_DELAY)
    }
}

/// Returns the place of a rank in the queue: lost runs and returning callers go before new requests of their rank.
fn order(rank: Rank, goes_first: bool) -> Rank {
    2 * rank + u8::from(!goes_first)
}

fn rank_of(order: Rank) -> Rank {
    order / 2
}
