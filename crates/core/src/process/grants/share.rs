//! An entry's share of a limit: its grants, or its last granted rate while no keeper answers.

use super::{Amount, BURST, DecayingSum, Grant, GrantAsk, LimitKey, Limits};
use crate::id::Incarnation;
use crate::process::admission::Mean;
use std::time::{Duration, Instant};

mod standalone;

/// A grant covers the expected spending of this time.
const HORIZON: Duration = Duration::from_millis(200);
/// Shortest wait reported to a caller without a keeper, and pause between grant requests at the
/// limit in flight.
const MIN_WAIT: Duration = Duration::from_millis(50);
/// Longest timeout of a grant request; used as it is before the first answer.
pub const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// After this time without a keeper, an entry spends no more than an equal part of the limit.
const STANDALONE_CAP_AFTER: Duration = Duration::from_secs(10);
/// Without a keeper, an entry may spend at least this part of an equal part of the limit.
const MIN_STANDALONE_PART: f64 = 0.125;
/// Lifetime of a grant; a balance granted longer ago is not spent.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// A share that holds nothing is removed after this time.
const FORGET_AFTER: Duration = Duration::from_secs(5);
/// Time constant of the measured demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_millis(500);
/// Requests in flight are reported to the keeper this often.
const RENEW_INTERVAL: Duration = Duration::from_millis(700);
/// An unused balance is returned to the keeper if it is at least this part of the limit per second.
/// A smaller one expires, which costs no message.
const MIN_RETURN_PART: f64 = 0.05;
/// A request may start before the keeper is asked if the limit in flight is at least this many
/// times the number of entries.
const CREDIT_SLOTS: usize = 2;
/// A balance that wasn't used for this long is returned.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spend {
    /// It may start, and has been counted.
    Allowed,
    /// It waits for the keeper's answer.
    Asked,
    /// It is refused; retry after this time.
    Refused(Duration),
}

/// The keeper of a limit and the number of entries, as this entry knows them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperView {
    /// The keeper, if one is known.
    pub keeper: Option<Incarnation>,
    /// Number of live entries, including this one.
    pub entries: usize,
}

/// A grant request without an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Asked {
    at: Instant,
    keeper: Incarnation,
    /// Whether it has timed out; an answer is still applied.
    late: bool,
    /// The debt that it reported, which counts as unreported until it is answered.
    debt: Amount,
    /// The amount spent without a keeper that it reported, likewise.
    spent_standalone: Amount,
}

/// One entry's share of one limit.
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
    /// No grant request is sent before this time, set by an answer that granted too little.
    ask_after: Instant,
    keeper: Option<Incarnation>,
    standalone_since: Option<Instant>,
    /// Granted rate per second before it lost the keeper.
    last_share: Amount,
    standalone_balance: Amount,
    standalone_at: Instant,
    demand: DecayingSum,
    granted: DecayingSum,
    spent: DecayingSum,
    spent_standalone: Amount,
    used_at: Instant,
}

impl Share {
    /// Creates a share without grants.
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
            standalone_since: None,
            last_share: Amount::ZERO,
            standalone_balance: Amount::ZERO,
            standalone_at: now,
            demand: DecayingSum::new(now, DEMAND_TIME_CONSTANT),
            granted: DecayingSum::new(now, BURST * 2),
            spent: DecayingSum::new(now, BURST),
            spent_standalone: Amount::ZERO,
            used_at: now,
        }
    }

    /// Sets the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Checks a new request, which is expected to take `tokens`.
    pub fn arrive(&mut self, now: Instant, tokens: f64, keeper_view: KeeperView) -> Spend {
        self.used_at = now;
        self.demand.add(now, Amount::new(1.0, tokens));
        self.spend(now, tokens, keeper_view)
    }

    /// Checks a request again after the keeper's answer.
    pub fn spend(&mut self, now: Instant, tokens: f64, keeper_view: KeeperView) -> Spend {
        self.expire_balance(now);
        self.check_timeout(now, keeper_view);
        if self.standalone_since.is_some() {
            return self.spend_standalone(now, tokens, keeper_view);
        }
        if self.balance.requests >= 1.0 && self.balance.tokens > 0.0 && self.in_use < self.slots {
            self.count(now, tokens);
            self.balance -= Amount::new(1.0, tokens);
            return Spend::Allowed;
        }
        if self.may_start_on_credit(now, keeper_view) {
            self.count(now, tokens);
            self.balance -= Amount::new(1.0, tokens);
            return Spend::Allowed;
        }
        if self.asked.is_some() || now >= self.ask_after {
            return Spend::Asked;
        }
        Spend::Refused(self.ask_after - now)
    }

    /// Records the end of an allowed request; it was expected to take `tokens` and took `actual`.
    pub fn end(&mut self, now: Instant, tokens: f64, actual: f64) {
        self.in_use = self.in_use.saturating_sub(1);
        let more = Amount::new(0.0, actual - tokens);
        self.balance -= more;
        self.spent.add(now, more);
    }

    /// Undoes the charge for an allowed request that never started.
    pub fn undo(&mut self, now: Instant, tokens: f64) {
        self.in_use = self.in_use.saturating_sub(1);
        let back = Amount::new(1.0, tokens);
        self.spent.add(now, back * -1.0);
        match self.standalone_since {
            Some(_) => self.standalone_balance += back,
            None => self.balance += back,
        }
    }

    /// Returns the grant request to send now, if any; `waiting` requests wait for its answer.
    /// `number` counts the grant requests of this process.
    pub fn ask(
        &mut self,
        now: Instant,
        waiting: usize,
        keeper_view: KeeperView,
        number: &mut u64,
    ) -> Option<GrantAsk> {
        self.expire_balance(now);
        self.check_timeout(now, keeper_view);
        let keeper = keeper_view.keeper?;
        if self.asked.is_some_and(|asked| !asked.late) || now < self.ask_after {
            return None;
        }
        let idle = waiting == 0 && now.saturating_duration_since(self.used_at) > IDLE_TIMEOUT;
        let expected = self.expected(now);
        let slots = self.wanted_slots(expected, waiting, idle);
        let target = match idle {
            true => Amount::ZERO,
            false => expected + Amount::new(waiting as f64, 1.0),
        };
        let want = (target - self.balance).max(Amount::ZERO);
        let want = Amount::new(want.requests.ceil(), want.tokens);
        let back = if idle { self.returnable() } else { Amount::ZERO };
        let is_low = self.balance.requests < 1.0 + expected.requests / 2.0
            || self.balance.tokens <= expected.tokens / 2.0
            || slots > self.slots;
        let reported_recently = now.saturating_duration_since(self.asked_at) < RENEW_INTERVAL;
        let renew = !reported_recently && (self.in_use > 0 || self.has_debt());
        let needed = waiting > 0 || (is_low && !idle) || renew || back.is_some();
        needed.then(|| {
            *number += 1;
            self.build_ask(now, keeper, want, back, slots, *number)
        })
    }

    /// Applies a keeper's answer; returns false unless it answers the last grant request.
    pub fn take(&mut self, now: Instant, from: Incarnation, grant: &Grant) -> bool {
        let expected = self.asked.is_some_and(|asked| asked.keeper == from);
        if !expected || grant.number != self.number {
            return false;
        }
        let asked_at = self.asked.take().map_or(now, |asked| asked.at);
        self.answer_seconds.add(now.saturating_duration_since(asked_at).as_secs_f64());
        self.keeper = Some(from);
        self.standalone_since = None;
        self.granted_at = asked_at;
        self.slots = grant.slots;
        if now.saturating_duration_since(asked_at) < GRANT_LIFETIME {
            self.balance += grant.granted;
            self.granted.add(now, grant.granted);
        }
        if !grant.more_after.is_zero() {
            self.ask_after = now + grant.more_after;
        } else if self.in_use >= self.limits.in_flight {
            // Compares with the limit, not with the granted slots: a grant request that wants no
            // more than the slots in use is granted just these.
            self.ask_after = now + MIN_WAIT;
        }
        true
    }

    /// Returns whether it holds nothing and wasn't used recently.
    pub fn is_idle(&self, now: Instant) -> bool {
        !self.holds_something() && now.saturating_duration_since(self.used_at) > FORGET_AFTER
    }

    /// Returns whether anything would be lost if it were removed.
    pub fn holds_something(&self) -> bool {
        self.in_use > 0
            || self.slots > 0
            || self.asked.is_some()
            || self.balance != Amount::ZERO
            || self.spent_standalone.is_some()
    }

    /// Returns the number of requests in flight.
    pub fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Returns the rate per second while no keeper answers: the last granted rate, but at least
    /// `MIN_STANDALONE_PART` of an equal part of the limit, and after `STANDALONE_CAP_AFTER` at
    /// most an equal part.
    pub fn standalone_rate(&self, now: Instant, keeper_view: KeeperView) -> Amount {
        let equal = self.limits.rate * (1.0 / keeper_view.entries.max(1) as f64);
        let since = self.standalone_since.unwrap_or(now);
        let last = self.last_share.min(self.limits.rate).max(equal * MIN_STANDALONE_PART);
        let long = now.saturating_duration_since(since) > STANDALONE_CAP_AFTER;
        if long { last.min(equal) } else { last }
    }

    fn spend_standalone(&mut self, now: Instant, tokens: f64, keeper_view: KeeperView) -> Spend {
        let rate = self.standalone_rate(now, keeper_view);
        let passed = now.saturating_duration_since(self.standalone_at).as_secs_f64();
        let max_balance = (rate * HORIZON.as_secs_f64()).max(Amount::new(1.0, 1.0));
        self.standalone_balance = (self.standalone_balance + rate * passed).min(max_balance);
        self.standalone_at = now;
        let equal = f64::from(self.limits.in_flight) / keeper_view.entries.max(1) as f64;
        let slots = self.slots.max((equal * MIN_STANDALONE_PART) as u32);
        if self.standalone_balance.requests >= 1.0
            && self.standalone_balance.tokens > 0.0
            && self.in_use < slots
        {
            self.count(now, tokens);
            self.standalone_balance -= Amount::new(1.0, tokens);
            self.spent_standalone += Amount::new(1.0, tokens);
            return Spend::Allowed;
        }
        let missing = (1.0 - self.standalone_balance.requests).max(0.0) / rate.requests;
        let wait = Duration::try_from_secs_f64(missing).unwrap_or(STANDALONE_CAP_AFTER);
        Spend::Refused(wait.clamp(MIN_WAIT, STANDALONE_CAP_AFTER))
    }

    /// Counts a started request.
    fn count(&mut self, now: Instant, tokens: f64) {
        self.in_use += 1;
        self.spent.add(now, Amount::new(1.0, tokens));
    }

    fn build_ask(
        &mut self,
        now: Instant,
        keeper: Incarnation,
        want: Amount,
        back: Amount,
        slots: u32,
        number: u64,
    ) -> GrantAsk {
        self.reclaim_unanswered();
        let debt = (self.balance * -1.0).max(Amount::ZERO);
        let carried = match self.keeper == Some(keeper) {
            true => self.spent_standalone,
            false => self.spent.get(now).max(Amount::ZERO),
        };
        let spent_standalone = self.spent_standalone;
        self.balance = (self.balance - back).max(Amount::ZERO);
        self.granted.add(now, back * -1.0);
        self.spent_standalone = Amount::ZERO;
        self.slots = self.slots.min(slots.max(self.in_use));
        self.number = number;
        self.asked_at = now;
        self.asked = Some(Asked { at: now, keeper, late: false, debt, spent_standalone });
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

    /// Takes back the amounts that an unanswered grant request reported: it may have been lost, so
    /// the next one reports them again.
    fn reclaim_unanswered(&mut self) {
        if let Some(asked) = self.asked.take() {
            self.balance -= asked.debt;
            self.spent_standalone += asked.spent_standalone;
        }
    }

    /// Returns whether a request may start without a grant: the first one after an idle time need
    /// not wait for the keeper, and is reported as a debt.
    fn may_start_on_credit(&self, now: Instant, keeper_view: KeeperView) -> bool {
        let is_quiescent =
            self.asked.is_none() && now >= self.ask_after && self.balance.requests >= 0.0;
        let slots = CREDIT_SLOTS * keeper_view.entries;
        is_quiescent
            && self.balance.tokens >= 0.0
            && self.in_use == 0
            && self.limits.in_flight as usize >= slots
    }

    /// Returns the balance to give back, or zero if it isn't worth a message.
    fn returnable(&self) -> Amount {
        let (held, min_return) =
            (self.balance.max(Amount::ZERO), self.limits.rate * MIN_RETURN_PART);
        let is_worth =
            held.requests >= min_return.requests.max(1.0) || held.tokens >= min_return.tokens;
        if is_worth { held } else { Amount::ZERO }
    }

    /// Returns whether it has spent an amount that the keeper must be informed of.
    fn has_debt(&self) -> bool {
        self.balance.requests < 0.0 || self.balance.tokens < 0.0 || self.spent_standalone.is_some()
    }

    /// Returns the expected spending until the next grant.
    fn expected(&self, now: Instant) -> Amount {
        self.demand.per_second(now) * HORIZON.as_secs_f64()
    }

    fn wanted_slots(&self, expected: Amount, waiting: usize, idle: bool) -> u32 {
        let more = if idle { 0.0 } else { expected.requests.ceil() + 1.0 };
        let max_slots = self.limits.in_flight;
        (self.in_use + more as u32 + waiting as u32).min(max_slots)
    }
}
