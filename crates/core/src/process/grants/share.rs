//! What one entry may spend of a limit: its grants, and its last share while no keeper answers.

use super::{Amount, BURST, Decayed, Grant, GrantAsk, LimitKey, Limits};
use crate::id::Incarnation;
use crate::process::admission::Mean;
use std::time::{Duration, Instant};

mod silence;

/// A grant covers what the entry expects to spend in this time.
const HORIZON: Duration = Duration::from_millis(200);
/// The least time told to a caller while the entry is alone.
const LEAST_WAIT: Duration = Duration::from_millis(50);
/// The longest time waited for an answer, and the time where none has come yet.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// After this time alone an entry spends no more than an equal part.
const ALONE_LONG: Duration = Duration::from_secs(10);
/// Alone, an entry that had no share spends this part of an equal part.
const LEAST_ALONE: f64 = 0.125;
/// What was granted longer ago than this is not spent any more.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// A share that holds nothing is forgotten after this time.
const FORGET: Duration = Duration::from_secs(5);
/// Memory of the demand.
const DEMAND_MEMORY: Duration = Duration::from_millis(500);
/// Requests in flight are told to the keeper this often.
const RENEW: Duration = Duration::from_millis(700);
/// What is not used is given back if it is this part of what the limit brings in a second; less
/// is left to lapse, which costs no message.
const WORTH_BACK: f64 = 0.05;
/// A request may go on before the keeper is asked where the limit in flight is this many times
/// the number of entries.
const CREDIT_SLOTS: usize = 2;
/// A share that was not asked for this long is given back.
const IDLE: Duration = Duration::from_millis(500);

/// Whether a request may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// It may, and was counted.
    Allowed,
    /// The keeper's answer will tell.
    Asked,
    /// It may not; there will be something after this time.
    Refused(Duration),
}

/// Who keeps a limit, and among how many entries, as the entry knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperView {
    /// The keeper, if one is known.
    pub keeper: Option<Incarnation>,
    /// Entries that are live, this one included.
    pub entries: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Asked {
    at: Instant,
    keeper: Incarnation,
    /// Not answered in time; an answer is still taken.
    late: bool,
    /// What it reported, which counts as not reported until it is answered.
    debt: Amount,
    alone: Amount,
}

/// What one entry may spend of one limit.
#[derive(Debug)]
pub struct Share {
    key: LimitKey,
    limits: Limits,
    balance: Amount,
    granted_at: Instant,
    in_use: u32,
    slots: u32,
    number: u64,
    asked: Option<Asked>,
    asked_at: Instant,
    answer_seconds: Mean,
    /// After an answer that fell short: no question before this.
    ask_after: Instant,
    keeper: Option<Incarnation>,
    alone_since: Option<Instant>,
    /// What it was granted a second before it went alone.
    last_share: Amount,
    alone: Amount,
    alone_at: Instant,
    demand: Decayed,
    granted: Decayed,
    spent: Decayed,
    spent_alone: Amount,
    used_at: Instant,
}

impl Share {
    /// Nothing granted yet.
    pub fn new(now: Instant, key: LimitKey, limits: Limits) -> Share {
        Share {
            key,
            limits,
            balance: Amount::ZERO,
            granted_at: now,
            in_use: 0,
            slots: 0,
            number: 0,
            asked: None,
            asked_at: now,
            answer_seconds: Mean::default(),
            ask_after: now,
            keeper: None,
            alone_since: None,
            last_share: Amount::ZERO,
            alone: Amount::ZERO,
            alone_at: now,
            demand: Decayed::new(now, DEMAND_MEMORY),
            granted: Decayed::new(now, BURST * 2),
            spent: Decayed::new(now, BURST),
            spent_alone: Amount::ZERO,
            used_at: now,
        }
    }

    /// The limits are these now.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// A new request that is expected to take `tokens` asks to go on.
    pub fn arrive(&mut self, now: Instant, tokens: f64, keeping: KeeperView) -> Spend {
        self.used_at = now;
        self.demand.add(now, Amount::new(1.0, tokens));
        self.spend(now, tokens, keeping)
    }

    /// A request that arrived before asks again, after the keeper's answer.
    pub fn spend(&mut self, now: Instant, tokens: f64, keeping: KeeperView) -> Spend {
        self.lapse(now);
        self.check_timeout(now, keeping);
        if self.alone_since.is_some() {
            return self.spend_alone(now, tokens, keeping);
        }
        if self.balance.requests >= 1.0 && self.balance.tokens > 0.0 && self.in_use < self.slots {
            self.count(now, tokens);
            self.balance -= Amount::new(1.0, tokens);
            return Spend::Allowed;
        }
        if self.may_go_on_credit(now, keeping) {
            self.count(now, tokens);
            self.balance -= Amount::new(1.0, tokens);
            return Spend::Allowed;
        }
        if self.asked.is_some() || now >= self.ask_after {
            return Spend::Asked;
        }
        Spend::Refused(self.ask_after - now)
    }

    /// A request that was allowed ended; it was expected to take `tokens`, and took `actual`.
    pub fn end(&mut self, now: Instant, tokens: f64, actual: f64) {
        self.in_use = self.in_use.saturating_sub(1);
        let more = Amount::new(0.0, actual - tokens);
        self.balance -= more;
        self.spent.add(now, more);
    }

    /// A request that was allowed never started: what it took is free again.
    pub fn undo(&mut self, now: Instant, tokens: f64) {
        self.in_use = self.in_use.saturating_sub(1);
        let back = Amount::new(1.0, tokens);
        self.spent.add(now, back * -1.0);
        match self.alone_since {
            Some(_) => self.alone += back,
            None => self.balance += back,
        }
    }

    /// The question to send now, if any; `waiting` requests wait for its answer. `number` counts
    /// the questions of this process.
    pub fn ask(
        &mut self,
        now: Instant,
        waiting: usize,
        keeping: KeeperView,
        number: &mut u64,
    ) -> Option<GrantAsk> {
        self.lapse(now);
        self.check_timeout(now, keeping);
        let keeper = keeping.keeper?;
        if self.asked.is_some_and(|asked| !asked.late) || now < self.ask_after {
            return None;
        }
        let idle = waiting == 0 && now.saturating_duration_since(self.used_at) > IDLE;
        let expected = self.expected(now);
        let slots = self.wanted_slots(expected, waiting, idle);
        let aim = match idle {
            true => Amount::ZERO,
            false => expected + Amount::new(waiting as f64, 1.0),
        };
        let want = (aim - self.balance).max(Amount::ZERO);
        let want = Amount::new(want.requests.ceil(), want.tokens);
        let back = if idle { self.worth_back() } else { Amount::ZERO };
        let short = self.balance.requests < 1.0 + expected.requests / 2.0
            || self.balance.tokens <= expected.tokens / 2.0
            || slots > self.slots;
        let told = now.saturating_duration_since(self.asked_at) < RENEW;
        let renew = !told && (self.in_use > 0 || self.owes());
        let needed = waiting > 0 || (short && !idle) || renew || back.is_some();
        needed.then(|| {
            *number += 1;
            self.question(now, keeper, want, back, slots, *number)
        })
    }

    /// Takes a keeper's answer; false if it is not the one to the last question.
    pub fn take(&mut self, now: Instant, from: Incarnation, grant: &Grant) -> bool {
        let expected = self.asked.is_some_and(|asked| asked.keeper == from);
        if !expected || grant.number != self.number {
            return false;
        }
        let asked_at = self.asked.take().map_or(now, |asked| asked.at);
        self.answer_seconds.add(now.saturating_duration_since(asked_at).as_secs_f64());
        self.keeper = Some(from);
        self.alone_since = None;
        self.granted_at = asked_at;
        self.slots = grant.slots;
        if now.saturating_duration_since(asked_at) < GRANT_LIFETIME {
            self.balance += grant.granted;
            self.granted.add(now, grant.granted);
        }
        if !grant.more_after.is_zero() {
            self.ask_after = now + grant.more_after;
        } else if self.in_use >= self.limits.in_flight {
            // As many slots as are in use are no sign of the limit: a question that wants no more
            // gets just these.
            self.ask_after = now + LEAST_WAIT;
        }
        true
    }

    /// Whether it holds nothing, and was not asked lately.
    pub fn is_idle(&self, now: Instant) -> bool {
        !self.holds_something() && now.saturating_duration_since(self.used_at) > FORGET
    }

    /// Whether anything would be lost with this share.
    pub fn holds_something(&self) -> bool {
        self.in_use > 0
            || self.slots > 0
            || self.asked.is_some()
            || self.balance != Amount::ZERO
            || self.spent_alone.is_some()
    }

    /// Requests in flight.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// What it spends a second while no keeper answers: its last share, and at the least a part of
    /// an equal one; after a while, no more than an equal one.
    pub fn alone_rate(&self, now: Instant, keeping: KeeperView) -> Amount {
        let equal = self.limits.rate * (1.0 / keeping.entries.max(1) as f64);
        let since = self.alone_since.unwrap_or(now);
        let last = self.last_share.min(self.limits.rate).max(equal * LEAST_ALONE);
        let long = now.saturating_duration_since(since) > ALONE_LONG;
        if long { last.min(equal) } else { last }
    }

    fn spend_alone(&mut self, now: Instant, tokens: f64, keeping: KeeperView) -> Spend {
        let rate = self.alone_rate(now, keeping);
        let passed = now.saturating_duration_since(self.alone_at).as_secs_f64();
        let most = (rate * HORIZON.as_secs_f64()).max(Amount::new(1.0, 1.0));
        self.alone = (self.alone + rate * passed).min(most);
        self.alone_at = now;
        let equal = f64::from(self.limits.in_flight) / keeping.entries.max(1) as f64;
        let slots = self.slots.max((equal * LEAST_ALONE) as u32);
        if self.alone.requests >= 1.0 && self.alone.tokens > 0.0 && self.in_use < slots {
            self.count(now, tokens);
            self.alone -= Amount::new(1.0, tokens);
            self.spent_alone += Amount::new(1.0, tokens);
            return Spend::Allowed;
        }
        let missing = (1.0 - self.alone.requests).max(0.0) / rate.requests;
        let wait = Duration::try_from_secs_f64(missing).unwrap_or(ALONE_LONG);
        Spend::Refused(wait.clamp(LEAST_WAIT, ALONE_LONG))
    }

    fn count(&mut self, now: Instant, tokens: f64) {
        self.in_use += 1;
        self.spent.add(now, Amount::new(1.0, tokens));
    }

    fn question(
        &mut self,
        now: Instant,
        keeper: Incarnation,
        want: Amount,
        back: Amount,
        slots: u32,
        number: u64,
    ) -> GrantAsk {
        self.take_up_unanswered();
        let debt = (self.balance * -1.0).max(Amount::ZERO);
        let carried = match self.keeper == Some(keeper) {
            true => self.spent_alone,
            false => self.spent.get(now).max(Amount::ZERO),
        };
        let alone = self.spent_alone;
        self.balance = (self.balance - back).max(Amount::ZERO);
        self.granted.add(now, back * -1.0);
        self.spent_alone = Amount::ZERO;
        self.slots = self.slots.min(slots.max(self.in_use));
        self.number = number;
        self.asked_at = now;
        self.asked = Some(Asked { at: now, keeper, late: false, debt, alone });
        GrantAsk {
            key: self.key.clone(),
            number: self.number,
            want,
            back,
            debt,
            carried,
            in_use: self.in_use,
            slots,
        }
    }

    /// A question that was not answered may not have come there: what it told is told again.
    fn take_up_unanswered(&mut self) {
        if let Some(asked) = self.asked.take() {
            self.balance -= asked.debt;
            self.spent_alone += asked.alone;
        }
    }

    /// The first request after a quiet time need not wait for the keeper: it is told as a debt.
    fn may_go_on_credit(&self, now: Instant, keeping: KeeperView) -> bool {
        let quiet = self.asked.is_none() && now >= self.ask_after && self.balance.requests >= 0.0;
        let slots = CREDIT_SLOTS * keeping.entries;
        quiet
            && self.balance.tokens >= 0.0
            && self.in_use == 0
            && self.limits.in_flight as usize >= slots
    }

    fn worth_back(&self) -> Amount {
        let (held, least) = (self.balance.max(Amount::ZERO), self.limits.rate * WORTH_BACK);
        let is_worth = held.requests >= least.requests.max(1.0) || held.tokens >= least.tokens;
        if is_worth { held } else { Amount::ZERO }
    }

    fn owes(&self) -> bool {
        self.balance.requests < 0.0 || self.balance.tokens < 0.0 || self.spent_alone.is_some()
    }

    /// What will be spent until the next grant.
    fn expected(&self, now: Instant) -> Amount {
        self.demand.per_second(now) * HORIZON.as_secs_f64()
    }

    fn wanted_slots(&self, expected: Amount, waiting: usize, idle: bool) -> u32 {
        let more = if idle { 0.0 } else { expected.requests.ceil() + 1.0 };
        let most = self.limits.in_flight;
        (self.in_use + more as u32 + waiting as u32).min(most)
    }
}
