//! The keeper of limits: one bucket for each workspace and kind, out of which grants are taken.

use super::{Amount, BURST, Bucket, Decayed, Division, Grant, GrantAsk, LimitKey, Limits};
use crate::clock::Clock;
use crate::id::Incarnation;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// After this silence an entry's requests in flight count no more.
pub const HOLD: Duration = Duration::from_secs(3);
/// The least time after which an entry that got too little asks again.
const LEAST_WAIT: Duration = Duration::from_millis(50);
/// An entry that got too little counts this long as one that wants more, once it may ask again.
const HUNGER: Duration = Duration::from_millis(250);
/// Past this many accounts, those that a new one would equal are closed.
const SWEEP_AT: usize = 1024;

/// What an account starts from whose keeper is new: nobody knows what the one before granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartLevel {
    /// Nothing.
    Empty,
    /// Half of the burst.
    Half,
    /// All of the burst.
    Full,
}

impl StartLevel {
    fn filled(self) -> f64 {
        match self {
            StartLevel::Empty => 0.0,
            StartLevel::Half => 0.5,
            StartLevel::Full => 1.0,
        }
    }
}

/// What an entry holds of one key.
#[derive(Clone, Debug)]
struct Holding {
    slots: u32,
    at: Instant,
    last: Grant,
    want: Amount,
    /// Until then the entry counts as one that wants more.
    hungry_until: Instant,
    served: Decayed,
}

#[derive(Debug)]
struct Account {
    bucket: Bucket,
    /// Until then it is not known what the keeper before left in flight.
    learns_until: Instant,
    filled: f64,
    holdings: HashMap<Incarnation, Holding>,
}

/// The accounts that a process keeps.
#[derive(Debug)]
pub struct Keeper<C> {
    clock: C,
    start: StartLevel,
    accounts: HashMap<LimitKey, Account>,
    changed: Instant,
    sweep_at: usize,
}

impl<C: Clock> Keeper<C> {
    /// A keeper that has just begun.
    pub fn new(clock: C, start: StartLevel) -> Keeper<C> {
        let changed = clock.now();
        Keeper { clock, start, accounts: HashMap::new(), changed, sweep_at: SWEEP_AT }
    }

    /// Other keepers came or went: keys may have moved here.
    pub fn members_changed(&mut self) {
        self.changed = self.clock.now();
    }

    /// How many accounts are open.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Answers an entry; nothing if the question is older than one already answered.
    pub fn answer(&mut self, entry: Incarnation, ask: &GrantAsk, limits: Limits) -> Option<Grant> {
        let now = self.clock.now();
        self.sweep(now);
        let filled = if self.is_settled(now) { 1.0 } else { self.start.filled() };
        let new = || Account::new(now, limits, filled);
        let account = self.accounts.entry(ask.key.clone()).or_insert_with(new);
        if let Some(holding) = account.holdings.get(&entry)
            && ask.number <= holding.last.number
        {
            return (ask.number == holding.last.number).then(|| holding.last.clone());
        }
        Some(account.answer(now, entry, ask, limits))
    }

    fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.changed) > BURST * 2
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
    fn new(now: Instant, limits: Limits, filled: f64) -> Account {
        let bucket = Bucket::new(now, limits.rate, filled);
        Account { bucket, learns_until: now + BURST, filled, holdings: HashMap::new() }
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
        let granted = self.part_of(now, entry, ask.want);
        self.bucket.take(granted);
        let slots = self.slots(now, entry, ask, limits);
        let grant = Grant {
            key: ask.key.clone(),
            number: ask.number,
            granted,
            slots,
            more_after: self.more_after(ask, granted, slots),
        };
        self.note(now, entry, ask, &grant);
        grant
    }

    fn note(&mut self, now: Instant, entry: Incarnation, ask: &GrantAsk, grant: &Grant) {
        let before = self.holdings.get(&entry).map(|holding| holding.served);
        let mut served = before.unwrap_or(Decayed::new(now, BURST));
        served.add(now, grant.granted - ask.back);
        let hungry = !grant.more_after.is_zero();
        let holding = Holding {
            slots: grant.slots,
            at: now,
            last: grant.clone(),
            want: ask.want,
            hungry_until: if hungry { now + grant.more_after + HUNGER } else { now },
            served,
        };
        self.holdings.insert(entry, holding);
    }

    /// When to ask again, for an entry that got less than it wanted.
    fn more_after(&self, ask: &GrantAsk, granted: Amount, slots: u32) -> Duration {
        if granted.requests < ask.want.requests || granted.tokens < ask.want.tokens {
            return self.bucket.time_until_some().max(LEAST_WAIT);
        }
        if slots < ask.slots { LEAST_WAIT } else { Duration::ZERO }
    }

    /// What an entry gets of what there is: where others want more too, each gets a part by what
    /// it wants, however often and at which moment it asks. Whole requests only: parts of one at
    /// several entries would serve nobody.
    fn part_of(&self, now: Instant, entry: Incarnation, want: Amount) -> Amount {
        let level = self.bucket.level().max(Amount::ZERO);
        let others = self.holdings.iter().filter(|(other, _)| **other != entry);
        let hungry = others.map(|(_, holding)| holding).filter(|other| other.hungry_until > now);
        let hungry: Vec<&Holding> = hungry.collect();
        if hungry.is_empty() {
            return floored(want.min(level));
        }
        let served = self.holdings.get(&entry).map(|own| own.served.get(now)).unwrap_or_default();
        let of_others = hungry.iter().map(|other| (other.want, other.served.get(now)));
        let of_others: Vec<(Amount, Amount)> = of_others.collect();
        let requests = Division::new(&of_others, |amount| amount.requests);
        let tokens = Division::new(&of_others, |amount| amount.tokens);
        let requests = requests.whole_part(want.requests, served.requests, level.requests);
        let tokens = tokens.part(want.tokens, served.tokens, level.tokens);
        Amount::new(requests, tokens)
    }

    /// How many requests an entry may have in flight: what others hold stays theirs.
    fn slots(&mut self, now: Instant, entry: Incarnation, ask: &GrantAsk, limits: Limits) -> u32 {
        self.holdings.retain(|_, holding| now.saturating_duration_since(holding.at) < HOLD);
        let others = self.holdings.iter().filter(|(other, _)| **other != entry);
        let held: u32 = others.map(|(_, holding)| holding.slots).sum();
        let filled = if now < self.learns_until { self.filled } else { 1.0 };
        let most = (f64::from(limits.in_flight) * filled).ceil() as u32;
        let free = most.saturating_sub(held);
        ask.slots.min(free).max(ask.in_use.min(limits.in_flight.saturating_sub(held)))
    }

    fn is_idle(&self, now: Instant) -> bool {
        let mut bucket = self.bucket;
        bucket.refill(now, self.bucket.rate());
        let silent = |holding: &Holding| now.saturating_duration_since(holding.at) >= HOLD;
        bucket.is_full() && self.holdings.values().all(silent)
    }
}

fn floored(amount: Amount) -> Amount {
    Amount::new(amount.requests.floor(), amount.tokens)
}
