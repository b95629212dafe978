//! Validated requests that start once they are admitted.

use super::PoolId;
use crate::entry::process::{NewCall, NewPipeline};
use sorrellock_core::id::Sequence;
use sorrellock_core::process::admission::Demand;
use sorrellock_core::version::Row;
use std::time::Instant;

/// Upper bound assumed for the work of a call to a plain service without history, in milliseconds.
const CALL_WORK_MS: f64 = 100.0;

/// A validated request that starts once it is admitted.
pub enum Work {
    /// A request to a pipeline.
    Pipeline(NewPipeline),
    /// A call to a plain service.
    Call(NewCall),
}

impl Work {
    /// Returns the request's sequence number at this entry.
    pub fn sequence(&self) -> Sequence {
        match self {
            Work::Pipeline(new) => new.request.sequence,
            Work::Call(new) => new.request.sequence,
        }
    }

    /// Returns the time after which the caller no longer needs the answer.
    pub fn deadline(&self) -> Instant {
        match self {
            Work::Pipeline(new) => new.deadline,
            Work::Call(new) => new.deadline,
        }
    }

    /// Returns the pool that the request queues for.
    pub fn pool(&self) -> PoolId {
        match self {
            Work::Pipeline(new) => PoolId::Model(new.pipeline.model.clone()),
            Work::Call(new) => PoolId::Service(new.service.clone()),
        }
    }

    /// Returns the number of prompt tokens; 0 for a call.
    pub fn prompt_tokens(&self) -> f64 {
        match self {
            Work::Pipeline(new) => new.asked.prompt.len() as f64,
            Work::Call(_) => 0.0,
        }
    }

    /// Returns the request's demand on its queue, with class and weight of the row that applies.
    pub fn demand(&self, row: &Row) -> Demand {
        let (known_work, max_extra_work, bytes) = match self {
            Work::Pipeline(new) => {
                let bytes = size_of_val(&new.asked.prompt[..]);
                (self.prompt_tokens(), f64::from(new.asked.max_tokens), bytes)
            }
            Work::Call(new) => (0.0, CALL_WORK_MS, new.call.body.len()),
        };
        Demand {
            ticket: self.sequence(),
            workspace: row.workspace.clone(),
            class: row.class,
            weight: row.weight,
            known_work,
            max_extra_work,
            bytes: bytes as u64,
            deadline: self.deadline(),
        }
    }
}
