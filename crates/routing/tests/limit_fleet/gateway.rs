//! One gateway: what it knows of limits, the permits that it grants, and whether it takes part.

use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::limits::{
    EndpointLimits, LimitReport, Permit, PermitBucket, RateLimit, permit_keeper,
};
use sorrellock_routing::process::retries::Sharers;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Time without a message after which another gateway counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a gateway sends to the others.
#[derive(Clone)]
pub struct Message {
    pub from: usize,
    pub incarnation: u64,
    pub limits: Vec<LimitReport>,
}

/// One gateway.
pub struct Gateway {
    sharers: Sharers,
    pub incarnation: u64,
    pub limits: EndpointLimits,
    buckets: HashMap<Incarnation, PermitBucket>,
    pub denied: HashMap<Incarnation, Instant>,
    /// The others that it heard of: their incarnation, and when last.
    peers: BTreeMap<usize, (u64, Instant)>,
    /// When it first passed on an answer of each engine that named the limit that is in force.
    pub told: HashMap<usize, Instant>,
    /// It does nothing until then.
    pub frozen_until: Instant,
    /// Nothing passes between it and the others until then.
    pub parted_until: Instant,
    /// The end of its last disturbance.
    pub calm_since: Instant,
}

impl Gateway {
    /// A process that began `now`, and that the store tells of `listed` gateways.
    pub fn new(index: usize, incarnation: u64, listed: usize, now: Instant) -> Gateway {
        let mut sharers = Sharers::new(&index.to_string(), now);
        sharers.on_list(listed, now);
        Gateway {
            sharers,
            incarnation,
            limits: EndpointLimits::default(),
            buckets: HashMap::new(),
            denied: HashMap::new(),
            peers: BTreeMap::new(),
            told: HashMap::new(),
            frozen_until: now,
            parted_until: now,
            calm_since: now,
        }
    }

    pub fn is_frozen(&self, now: Instant) -> bool {
        self.frozen_until > now
    }

    pub fn hears_others(&self, now: Instant) -> bool {
        !self.is_frozen(now) && self.parted_until <= now
    }

    pub fn receive(&mut self, message: &Message, now: Instant) {
        self.peers.insert(message.from, (message.incarnation, now));
        self.sharers.on_message(&message.from.to_string(), now);
        for report in &message.limits {
            self.limits.on_report(report, now);
        }
    }

    fn live(&self, now: Instant) -> impl Iterator<Item = (usize, u64)> {
        let live = self.peers.iter().filter(move |(_, (_, at))| now - *at < PEER_TIMEOUT);
        live.map(|(index, (incarnation, _))| (*index, *incarnation))
    }

    /// The gateway that grants an endpoint's permits; none if it is this one.
    pub fn keeper(&self, endpoint: &Incarnation, now: Instant) -> Option<usize> {
        let all = self.live(now).map(|(_, incarnation)| incarnation).chain([self.incarnation]);
        let keeper = permit_keeper(endpoint, all);
        self.live(now).find(|(_, one)| Some(*one) == keeper).map(|(index, _)| index)
    }

    pub fn grant(
        &mut self,
        endpoint: &Incarnation,
        limit: RateLimit,
        asker: u64,
        now: Instant,
    ) -> Permit {
        let limit = self.limits.limit(endpoint).unwrap_or(limit);
        let share = self.sharers.reachable_share(self.live(now).count() + 1, now);
        let bucket = self.buckets.entry(endpoint.clone()).or_insert_with(|| PermitBucket::new(now));
        bucket.take(limit, share, asker, now)
    }
}
