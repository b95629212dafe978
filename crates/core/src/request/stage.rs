//! One stage's part of a request: each position once, in order.

use crate::id::{Attempt, Position};
use crate::request::Step;

/// What a stage does with a step that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageVerdict {
    /// Run this step; positions that had run already are cut off.
    Run(Step),
    /// All of it ran before: send this kept output on again.
    Repeat(Step),
    /// All of it ran before, and the output is kept no longer.
    Spent,
    /// Positions from `next` on are missing: ask for them again.
    Gap {
        /// The position that this stage needs next.
        next: Position,
    },
    /// It belongs to an attempt that was given up.
    Stale,
    /// It belongs to an attempt that this stage has not been told of.
    Early,
}

/// The state that a stage keeps for one request.
#[derive(Clone, Debug)]
pub struct StageSession {
    attempt: Attempt,
    accepted: Position,
    kept: Option<Step>,
    kept_bytes: usize,
    budget: usize,
}

impl StageSession {
    /// A stage that has run nothing, under `attempt`, and keeps at most `budget` bytes of output.
    pub fn new(attempt: Attempt, budget: usize) -> StageSession {
        StageSession { attempt, accepted: 0, kept: None, kept_bytes: 0, budget }
    }

    /// The attempt in force.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// One past the last position given to the engine.
    pub fn accepted(&self) -> Position {
        self.accepted
    }

    /// Bytes of output kept for replay.
    pub fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Takes a step, and counts its positions as given to the engine if it is to run.
    pub fn accept(&mut self, step: &Step) -> StageVerdict {
        if step.attempt < self.attempt {
            return StageVerdict::Stale;
        }
        if step.attempt > self.attempt {
            return StageVerdict::Early;
        }
        if step.first > self.accepted {
            return StageVerdict::Gap { next: self.accepted };
        }
        if step.end() <= self.accepted {
            return self.repeat(step.first);
        }
        let run = step.from_position(self.accepted);
        self.accepted = run.end();
        StageVerdict::Run(run)
    }

    /// Keeps an output for replay, while the budget lasts.
    pub fn keep(&mut self, output: &Step) {
        let size = output.activations.data.len() + 4 * output.tokens.len();
        match &mut self.kept {
            Some(kept) if kept.end() == output.first => {
                if self.kept_bytes + size > self.budget {
                    self.drop_kept();
                    return;
                }
                kept.tokens.extend_from_slice(&output.tokens);
                kept.activations.append(&output.activations);
                self.kept_bytes += size;
            }
            None if output.first == 0 && size <= self.budget => {
                self.kept = Some(output.clone());
                self.kept_bytes = size;
            }
            _ => {}
        }
    }

    /// Moves to a higher attempt, keeping what has run.
    pub fn raise(&mut self, attempt: Attempt) {
        self.attempt = self.attempt.max(attempt);
    }

    /// All kept output from position 0 on under the present attempt, if none was dropped.
    pub fn replay(&self) -> Option<Step> {
        self.kept.as_ref().map(|kept| Step { attempt: self.attempt, ..kept.clone() })
    }

    /// Starts over from nothing under a higher attempt.
    pub fn reset(&mut self, attempt: Attempt) {
        *self = StageSession::new(attempt, self.budget);
    }

    fn repeat(&self, first: Position) -> StageVerdict {
        match self.replay() {
            Some(kept) if kept.end() > first => StageVerdict::Repeat(kept.from_position(first)),
            _ => StageVerdict::Spent,
        }
    }

    fn drop_kept(&mut self) {
        self.kept = None;
        self.kept_bytes = 0;
    }
}
