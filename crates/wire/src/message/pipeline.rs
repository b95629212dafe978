//! Messages of a pipeline request among its entry and its stages.

use serde::{Deserialize, Serialize};
use sorrellock_core::id::{Attempt, Position, StageIndex};
use sorrellock_core::request::{Peer, Refusal, RequestKey, Route, Step, TokenOut};

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
    /// For each stage, whether it starts from nothing.
    pub fresh: Vec<bool>,
    /// How many positions the prompt holds.
    pub prompt_len: Position,
    /// The most tokens to make.
    pub max_tokens: u32,
    /// Higher goes first at the engines.
    pub priority: u8,
}

/// Why a stage can't go on with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StageTrouble {
    /// Its engine failed, or can't be reached.
    EngineFailed,
    /// It has no such request, though it should.
    NoSession,
    /// What must be replayed is kept no longer.
    ReplaySpent,
    /// Its link to the next stage closed.
    NextClosed,
    /// It was given a token that differs from the one it chose itself.
    Diverged,
    /// It refused the request before starting it.
    Refused(Refusal),
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
    /// From a stage to the stage before it: send again from this position on.
    Resend {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
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
    /// From the entry to each stage: free what is held for the request.
    Close {
        /// The request.
        request: RequestKey,
    },
}
