//! Calls about the sessions of an engine.

use crate::api::SessionId;
use serde::{Deserialize, Serialize};
use sorrellock_core::id::Position;

/// The body of `POST /v1/release`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseCall {
    /// The sessions to free.
    pub sessions: Vec<SessionId>,
}

/// The body of `POST /v1/truncate`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TruncateCall {
    /// The session to cut back.
    pub session: SessionId,
    /// The first position that goes.
    pub position: Position,
}
