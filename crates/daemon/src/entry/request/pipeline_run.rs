//! One pipeline request at its entry.

use crate::entry::request::Answer;
use crate::entry::version::InFlight;
use sorrellock_core::id::{Position, WorkspaceId};
use sorrellock_core::request::{Driver, Hop, Peer, RequestKey, Route};
use sorrellock_core::version::Pipeline;
use sorrellock_wire::message::Open;
use std::time::Instant;

/// One pipeline request at its entry.
pub struct PipelineRun {
    /// Its identity.
    pub request: RequestKey,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Tokens, attempt and route.
    pub driver: Driver,
    /// What the caller gets.
    pub answer: Answer,
    /// The pipeline.
    pub pipeline: Pipeline,
    /// When the caller no longer needs it.
    pub deadline: Instant,
    /// Higher goes first at the engines.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt_len: Position,
    /// The most tokens to make.
    pub max_tokens: u32,
    /// Counts it at the endpoints of its route.
    pub in_flight: Vec<InFlight>,
    /// Stages of given up routes, to be closed at the end.
    pub left: Vec<Hop>,
}

impl PipelineRun {
    /// The message that opens the attempt in force at the first stage.
    pub fn open(&self, entry: Peer, fresh: Vec<bool>) -> Open {
        Open {
            request: self.request,
            attempt: self.driver.attempt(),
            entry,
            route: self.driver.route().clone(),
            stage: 0,
            fresh,
            prompt_len: self.prompt_len,
            max_tokens: self.max_tokens,
            priority: self.priority,
        }
    }

    /// For each stage of `route`, whether it was not in the route before.
    pub fn fresh_stages(&self, route: &Route) -> Vec<bool> {
        let before = &self.driver.route().hops;
        route.hops.iter().map(|hop| !before.contains(hop)).collect()
    }

    /// All stages that may hold something for it.
    pub fn stages_to_close(&self) -> Vec<Hop> {
        let mut hops = self.driver.route().hops.clone();
        hops.extend(self.left.iter().cloned());
        hops
    }
}
