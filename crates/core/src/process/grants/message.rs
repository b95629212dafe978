//! What an entry asks of a keeper, and what it answers.

use super::Amount;
use crate::id::{Kind, WorkspaceId};
use crate::version::Row;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Whose limit it is, and for which kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LimitKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The kind.
    pub kind: Kind,
}

impl LimitKey {
    /// The key of a row.
    pub fn of(row: &Row) -> LimitKey {
        LimitKey { workspace: row.workspace.clone(), kind: row.kind.clone() }
    }
}

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.kind)
    }
}

/// The limits of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests and tokens a second.
    pub rate: Amount,
    /// Requests in flight.
    pub in_flight: u32,
}

impl Limits {
    /// The limits of a row.
    pub fn of(row: &Row) -> Limits {
        let rate = Amount::new(row.requests_per_s, row.tokens_per_s);
        Limits { rate, in_flight: row.in_flight }
    }
}

/// From an entry to a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// Whose limit.
    pub key: LimitKey,
    /// Rises with each question of this entry on this key.
    pub number: u64,
    /// What the entry expects to spend soon, beyond what it has.
    pub want: Amount,
    /// What it was granted, will not spend, and gives back.
    pub back: Amount,
    /// What it spent beyond its grants.
    pub debt: Amount,
    /// What it spent lately that this keeper did not grant: under another one, or alone.
    pub carried: Amount,
    /// Requests of it in flight.
    pub in_use: u32,
    /// How many it wants to have in flight; it starts no more than it had and no more than this.
    pub slots: u32,
}

/// From a keeper to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Whose limit.
    pub key: LimitKey,
    /// Of the question.
    pub number: u64,
    /// What the entry may spend.
    pub granted: Amount,
    /// How many it may have in flight.
    pub slots: u32,
    /// When there will be more, if it got less than it wanted.
    pub more_after: Duration,
}
