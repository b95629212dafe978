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
}

impl Sharers {
    /// Returns the sharers that a process of `instance` knows that began at `began`: none but itself.
    pub fn new(instance: &str, began: Instant) -> Sharers {
        Sharers {
            instance: instance.to_owned(),
            began,
            heard: HashMap::new(),
            lists: VecDeque::new(),
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
        heard.max(listed).max(self.listed())
    }

    /// Returns the fraction of the gateways that the `live` ones are, which this one reaches, itself included. Those that it
    /// heard of not long ago may go on out of its reach, and so may all that are listed while it is new. Without any list it
    /// has none.
    pub fn reachable_share(&self, live: usize, now: Instant) -> f64 {
        let not_gone = |at: &Instant| now.duration_since(*at) < OUT_OF_REACH_TIMEOUT;
        let heard = self.heard.values().filter(|at| not_gone(at)).count() + 1;
        let listed = if not_gone(&self.began) { self.listed() } else { 0 };
        match self.lists.is_empty() {
            true => 0.0,
            false => live as f64 / heard.max(listed).max(live) as f64,
        }
    }

    /// Returns the part that this gateway has of a bound over each `window`. It has none until all that its
    /// predecessor used is out of the window, and unless the store has listed the gateways since these had time to
    /// register: a process that knows of no others isn't alone.
    pub fn share(&self, window: Duration, now: Instant) -> Share {
        let is_settled = now.duration_since(self.began) >= window + SETTLE_TIME;
        let is_listed =
            self.lists.back().is_some_and(|(_, at)| at.duration_since(self.began) >= SETTLE_TIME);
        if !is_settled || !is_listed {
            return Share::default();
        }
        let is_before = |(other, at): &(&String, &Instant)| {
            is_recent(**at, now) && other.as_str() < self.instance.as_str()
        };
        let rank = self.heard.iter().filter(is_before).count();
        let count = self.count(now) as f64;
        Share { fraction: 1.0 / count, rounding: rank as f64 / count }
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.duration_since(at) < SHARER_TIMEOUT
}
