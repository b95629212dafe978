//! The positions of one request at one stage: which ran, which run now, which wait.

use crate::id::{Attempt, Position};
use crate::request::{KeptBudget, KeptOutput, Step};
use std::sync::Arc;

/// What a stage does with a step that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageVerdict {
    /// It waits for the engine; positions that had run already were cut off.
    Queued,
    /// All of it ran, runs or waits already.
    Repeated,
    /// Positions from `next` on are missing: ask for them again.
    Gap {
        /// The position that this stage needs next.
        next: Position,
    },
    /// It belongs to an attempt that was given up.
    Stale,
    /// It belongs to an attempt that this stage has not been told of.
    Early,
    /// It has another token at a position that ran.
    Diverged,
}

/// A step for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineTurn {
    /// Cut the KV cache back to the positions below this one first.
    pub truncate: Option<Position>,
    /// What to run.
    pub step: Step,
}

/// A step that the engine has in hand.
#[derive(Clone, Debug)]
struct Running {
    step: Step,
    /// Outputs at this position and above are dropped.
    limit: Position,
}

/// The state that a stage keeps for one request.
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
    /// A stage that has run nothing, under `attempt`.
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

    /// The attempt in force.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// The position that is needed next.
    pub fn next(&self) -> Position {
        match (&self.waiting, &self.running) {
            (Some(step), _) => step.end(),
            (None, Some(running)) => running.step.end().min(running.limit),
            (None, None) => self.done,
        }
    }

    /// One past the last position whose output is known.
    pub fn done(&self) -> Position {
        self.done
    }

    /// Whether the engine has a step of it in hand.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Whether a step waits and none is in the engine's hand.
    pub fn is_ready(&self) -> bool {
        self.waiting.is_some() && self.running.is_none()
    }

    /// The outputs kept for replay.
    pub fn kept(&self) -> &KeptOutput {
        &self.kept
    }

    /// Takes a step.
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

    /// Hands what waits to the engine, unless it has a step of this request in hand.
    pub fn start(&mut self) -> Option<EngineTurn> {
        if self.running.is_some() {
            return None;
        }
        let step = self.waiting.take()?;
        self.running = Some(Running { step: step.clone(), limit: Position::MAX });
        Some(EngineTurn { truncate: self.truncate.take(), step })
    }

    /// The engine ran the step in hand: the positions that count, with their tokens.
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

    /// Moves to a higher attempt, dropping what ran at `cut` and above.
    pub fn raise(&mut self, attempt: Attempt, cut: Option<Position>) {
        self.attempt = self.attempt.max(attempt);
        if let Some(cut) = cut {
            self.cut(cut);
        }
    }

    /// Where the KV cache must be cut back before it is used again.
    pub fn take_truncate(&mut self) -> Option<Position> {
        self.truncate.take()
    }

    /// Takes over what another stage ran.
    pub fn take_over(&mut self, positions: Position, kept: Vec<Step>) {
        self.done = positions;
        kept.into_iter().for_each(|step| self.kept.push(step));
    }

    /// All kept output from `position` on; nothing if some was dropped.
    pub fn replay(&self, position: Position) -> Option<Step> {
        self.kept.from_position(position)
    }

    /// The newest kept output.
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
