//! What the gateways' logs tell of requests and engines.

use super::world::World;
use serde_json::Value;
use std::collections::HashMap;

/// The line of a stream whose run is over or in doubt.
pub const FAILOVER: &str = "failover started";
/// The same of builds that `SOAK_GATEWAY` may name.
const FAILOVER_BEFORE: &str = "stream lost its run";
/// Lines of the judgements that may cost streams their run.
const JUDGEMENTS: [&str; 6] = [
    "endpoint suspected",
    "engine taken to be dead",
    "engine answers again",
    FAILOVER,
    "stream moved to another path",
    "path checked",
];

/// A line of a gateway's log.
#[derive(Clone, Debug)]
pub struct Line {
    pub at_ms: u64,
    pub gateway: usize,
    pub what: String,
    pub fields: Value,
    /// The engine that it is about: the one that it names, or else the one at which its request ran last.
    pub engine: String,
}

impl Line {
    fn parse(gateway: usize, text: &str) -> Option<Line> {
        let line: Value = serde_json::from_str(text).ok()?;
        let at_ms = line["timestamp"].as_u64()?;
        let what = match line["payload"].as_str()? {
            FAILOVER_BEFORE => FAILOVER,
            what => what,
        };
        let fields = line["kv"].clone();
        let engine = fields["endpoint"].as_str().unwrap_or_default().to_owned();
        Some(Line { at_ms, gateway, what: what.to_owned(), fields, engine })
    }

    /// A field's text; empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        self.fields[name].as_str().unwrap_or_default()
    }
}

/// The lines of all gateways' processes.
pub struct Evidence {
    /// Those of each request, in the order of their coming.
    pub requests: HashMap<String, Vec<Line>>,
    /// Judgements of engines, and moves and losses of runs, by time.
    pub judgements: Vec<Line>,
}

impl Evidence {
    pub fn read(world: &World) -> Evidence {
        let mut requests: HashMap<String, Vec<Line>> = HashMap::new();
        let mut judgements = Vec::new();
        for (gateway, node) in world.nodes.iter().enumerate() {
            let texts = node.lives.iter().flat_map(|life| life.process.lines(&[]));
            for mut line in texts.filter_map(|text| Line::parse(gateway, &text)) {
                if let Some(before) = requests.get(line.text("request")).and_then(|all| all.last())
                    && line.engine.is_empty()
                {
                    line.engine.clone_from(&before.engine);
                }
                if JUDGEMENTS.contains(&line.what.as_str()) {
                    judgements.push(line.clone());
                }
                if let Some(request) = line.fields["request"].as_str() {
                    requests.entry(request.to_owned()).or_default().push(line);
                }
            }
        }
        judgements.sort_by_key(|line| line.at_ms);
        Evidence { requests, judgements }
    }

    /// The lines of a request.
    pub fn of(&self, request: &str) -> &[Line] {
        self.requests.get(request).map_or(&[], Vec::as_slice)
    }

    /// The judgements of a kind.
    pub fn judged(&self, what: &'static str) -> impl Iterator<Item = &Line> {
        self.judgements.iter().filter(move |line| line.what == what)
    }
}
