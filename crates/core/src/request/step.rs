//! A step: a range of positions of one request that passes through the stages.

use crate::id::{Attempt, Position, StageIndex, TokenId};
use crate::request::RequestKey;
use serde::{Deserialize, Serialize};

/// Activations of consecutive positions, one block of `width` bytes each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Activations {
    /// Bytes per position.
    pub width: u32,
    /// The blocks, in order of position.
    pub data: Vec<u8>,
}

impl Activations {
    /// Wraps blocks of `width` bytes each.
    pub fn new(width: u32, data: Vec<u8>) -> Activations {
        Activations { width, data }
    }

    /// Returns the number of positions.
    pub fn count(&self) -> u32 {
        (self.data.len() as u32).checked_div(self.width).unwrap_or(0)
    }

    /// Returns a copy without the first `skip` positions.
    pub fn skip(&self, skip: u32) -> Activations {
        let from = (skip as usize * self.width as usize).min(self.data.len());
        Activations { width: self.width, data: self.data[from..].to_vec() }
    }

    /// Returns a copy of the first `count` positions.
    pub fn first(&self, count: u32) -> Activations {
        let end = (count as usize * self.width as usize).min(self.data.len());
        Activations { width: self.width, data: self.data[..end].to_vec() }
    }

    /// Appends the blocks of `more`.
    pub fn append(&mut self, more: &Activations) {
        if self.data.is_empty() {
            self.width = more.width;
        }
        self.data.extend_from_slice(&more.data);
    }
}

/// Positions `first..first + tokens.len()` for the next stage to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The request.
    pub request: RequestKey,
    /// The attempt in which it was sent.
    pub attempt: Attempt,
    /// The stage that must run it.
    pub stage: StageIndex,
    /// The first position.
    pub first: Position,
    /// The input token at each position. They are sent along with the activations so that a
    /// replacement of the last stage knows which token was already chosen.
    pub tokens: Vec<TokenId>,
    /// Output of the previous stage; empty for the first stage.
    pub activations: Activations,
}

impl Step {
    /// Returns one past the last position.
    pub fn end(&self) -> Position {
        self.first + self.tokens.len() as Position
    }

    /// Returns this step without the positions below `position`.
    pub fn from_position(&self, position: Position) -> Step {
        let skip = position.saturating_sub(self.first);
        Step {
            request: self.request,
            attempt: self.attempt,
            stage: self.stage,
            first: self.first + skip,
            tokens: self.tokens.iter().skip(skip as usize).copied().collect(),
            activations: self.activations.skip(skip),
        }
    }

    /// Returns this step without the positions at and above `position`.
    pub fn below_position(&self, position: Position) -> Step {
        let count = position.saturating_sub(self.first);
        Step {
            request: self.request,
            attempt: self.attempt,
            stage: self.stage,
            first: self.first,
            tokens: self.tokens.iter().take(count as usize).copied().collect(),
            activations: self.activations.first(count),
        }
    }

    /// Appends the positions of `more` beyond the end of this step; `more` must follow or overlap it.
    pub fn append(&mut self, more: &Step) {
        let more = more.from_position(self.end());
        self.tokens.extend_from_slice(&more.tokens);
        self.activations.append(&more.activations);
    }

    /// Returns whether the two steps have different tokens at a shared position.
    pub fn differs(&self, other: &Step) -> bool {
        let first = self.first.max(other.first);
        let mine = self.tokens.iter().skip((first - self.first) as usize);
        let others = other.tokens.iter().skip((first - other.first) as usize);
        mine.zip(others).any(|(mine, other)| mine != other)
    }
}

/// A token that the last stage chose.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenOut {
    /// The request.
    pub request: RequestKey,
    /// The attempt in which it was chosen.
    pub attempt: Attempt,
    /// The position whose output this token is; the token itself takes the next position.
    pub position: Position,
    /// The token.
    pub token: TokenId,
    /// Its text.
    pub text: String,
    /// Whether the model ended its output with this token.
    pub end_of_text: bool,
}
