//! What the requests at an engine ask of the process around them.

use crate::id::{Position, StageIndex};
use crate::request::stage::run::StageRun;
use crate::request::{
    Activations, Chosen, Handover, Outgoing, Peer, PipelineMessage, RequestKey, StageTrouble,
};

/// What happened to steps, for counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageCount {
    /// A step repeated what had run.
    Repeated,
    /// A message belonged to no attempt in force.
    Stale,
    /// Positions before a step were missing.
    Gap,
    /// Kept output was sent again.
    Replay,
    /// Trouble was told to an entry.
    Trouble,
    /// A KV cache was handed over.
    HandedOver,
    /// A request was freed as nothing was heard of it.
    Expired,
}

/// What a stage asks of the process around it.
#[derive(Debug, Default)]
pub struct StageOutput {
    /// Messages to send, in order.
    pub messages: Vec<Outgoing>,
    /// Requests that have work for the engine from now on, by priority.
    pub ready: Vec<(u8, RequestKey)>,
    /// KV caches to free.
    pub releases: Vec<String>,
    /// KV caches to export; the result goes to [`StageTable::on_exported`].
    pub exports: Vec<KvExport>,
    /// KV caches to put in place; the result goes to [`StageTable::on_imported`].
    pub imports: Vec<(RequestKey, String, Handover)>,
    /// What happened.
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

/// A KV cache to take out of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvExport {
    /// The request.
    pub request: RequestKey,
    /// Names the KV cache.
    pub session: String,
    /// Cut it back to the positions below this one first.
    pub truncate: Option<Position>,
}

/// What an engine gave for a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineResult {
    /// Output of the layers.
    Activations(Activations),
    /// The token chosen after the last position.
    Chosen(Chosen),
    /// Nothing, or nothing that tells what ran: the KV cache counts as lost.
    Failed(String),
}
