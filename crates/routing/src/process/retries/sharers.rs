//! The part that one gateway has of a bound of the fleet.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time without a message or a list after which what it said no longer counts: a window that it shared has passed.
const SHARER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time without a message after which a gateway no longer counts as out of reach, but as gone.
const OUT_OF_REACH_TIMEOUT: Duration = Duration::from_secs(300);
/// Time within which the gateways that began together are listed, and have heard of each other.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The part of a bound of the fleet that a gateway has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Fraction of the bound.
    pub fraction: f64,
    /// Added before the gateway rounds down what it has. It differs between gateways so that their whole numbers add up to the
    /// bound, also where the part of each is less than one.
    pub rounding: f64,
}

/// The gateways that share a bound of the fleet with this one.
#[derive(Debug)]
pub struct Sharers {
    /// This gateway.
    instance: String,
    /// When this process began. What its predecessor used just before isn't known.
    began: Instant,
    /// When each other gateway was last heard of, by instance.
    heard: HashMap<String, Instant>,
    /// Numbers of gateways that the store listed, this one included, with the oldest first. The last one is kept.
    lists: VecDeque<(usize, Instant)>,
    /// Numbers of gateways that were counted together with others, this one included: those that no later one exceeds, with the
    /// oldest first.
    counted: VecDeque<(usize, Instant)>,
}

impl Sharers {
    /// Returns the sharers that a process of `instance` knows that began at `began`: none but itself.
    pub fn new(instance: &str, began: Instant) -> Sharers {
        Sharers {
            instance: instance.to_owned(),
            began,
            heard: HashMap::new(),
            lists: VecDeque::new(),
            counted: VecDeque::new(),
        }
    }

    /// Records a message of another gateway.
    pub fn on_message(&mut self, instance: &str, now: Instant) {
        match self.heard.get_mut(instance) {
            Some(at) => *at = now,
            None => {
                self.heard.retain(|_, at| now.duration_since(*at) < OUT_OF_REACH_TIMEOUT);
                self.heard.insert(instance.to_owned(), now);
            }
        }
    }

    /// Records how many gateways the store lists, this one included.
    pub fn on_list(&mut self, listed: usize, now: Instant) {
        while self.lists.front().is_some_and(|(_, at)| !is_recent(*at, now)) {
            self.lists.pop_front();
        }
        self.lists.push_back((listed, now));
    }

    /// Records how many gateways share the bound by the reports of others that count them, this one included.
    pub fn on_counted(&mut self, counted: usize, now: Instant) {
        while self.counted.back().is_some_and(|(known, _)| *known <= counted) {
            self.counted.pop_back();
        }
        let is_over = |at: Instant| now.duration_since(at) >= OUT_OF_REACH_TIMEOUT;
        while self.counted.front().is_some_and(|(_, at)| is_over(*at)) {
            self.counted.pop_front();
        }
        self.counted.push_back((counted, now));
    }

    /// Returns the highest count that is no older than `age`.
    fn counted_within(&self, age: Duration, now: Instant) -> usize {
        let within = self.counted.iter().filter(|(_, at)| now.duration_since(*at) < age);
        within.map(|(counted, _)| *counted).max().unwrap_or_default()
    }

    /// Returns how many gateways the store lists.
    pub fn listed(&self) -> usize {
        self.lists.back().map_or(0, |(listed, _)| *listed)
    }

    /// Returns the number of gateways that share the bound, this one included. Those that can't be reached count, and for
    /// a while those that have ended: what they used does, too.
    pub fn count(&self, now: Instant) -> usize {
        let heard = self.heard.values().filter(|at| is_recent(**at, now)).count() + 1;
        let recent = self.lists.iter().filter(|(_, at)| is_recent(*at, now));
        let listed = recent.map(|(listed, _)| *listed).max().unwrap_or_default();
        heard.max(listed).max(self.listed()).max(self.counted_within(SHARER_TIMEOUT, now))
    }

    /// Returns the fraction of the gateways that the `live` ones are, which this one reaches, itself included. Those that it
    /// heard of not long ago may go on out of its reach, and so may all that are listed while it is new. Without any list it
    /// has none.
    pub fn reachable_share(&self, live: usize, now: Instant) -> f64 {
        let not_gone = |at: &Instant| now.duration_since(*at) < OUT_OF_REACH_TIMEOUT;
        let heard = self.heard.values().filter(|at| not_gone(at)).count() + 1;
        let heard = heard.max(self.counted_within(OUT_OF_REACH_TIMEOUT, now));
        let listed = if not_gone(&self.began) { self.listed() } else { 0 };
        match self.lists.is_empty() && self.counted.is_empty() {
            true => 0.0,
            false => live as f64 / heard.max(listed).max(live) as f64,
        }
    }

    /// Returns the part that this gateway has of a bound over each `window`. It has none until all that its
    /// predecessor used is out of the window, and unless the store has listed the gateways since these had time to
    /// register: a process that knows of no others isn't alone.
    pub fn share(&self, window: Duration, now: Instant) -> Share {
        let is_settled = now.duration_since(self.began) >= window + SETTLE_TIME;
        let is_settled_at = |at: &Instant| at.saturating_duration_since(self.began) >= SETTLE_TIME;
        let is_listed = self.lists.back().is_some_and(|(_, at)| is_settled_at(at))
            || self.counted.back().is_some_and(|(_, at)| is_settled_at(at));
        if !is_settled || !is_listed {
            return Share::default();
        }
        let is_before = |(other, at): &(&String, &Instant)| {
            is_recent(**at, now) && other.as_str() < self.instance.as_str()
        };
        let rank = self.heard.iter().filter(is_before).count();
        let heard = self.heard.values().filter(|at| is_recent(**at, now)).count() + 1;
        let count = self.count(now);
        // The parts of those that reach each other add up to their fraction of the bound.
        let group = if self.counted_within(SHARER_TIMEOUT, now) > heard { heard } else { count };
        Share { fraction: 1.0 / count as f64, rounding: rank as f64 / group as f64 }
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.duration_since(at) < SHARER_TIMEOUT
}
