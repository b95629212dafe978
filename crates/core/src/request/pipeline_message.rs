//! Messages of a pipeline request among its entry and its stages.

use crate::id::{Attempt, EndpointId, Position, StageIndex};
use crate::request::{Hop, Peer, Refusal, RequestKey, Route, Step, TokenOut};
use serde::{Deserialize, Serialize};

/// From `attempt` on, what stages ran at `position` and above counts as never run.
///
/// A last stage that starts from nothing may choose other tokens than the one before it, so all
/// that was run with tokens that the entry does not hold is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// The attempt with which a last stage started from nothing.
    pub attempt: Attempt,
    /// How many tokens the entry held then.
    pub position: Position,
}

/// A stage that hands its KV cache to the stage that takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverFrom {
    /// The leaving stage.
    pub hop: Hop,
    /// The attempt with which it began.
    pub since: Attempt,
}

/// Opens a request at a stage, or moves it to a higher attempt. The entry sends it to the first
/// stage; each stage passes it on to the next before anything else under that attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The request.
    pub request: RequestKey,
    /// The attempt that this begins.
    pub attempt: Attempt,
    /// The entry, to which tokens and failures go.
    pub entry: Peer,
    /// All stages.
    pub route: Route,
    /// The stage that this message is for.
    pub stage: StageIndex,
    /// For each stage, the attempt with which it started from nothing, or took over a KV cache.
    pub since: Vec<Attempt>,
    /// For each stage, who hands it a KV cache over.
    pub handover: Vec<Option<HandoverFrom>>,
    /// The cuts that a stage of this route may not have seen, in order.
    pub cuts: Vec<Cut>,
    /// How many tokens the entry holds, prompt included.
    pub have: Position,
    /// How many positions the prompt holds.
    pub prompt_len: Position,
    /// The most tokens to make.
    pub max_tokens: u32,
    /// Higher goes first at the engines.
    pub priority: u8,
}

impl Open {
    /// The attempt with which stage `stage` began.
    pub fn since(&self, stage: StageIndex) -> Attempt {
        self.since.get(usize::from(stage)).copied().unwrap_or(self.attempt)
    }

    /// The stage that hands its KV cache to the stage that this is for.
    pub fn handed_by(&self) -> Option<&HandoverFrom> {
        self.handover.get(usize::from(self.stage))?.as_ref()
    }

    /// The lowest position that a session last told of `attempt` must drop.
    pub fn cut_after(&self, attempt: Attempt) -> Option<Position> {
        self.cuts.iter().filter(|cut| cut.attempt > attempt).map(|cut| cut.position).min()
    }
}

/// Why a stage can't go on with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageTrouble {
    /// Its engine failed, hangs, or can't be reached.
    EngineFailed,
    /// It has no such request, though it should.
    NoSession,
    /// What must be replayed is kept no longer.
    ReplaySpent,
    /// Its link to another stage closed.
    NextClosed,
    /// It was given a token that differs from the one it ran.
    Diverged,
    /// It is leaving, and can hand its KV cache over.
    Leaving,
    /// The KV cache that it was to take over did not come, or does not fit.
    HandoverFailed,
    /// It refused the request before starting it.
    Refused(Refusal),
}

/// How far a stage is, in answer to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageProgress {
    /// The stage.
    pub stage: StageIndex,
    /// The position that it needs next.
    pub next: Position,
    /// Whether it can't go on.
    pub stuck: bool,
}

/// What a leaving stage hands over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The last attempt that the leaving stage was told of.
    pub attempt: Attempt,
    /// How many positions the KV cache holds.
    pub positions: Position,
    /// The KV cache, as the engine exported it.
    pub kv: Vec<u8>,
    /// Outputs kept for replay, in order.
    pub kept: Vec<Step>,
    /// Tokens chosen, if it is the last stage.
    pub chosen: Vec<TokenOut>,
}

/// Messages of a pipeline request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PipelineMessage {
    /// See [`Open`].
    Open(Open),
    /// Positions to run.
    Step(Step),
    /// From the last stage to the entry.
    Token(TokenOut),
    /// From a stage to the stage before it, or from the entry to the last: send again.
    Resend {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
        /// The stage that is to send.
        stage: StageIndex,
        /// The first position that is missing.
        from: Position,
    },
    /// From a stage to the entry.
    Trouble {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
        /// The stage in trouble.
        stage: StageIndex,
        /// What it is.
        trouble: StageTrouble,
        /// Step and peer.
        detail: String,
    },
    /// From the entry to each stage: how far are you?
    Probe {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
    },
    /// The answer to a probe.
    Progress {
        /// The request.
        request: RequestKey,
        /// The attempt in force at the stage.
        attempt: Attempt,
        /// How far it is.
        progress: StageProgress,
    },
    /// From a new stage to the leaving one whose place it takes.
    AskHandover {
        /// The request.
        request: RequestKey,
        /// The attempt with which the new stage begins.
        attempt: Attempt,
        /// The attempt with which the leaving stage began.
        since: Attempt,
        /// The leaving stage's engine.
        endpoint: EndpointId,
        /// The new stage's daemon.
        to: Peer,
    },
    /// The answer: the KV cache, or nothing if it is not there.
    Handover {
        /// The request.
        request: RequestKey,
        /// The attempt with which the new stage begins.
        attempt: Attempt,
        /// What is handed over.
        handover: Option<Handover>,
    },
    /// From the entry to each stage: free what is held for the request.
    Close {
        /// The request.
        request: RequestKey,
        /// The stage's engine.
        endpoint: EndpointId,
        /// The last attempt that this is for.
        attempt: Attempt,
    },
}

impl PipelineMessage {
    /// The request that it is about.
    pub fn request(&self) -> RequestKey {
        match self {
            PipelineMessage::Open(open) => open.request,
            PipelineMessage::Step(step) => step.request,
            PipelineMessage::Token(out) => out.request,
            PipelineMessage::Resend { request, .. }
            | PipelineMessage::Trouble { request, .. }
            | PipelineMessage::Probe { request, .. }
            | PipelineMessage::Progress { request, .. }
            | PipelineMessage::AskHandover { request, .. }
            | PipelineMessage::Handover { request, .. }
            | PipelineMessage::Close { request, .. } => *request,
        }
    }
}

/// A message on its way to a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The process.
    pub to: Peer,
    /// The message.
    pub message: PipelineMessage,
}
