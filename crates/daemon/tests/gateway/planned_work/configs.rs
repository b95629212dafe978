//! The operator's new versions of the configuration, of each kind.

use crate::fleet::{HOST, KEY, LAYERS};
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use serde_json::{Value, json};

/// The service that serves most streams, and the one that some routes move to.
pub const LEXIS: &str = "lexis";
pub const GLOSSA: &str = "glossa";
/// Routes of streams that callers use; all of the second's requests move between services.
pub const MATCH: &str = "/match/";
pub const PERMIT: &str = "/permit/";
/// Routes of plain calls that callers use.
pub const STATUS: &str = "/status/";
pub const ACK: &str = "/ack/";
/// The shortest `timeout_ms` of any version.
pub const LEAST_TIMEOUT_MS: u64 = 14_000;
/// Routes of a large version.
const LARGE_ROUTES: std::ops::Range<u32> = 1_000..1_400;

/// What a version changes.
#[derive(Clone, Copy, Debug)]
enum Change {
    Timeouts,
    Limits,
    RouteAdded,
    RouteRemoved,
    RouteMoved,
    RouteSplit,
    KeyAdded,
    KeyRevoked,
    Priorities,
    ServiceFigures,
    Large,
}

const CHANGES: [Change; 11] = [
    Change::Timeouts,
    Change::Limits,
    Change::RouteAdded,
    Change::RouteRemoved,
    Change::RouteMoved,
    Change::RouteSplit,
    Change::KeyAdded,
    Change::KeyRevoked,
    Change::Priorities,
    Change::ServiceFigures,
    Change::Large,
];

/// The operator, with the newest version.
pub struct Operator {
    version: u64,
    routes: Vec<Value>,
    services: Value,
    limits: Value,
    keys: Vec<String>,
    rank: u64,
    /// Changes to come, each kind once before any comes again.
    next: Vec<Change>,
    /// Changes made so far; each `large_each`th one brings many routes besides.
    changes: u64,
    large_each: u64,
}

impl Operator {
    /// Engines of both models take `slots` requests as the first of a path; each `large_each`th version has many routes besides what it changes.
    pub fn new(slots: u64, large_each: u64) -> Operator {
        let model = |name: &str| {
            json!({"name": name, "health_path": "/health", "max_conns": 4_000, "engine": {
                "slots": slots, "kv_token_bytes": 1_000.0, "models": [{"load_s": 0.1}],
                "step_ms": 0.1, "loads_at_once": 6, "usual": {"prompt": 10, "answer": 100},
                "layers": LAYERS, "layer_mb": 100.0,
                "kinds": [{"name": "card", "size_mb": 560.0, "pace": 1.0, "read_factor": 1.0}],
            }})
        };
        Operator {
            version: 1,
            routes: vec![
                route(MATCH, "streaming", LEXIS),
                route(PERMIT, "streaming", LEXIS),
                route(STATUS, "non_idempotent", "ledger"),
                route(ACK, "idempotent", "ledger"),
            ],
            services: json!([
                {"name": "ledger", "health_path": "/health", "max_conns": 400},
                model(LEXIS),
                model(GLOSSA),
            ]),
            limits: json!({"max_header_bytes": 16_384, "max_body_bytes": 65_536,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000}),
            keys: vec![KEY.to_owned()],
            rank: 1,
            next: Vec::new(),
            changes: 0,
            large_each,
        }
    }

    /// The newest version.
    pub fn config(&self) -> Value {
        json!({
            "version": self.version, "routes": self.routes, "services": self.services,
            "limits": self.limits,
            "tenants": [{"name": "treasury", "api_keys": self.keys, "priority": self.rank}],
        })
    }

    /// A new version. Tells what it changes.
    pub fn change(&mut self, rng: &mut StdRng) -> String {
        if self.next.is_empty() {
            self.next = CHANGES.to_vec();
            self.next.shuffle(rng);
        }
        self.changes += 1;
        let change = self.next.pop().expect("there are changes");
        self.version += rng.random_range(1..4);
        self.make(change, rng);
        if self.large_each > 0 && self.changes.is_multiple_of(self.large_each) {
            self.routes.truncate(8);
            self.add_many(rng);
        }
        format!("configuration {}: {change:?}, {} routes", self.version, self.routes.len())
    }

    fn make(&mut self, change: Change, rng: &mut StdRng) {
        // A large version stays in force for one or two others.
        if self.routes.len() > LARGE_ROUTES.start as usize && rng.random() {
            self.routes.truncate(8);
        }
        match change {
            Change::Timeouts => {
                for route in self.routes.iter_mut().take(4) {
                    route["timeout_ms"] = rng.random_range(LEAST_TIMEOUT_MS..22_000).into();
                }
            }
            Change::Limits => {
                self.limits["idle_timeout_ms"] = rng.random_range(8_000..20_000).into();
                self.limits["header_timeout_ms"] = rng.random_range(2_000..4_000).into();
            }
            Change::RouteAdded => {
                let path = format!("/added-{}/", self.version);
                self.routes.push(route(&path, "idempotent", "ledger"));
            }
            // The first four are those that callers use.
            Change::RouteRemoved => drop((self.routes.len() > 4).then(|| self.routes.pop())),
            Change::RouteMoved => {
                let is_there = self.routes[1]["service"] == GLOSSA;
                self.routes[1] = route(PERMIT, "streaming", if is_there { LEXIS } else { GLOSSA });
            }
            Change::RouteSplit => {
                let weight = rng.random_range(1..5);
                self.routes[1] = route(PERMIT, "streaming", LEXIS);
                self.routes[1]["traffic_split"] = json!([
                    {"service": LEXIS, "weight": weight}, {"service": GLOSSA, "weight": 5 - weight},
                ]);
            }
            Change::KeyAdded => self.keys.push(format!("key-{}", self.version)),
            Change::KeyRevoked => self.keys.truncate(1),
            Change::Priorities => {
                self.rank = rng.random_range(0..4);
                for route in self.routes.iter_mut().take(4) {
                    route["priority"] = rng.random_range(0..4).into();
                }
            }
            Change::ServiceFigures => {
                let model = &mut self.services[1]["engine"];
                model["step_ms"] = rng.random_range(0.1..0.3).into();
                model["usual"]["answer"] = rng.random_range(80..120).into();
            }
            Change::Large => self.add_many(rng),
        }
    }

    fn add_many(&mut self, rng: &mut StdRng) {
        let version = self.version;
        for index in 0..rng.random_range(LARGE_ROUTES) {
            let path = format!("/bulk-{version}-{index}/");
            self.routes.push(route(&path, "idempotent", "ledger"));
        }
    }
}

fn route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": prefix.trim_matches('/'), "host": HOST, "path_prefix": prefix, "kind": kind,
        "timeout_ms": 20_000, "target_latency_ms": 500, "target_gap_ms": 200, "priority": 1,
        "service": service, "max_attempts": 2, "public": false,
        "stream_resume": kind == "streaming",
    })
}
