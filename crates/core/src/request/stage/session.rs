//! Tracks the positions of one request at one stage: completed, running and waiting.

use crate::id::{Attempt, Position};
use crate::request::{KeptBudget, KeptOutput, Step};
use std::sync::Arc;

/// How a stage handles a received step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageVerdict {
    /// It waits for the engine, without the positions that were already known.
    Queued,
    /// All of its positions have already run, are running or are waiting.
    Repeated,
    /// Positions from `next` on are missing and must be requested again.
    Gap {
        /// The next position that this stage needs.
        next: Position,
    },
    /// It belongs to an abandoned attempt.
    Stale,
    /// It belongs to an attempt that has not been opened at this stage yet.
    Early,
    /// Its token differs from the known token at the same position.
    Diverged,
}

/// A step for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTurn {
    /// If set, the KV cache must be truncated to the positions below this one first.
    pub truncate: Option<Position>,
    /// The step to run.
    pub step: Step,
}

/// A step that the engine is running.
#[derive(Clone, Debug)]
struct Running {
    step: Step,
    /// Outputs at this position and above are dropped.
    limit: Position,
}

/// Progress of one request at a stage.
#[derive(Debug)]
pub struct StageSession {
    attempt: Attempt,
    done: Position,
    running: Option<Running>,
    waiting: Option<Step>,
    truncate: Option<Position>,
    kept: KeptOutput,
}

impl StageSession {
    /// Creates the state of a stage that has run nothing, at `attempt`.
    pub fn new(attempt: Attempt, budget: Arc<KeptBudget>) -> StageSession {
        StageSession {
            attempt,
            done: 0,
            running: None,
            waiting: None,
            truncate: None,
            kept: KeptOutput::new(budget),
        }
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the next position that is needed.
    pub fn next(&self) -> Position {
        match (&self.waiting, &self.running) {
            (Some(step), _) => step.end(),
            (None, Some(running)) => running.step.end().min(running.limit),
            (None, None) => self.done,
        }
    }

    /// Returns one past the last position whose output is known.
    pub fn done(&self) -> Position {
        self.done
    }

    /// Returns whether the engine is running a step of this request.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Returns whether a step is waiting and none is running.
    pub fn is_ready(&self) -> bool {
        self.waiting.is_some() && self.running.is_none()
    }

    /// Returns the outputs kept for replay.
    pub fn kept(&self) -> &KeptOutput {
        &self.kept
    }

    /// Handles a received step.
    pub fn accept(&mut self, step: &Step) -> StageVerdict {
        if step.attempt < self.attempt {
            return StageVerdict::Stale;
        }
        if step.attempt > self.attempt {
            return StageVerdict::Early;
        }
        let next = self.next();
        if step.first > next {
            return StageVerdict::Gap { next };
        }
        if self.differs(step) {
            return StageVerdict::Diverged;
        }
        if step.end() <= next {
            return StageVerdict::Repeated;
        }
        match &mut self.waiting {
            Some(waiting) => waiting.append(step),
            None => self.waiting = Some(step.from_position(next)),
        }
        StageVerdict::Queued
    }

    /// Returns the waiting step for the engine, unless a step of this request is running.
    pub fn start(&mut self) -> Option<EngineTurn> {
        if self.running.is_some() {
            return None;
        }
        let step = self.waiting.take()?;
        self.running = Some(Running { step: step.clone(), limit: Position::MAX });
        Some(EngineTurn { truncate: self.truncate.take(), step })
    }

    /// Ends the running step, and returns its valid positions with their tokens.
    pub fn finish(&mut self) -> Option<Step> {
        let running = self.running.take()?;
        if running.limit < running.step.end() {
            self.truncate = Some(running.limit);
        }
        let valid = running.step.below_position(running.limit);
        if valid.tokens.is_empty() {
            return None;
        }
        self.done = valid.end();
        Some(valid)
    }

    /// Keeps an output for replay.
    pub fn keep(&mut self, output: Step) {
        self.kept.push(output);
    }

    /// Moves to a higher attempt, and drops the positions at `cut` and above.
    pub fn raise(&mut self, attempt: Attempt, cut: Option<Position>) {
        self.attempt = self.attempt.max(attempt);
        if let Some(cut) = cut {
            self.cut(cut);
        }
    }

    /// Takes the position to which the KV cache must be truncated before its next use.
    pub fn take_truncate(&mut self) -> Option<Position> {
        self.truncate.take()
    }

    /// Takes over the completed positions and kept output of another stage.
    pub fn take_over(&mut self, positions: Position, kept: Vec<Step>) {
        self.done = positions;
        kept.into_iter().for_each(|step| self.kept.push(step));
    }

    /// Returns all kept output from `position` on, or `None` if some of it was dropped.
    pub fn replay(&self, position: Position) -> Option<Step> {
        self.kept.from_position(position)
    }

    /// Returns the newest kept output.
    pub fn newest(&self) -> Option<Step> {
        self.kept.newest().cloned()
    }

    fn cut(&mut self, cut: Position) {
        if let Some(waiting) = self.waiting.take()
            && waiting.first < cut
        {
            self.waiting = Some(waiting.below_position(cut));
        }
        if let Some(running) = &mut self.running
            && running.step.end() > cut
        {
            running.limit = running.limit.min(cut);
        }
        if self.done > cut {
            self.truncate = Some(self.truncate.map_or(cut, |before| before.min(cut)));
            self.done = cut;
        }
        self.kept.truncate(cut);
    }

    fn differs(&self, step: &Step) -> bool {
        let running = self.running.as_ref();
        let below = |running: &Running| running.step.below_position(running.limit);
        running.is_some_and(|running| below(running).differs(step))
            || self.waiting.as_ref().is_some_and(|waiting| waiting.differs(step))
            || self.kept.differs(step)
    }
}
