//! Lines of the logs of gateways.

use serde::Deserialize;

/// A line of a gateway's log.
#[derive(Clone, Debug, Deserialize)]
pub struct LogLine {
    /// When it was written: Unix time in ms.
    pub timestamp: u64,
    /// The event.
    #[serde(rename = "payload")]
    pub event: String,
    /// Its fields.
    #[serde(default, rename = "kv")]
    pub fields: LogFields,
}

/// The fields about a request and its end.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub struct LogFields {
    /// The request.
    pub request: Option<String>,
    /// How it ended.
    pub outcome: Option<String>,
    /// Why it ended so.
    pub why: Option<String>,
    /// How long it took, in ms.
    pub ms: Option<u64>,
    /// The workspace that sent it.
    pub workspace: Option<String>,
    /// Its rank.
    pub rank: Option<u32>,
    /// Its route.
    pub route: Option<String>,
    /// The data centre of the gateway that took it.
    #[serde(rename = "at")]
    pub data_centre: Option<String>,
}

impl LogLine {
    /// Parses a line, which may have other text before the log's own; `None` if it has none of a gateway.
    pub fn parse(text: &str) -> Option<LogLine> {
        serde_json::from_str(&text[text.find("{\"level\"")?..]).ok()
    }
}

/// The end of a stream, as its last line has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamEnd {
    /// Time until the first event, in ms.
    pub first_ms: u64,
    /// The longest pause between two events, in ms.
    pub pause_ms: u64,
    /// How often it lost its run.
    pub failovers: u64,
}

impl StreamEnd {
    /// Parses `N events, first in N ms, longest pause N ms after N, N failovers, ...`.
    pub fn parse(why: &str) -> Option<StreamEnd> {
        let parts: Vec<&str> = why.split(", ").collect();
        let [_, first, pause, failovers, ..] = parts.as_slice() else { return None };
        let number = |text: &str| text.split(' ').next()?.parse().ok();
        Some(StreamEnd {
            first_ms: number(first.strip_prefix("first in ")?)?,
            pause_ms: number(pause.strip_prefix("longest pause ")?)?,
            failovers: number(failovers)?,
        })
    }
}
