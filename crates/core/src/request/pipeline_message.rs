//! Messages exchanged by the entry and the stages of a pipeline request.

use crate::id::{Attempt, EndpointId, Position, StageIndex};
use crate::request::{Hop, Peer, Refusal, RequestKey, Route, Step, TokenOut};
use serde::{Deserialize, Serialize};

/// Invalidates, from `attempt` on, everything that stages ran at `position` and above.
///
/// A last stage that starts without state may choose other tokens than its predecessor, so all
/// results computed from tokens that the entry does not hold are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cut {
    /// The attempt in which a last stage started without state.
    pub attempt: Attempt,
    /// Number of tokens that the entry held at that time.
    pub position: Position,
}

/// A stage that hands its KV cache over to its replacement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverFrom {
    /// The leaving stage.
    pub hop: Hop,
    /// The attempt in which it started.
    pub since: Attempt,
}

/// Opens a request at a stage, or moves it to a higher attempt. The entry sends it to the first
/// stage; each stage forwards it to the next before any other message of that attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The request.
    pub request: RequestKey,
    /// The attempt that this message starts.
    pub attempt: Attempt,
    /// The entry, to which tokens and failures go.
    pub entry: Peer,
    /// All stages of the request.
    pub route: Route,
    /// Index of the stage that receives this message.
    pub stage: StageIndex,
    /// For each stage, the attempt in which it started without state or took over a KV cache.
    pub since: Vec<Attempt>,
    /// For each stage, the stage that hands its KV cache over to it, if any.
    pub handover: Vec<Option<HandoverFrom>>,
    /// The cuts that some stage of this route may not have applied yet, in order.
    pub cuts: Vec<Cut>,
    /// Number of tokens that the entry holds, prompt included.
    pub have: Position,
    /// Length of the prompt in positions.
    pub prompt_len: Position,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority at the engines; higher values run first.
    pub priority: u8,
}

impl Open {
    /// Returns the attempt in which stage `stage` started.
    pub fn since(&self, stage: StageIndex) -> Attempt {
        self.since.get(usize::from(stage)).copied().unwrap_or(self.attempt)
    }

    /// Returns the stage that hands its KV cache over to the receiving stage, if any.
    pub fn handed_by(&self) -> Option<&HandoverFrom> {
        self.handover.get(usize::from(self.stage))?.as_ref()
    }

    /// Returns the lowest position that a session must drop if `attempt` was the last one opened there.
    pub fn cut_after(&self, attempt: Attempt) -> Option<Position> {
        self.cuts.iter().filter(|cut| cut.attempt > attempt).map(|cut| cut.position).min()
    }
}

/// Reason why a stage cannot continue a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageTrouble {
    /// Its engine failed, hangs, or is unreachable.
    EngineFailed,
    /// It holds no session for the request, although the route expects one.
    NoSession,
    /// The output that must be replayed is no longer kept.
    ReplaySpent,
    /// The link to another stage of the route closed.
    NextClosed,
    /// It received a token that differs from the one it ran at the same position.
    Diverged,
    /// It is leaving and can hand its KV cache over.
    Leaving,
    /// The KV cache to take over did not arrive, or could not be imported.
    HandoverFailed,
    /// It refused the request before starting it.
    Refused(Refusal),
}

/// Progress of a stage, sent in reply to a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageProgress {
    /// The stage.
    pub stage: StageIndex,
    /// The next position that the stage needs.
    pub next: Position,
    /// Whether the stage cannot continue.
    pub stuck: bool,
}

/// State that a leaving stage hands over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// The last attempt that was opened at the leaving stage.
    pub attempt: Attempt,
    /// Number of positions in the KV cache.
    pub positions: Position,
    /// The KV cache, as the engine exported it.
    pub kv: Vec<u8>,
    /// Outputs kept for replay, in order.
    pub kept: Vec<Step>,
    /// Tokens chosen so far; empty unless it is the last stage.
    pub chosen: Vec<TokenOut>,
}

/// Messages of a pipeline request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PipelineMessage {
    /// Opens a request or an attempt; see [`Open`].
    Open(Open),
    /// Carries positions to run to a stage.
    Step(Step),
    /// Carries a chosen token from the last stage to the entry.
    Token(TokenOut),
    /// Asks the previous stage (or, sent by the entry, the last stage) to send its output again.
    Resend {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
        /// The stage that must send again.
        stage: StageIndex,
        /// The first position that is missing.
        from: Position,
    },
    /// Reports to the entry that a stage cannot continue.
    Trouble {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
        /// The affected stage.
        stage: StageIndex,
        /// The reason.
        trouble: StageTrouble,
        /// The failed step and the peer, for logs.
        detail: String,
    },
    /// Asks a stage for its progress; sent by the entry to each stage.
    Probe {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
    },
    /// Answers a probe.
    Progress {
        /// The request.
        request: RequestKey,
        /// The current attempt at the stage.
        attempt: Attempt,
        /// Progress of the stage.
        progress: StageProgress,
    },
    /// Asks a leaving stage for its KV cache; sent by its replacement.
    AskHandover {
        /// The request.
        request: RequestKey,
        /// The attempt in which the new stage starts.
        attempt: Attempt,
        /// The attempt in which the leaving stage started.
        since: Attempt,
        /// The leaving stage's engine.
        endpoint: EndpointId,
        /// The new stage's daemon.
        to: Peer,
    },
    /// Answers `AskHandover` with the KV cache, or with nothing if it is not available.
    Handover {
        /// The request.
        request: RequestKey,
        /// The attempt in which the new stage starts.
        attempt: Attempt,
        /// The state handed over.
        handover: Option<Handover>,
    },
    /// Frees everything that a stage holds for the request; sent by the entry to each stage.
    Close {
        /// The request.
        request: RequestKey,
        /// The stage's engine.
        endpoint: EndpointId,
        /// The last attempt that this closes.
        attempt: Attempt,
    },
}

impl PipelineMessage {
    /// Returns the request that this message belongs to.
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

/// A message and the process to send it to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The receiving process.
    pub to: Peer,
    /// The message.
    pub message: PipelineMessage,
}
