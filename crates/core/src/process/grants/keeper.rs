//! Keeper of limits: takes grants out of one bucket per workspace and kind.

use super::{Amount, BURST, Bucket, DecayingSum, Division, Grant, GrantAsk, LimitKey, Limits};
use crate::clock::Clock;
use crate::id::Incarnation;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The slots of an entry that hasn't asked for this long are free again.
pub const HOLDING_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest time after which an entry that got too little asks again.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// An entry that got too little counts as wanting more for this long after it may ask again.
const UNSATISFIED_GRACE: Duration = Duration::from_millis(250);
/// From this many accounts on, those whose state equals that of a new one are removed.
const SWEEP_AT: usize = 1024;

/// Initial level of the accounts of a new keeper, which doesn't know what the previous one granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLevel {
    /// An empty bucket.
    Empty,
    /// Half of the burst.
    Half,
    /// All of the burst.
    Full,
}

impl StartLevel {
    fn fill_ratio(self) -> f64 {
        match self {
            StartLevel::Empty => 0.0,
            StartLevel::Half => 0.5,
            StartLevel::Full => 1.0,
        }
    }
}

/// State of one entry on one key.
#[derive(Clone, Debug)]
struct Holding {
    slots: u32,
    at: Instant,
    last: Grant,
    want: Amount,
    /// The entry counts as wanting more until then.
    unsatisfied_until: Instant,
    served: DecayingSum,
}

/// Bucket and holdings of one key.
#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// Until then the number of requests in flight under the previous keeper is unknown.
    in_flight_unknown_until: Instant,
    fill_ratio: f64,
    holdings: HashMap<Incarnation, Holding>,
}

/// All accounts that this process keeps.
#[derive(Debug)]
pub struct Keeper<C> {
    clock: C,
    start: StartLevel,
    accounts: HashMap<LimitKey, Account>,
    members_changed_at: Instant,
    sweep_at: usize,
}

impl<C: Clock> Keeper<C> {
    /// Creates a keeper without accounts.
    pub fn new(clock: C, start: StartLevel) -> Keeper<C> {
        let members_changed_at = clock.now();
        Keeper { clock, start, accounts: HashMap::new(), members_changed_at, sweep_at: SWEEP_AT }
    }

    /// Records a change of the set of keepers: keys may have moved to this one.
    pub fn members_changed(&mut self) {
        self.members_changed_at = self.clock.now();
    }

    /// Returns the number of accounts.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Answers a grant request. A repeat of the last one gets the same answer, an older one `None`.
    pub fn answer(&mut self, entry: Incarnation, ask: &GrantAsk, limits: Limits) -> Option<Grant> {
        let now = self.clock.now();
        self.sweep(now);
        let fill_ratio = if self.is_settled(now) { 1.0 } else { self.start.fill_ratio() };
        let new = || Account::new(now, limits, fill_ratio);
        let account = self.accounts.entry(ask.key.clone()).or_insert_with(new);
        if let Some(holding) = account.holdings.get(&entry)
            && ask.number <= holding.last.number
        {
            return (ask.number == holding.last.number).then(|| holding.last.clone());
        }
        Some(account.answer(now, entry, ask, limits))
    }

    /// Returns whether the set of keepers hasn't changed for twice the burst time.
    fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.members_changed_at) > BURST * 2
    }

    fn sweep(&mut self, now: Instant) {
        if self.accounts.len() < self.sweep_at.max(SWEEP_AT) {
            return;
        }
        self.accounts.retain(|_, account| !account.is_idle(now));
        self.sweep_at = self.accounts.len() * 2;
    }
}

impl Account {
    fn new(now: Instant, limits: Limits, fill_ratio: f64) -> Account {
        let bucket = Bucket::new(now, limits.rate, fill_ratio);
        Account {
            bucket,
            in_flight_unknown_until: now + BURST,
            fill_ratio,
            holdings: HashMap::new(),
        }
    }

    fn answer(
        &mut self,
        now: Instant,
        entry: Incarnation,
        ask: &GrantAsk,
        limits: Limits,
    ) -> Grant {
        self.bucket.refill(now, limits.rate);
        self.bucket.put_back(ask.back);
        self.bucket.take(ask.debt);
        self.bucket.drain(ask.carried);
        let granted = self.part_for(now, entry, ask.want);
        self.bucket.take(granted);
        let slots = self.slots(now, entry, ask, limits);
        let grant = Grant {
            key: ask.key.clone(),
            number: ask.number,
            granted,
            slots,
            more_after: self.more_after(ask, granted, slots),
        };
        self.record_holding(now, entry, ask, &grant);
        grant
    }

    fn record_holding(&mut self, now: Instant, entry: Incarnation, ask: &GrantAsk, grant: &Grant) {
        let before = self.holdings.get(&entry).map(|holding| holding.served);
        let mut served = before.unwrap_or(DecayingSum::new(now, BURST));
        served.add(now, grant.granted - ask.back);
        let unsatisfied = !grant.more_after.is_zero();
        let holding = Holding {
            slots: grant.slots,
            at: now,
            last: grant.clone(),
            want: ask.want,
            unsatisfied_until: if unsatisfied {
                now + grant.more_after + UNSATISFIED_GRACE
            } else {
                now
            },
            served,
        };
        self.holdings.insert(entry, holding);
    }

    /// Returns when to ask again for an entry that got less than it wanted, else zero.
    fn more_after(&self, ask: &GrantAsk, granted: Amount, slots: u32) -> Duration {
        if granted.requests < ask.want.requests || granted.tokens < ask.want.tokens {
            return self.bucket.time_until_available().max(MIN_WAIT);
        }
        if slots < ask.slots { MIN_WAIT } else { Duration::ZERO }
    }

    /// Returns the amount to grant to an entry. While others want more as well, each gets a part in
    /// proportion to what it wants, whenever and however often it asks. Requests are granted in
    /// whole numbers: fractions of one at several entries couldn't start any.
    fn part_for(&self, now: Instant, entry: Incarnation, want: Amount) -> Amount {
        let level = self.bucket.level().max(Amount::ZERO);
        let others = self.holdings.iter().filter(|(other, _)| **other != entry);
        let unsatisfied =
            others.map(|(_, holding)| holding).filter(|other| other.unsatisfied_until > now);
        let unsatisfied: Vec<&Holding> = unsatisfied.collect();
        if unsatisfied.is_empty() {
            return floor_requests(want.min(level));
        }
        let served = self.holdings.get(&entry).map(|own| own.served.get(now)).unwrap_or_default();
        let of_others = unsatisfied.iter().map(|other| (other.want, other.served.get(now)));
        let of_others: Vec<(Amount, Amount)> = of_others.collect();
        let requests = Division::new(&of_others, |amount| amount.requests);
        let tokens = Division::new(&of_others, |amount| amount.tokens);
        let requests = requests.whole_part(want.requests, served.requests, level.requests);
        let tokens = tokens.part(want.tokens, served.tokens, level.tokens);
        Amount::new(requests, tokens)
    }

    /// Returns how many requests an entry may have in flight. Slots held by others are not
    /// reassigned.
    fn slots(&mut self, now: Instant, entry: Incarnation, ask: &GrantAsk, limits: Limits) -> u32 {
        self.holdings
            .retain(|_, holding| now.saturating_duration_since(holding.at) < HOLDING_TIMEOUT);
        let others = self.holdings.iter().filter(|(other, _)| **other != entry);
        let held: u32 = others.map(|(_, holding)| holding.slots).sum();
        let fill_ratio = if now < self.in_flight_unknown_until { self.fill_ratio } else { 1.0 };
        let max_slots = (f64::from(limits.in_flight) * fill_ratio).ceil() as u32;
        let free = max_slots.saturating_sub(held);
        ask.slots.min(free).max(ask.in_use.min(limits.in_flight.saturating_sub(held)))
    }

    fn is_idle(&self, now: Instant) -> bool {
        let mut bucket = self.bucket;
        bucket.refill(now, self.bucket.rate());
        let silent =
            |holding: &Holding| now.saturating_duration_since(holding.at) >= HOLDING_TIMEOUT;
        bucket.is_full() && self.holdings.values().all(silent)
    }
}

fn floor_requests(amount: Amount) -> Amount {
    Amount::new(amount.requests.floor(), amount.tokens)
}
