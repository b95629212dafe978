//! What the gateways' logs tell of requests and engines.

use super::world::World;
use serde_json::Value;
use std::collections::HashMap;

/// Lines of a run that is in doubt; the first is that of versions before failovers kept the run.
const DOUBTS: [&str; 2] = ["stream lost its run", "failover started"];
/// Lines of the judgements that may cost streams their run, and of what became of it.
const JUDGEMENTS: [&str; 11] = [
    "endpoint suspected",
    "engine taken to be dead",
    "engine answers again",
    DOUBTS[0],
    DOUBTS[1],
    "failover done",
    "failover withdrawn, the run goes on",
    "failover not possible, run kept",
    "attempt in doubt",
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
        let what = line["payload"].as_str()?.to_owned();
        let fields = line["kv"].clone();
        let engine = fields["endpoint"].as_str().unwrap_or_default().to_owned();
        Some(Line { at_ms, gateway, what, fields, engine })
    }

    /// Whether it tells that a stream's run is in doubt, or was given up.
    pub fn is_doubt(&self) -> bool {
        DOUBTS.contains(&self.what.as_str())
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
            let texts =
                node.incarnations.iter().flat_map(|incarnation| incarnation.process.lines(&[]));
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

    /// The doubts of runs.
    pub fn doubts(&self) -> impl Iterator<Item = &Line> {
        self.judgements.iter().filter(|line| line.is_doubt())
    }
}
