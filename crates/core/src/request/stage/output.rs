//! Actions that the stage table requests from the process that hosts it.

use crate::id::{Position, StageIndex};
use crate::request::stage::run::StageRun;
use crate::request::{
    Activations, Chosen, Handover, Outgoing, Peer, PipelineMessage, RequestKey, StageTrouble,
};

/// Events that the process counts in its metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageCount {
    /// A step repeated positions that had already run.
    Repeated,
    /// A message did not belong to a current attempt.
    Stale,
    /// Positions before a received step were missing.
    Gap,
    /// Kept output was resent.
    Replay,
    /// Trouble was reported to an entry.
    Trouble,
    /// A KV cache was handed over.
    HandedOver,
    /// A request was freed after [`SESSION_IDLE`](crate::request::SESSION_IDLE) without a message.
    Expired,
}

/// Actions that a stage requests from the process that hosts it.
#[derive(Debug, Default)]
pub struct StageOutput {
    /// Messages to send, in order.
    pub messages: Vec<Outgoing>,
    /// Requests that now have work for the engine, each with its priority.
    pub ready: Vec<(u8, RequestKey)>,
    /// KV caches to free.
    pub releases: Vec<String>,
    /// KV caches to export; the result goes to [`StageTable::on_exported`](crate::request::StageTable::on_exported).
    pub exports: Vec<KvExport>,
    /// KV caches to import; the result goes to [`StageTable::on_imported`](crate::request::StageTable::on_imported).
    pub imports: Vec<(RequestKey, String, Handover)>,
    /// Events to count.
    pub counts: Vec<StageCount>,
}

impl StageOutput {
    pub(super) fn send(&mut self, to: Peer, message: PipelineMessage) {
        self.messages.push(Outgoing { to, message });
    }

    pub(super) fn trouble(
        &mut self,
        run: &StageRun,
        stage: StageIndex,
        trouble: StageTrouble,
        why: &str,
    ) {
        self.counts.push(StageCount::Trouble);
        self.messages.push(run.trouble(stage, trouble, why));
    }
}

/// A KV cache to export from the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvExport {
    /// The request.
    pub request: RequestKey,
    /// Name of the KV cache at the engine.
    pub session: String,
    /// If set, the cache must be truncated to the positions below this one first.
    pub truncate: Option<Position>,
}

/// Result of a step at the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineResult {
    /// Activations after the engine's layers.
    Activations(Activations),
    /// The token chosen for the last position.
    Chosen(Chosen),
    /// No usable result. It is not known what ran, so the KV cache counts as lost.
    Failed(String),
}
