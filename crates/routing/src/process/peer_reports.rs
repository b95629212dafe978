//! What gateways report to each other of endpoints.

use crate::process::{FailureEvidence, Incarnation, StartMillis};
use serde::{Deserialize, Serialize};

/// An engine that the reporting gateway suspects.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedSuspect {
    /// The engine.
    pub incarnation: Incarnation,
    /// Why it does.
    pub evidence: FailureEvidence,
}

/// An incarnation of an endpoint that has ended, and the one that replaced it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndedIncarnation {
    /// The incarnation that has ended.
    pub ended: Incarnation,
    /// Start time of the later incarnation.
    pub successor: Option<StartMillis>,
}

/// Load of one gateway's streams on the paths that begin at one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeadLoad {
    /// The first engine.
    pub head: Incarnation,
    /// Number of tokens that the streams reserve.
    pub tokens: u32,
    /// Number of streams.
    pub streams: u32,
}
