//! Messages between an entry and the keeper of a limit.

use super::Amount;
use crate::id::{Kind, WorkspaceId};
use crate::version::Row;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Key of a limit: a workspace and a kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LimitKey {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The kind of request.
    pub kind: Kind,
}

impl LimitKey {
    /// Returns the key of a configuration row.
    pub fn of(row: &Row) -> LimitKey {
        LimitKey { workspace: row.workspace.clone(), kind: row.kind.clone() }
    }
}

impl fmt::Display for LimitKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.workspace, self.kind)
    }
}

/// Limits of a workspace for a kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Requests and tokens per second.
    pub rate: Amount,
    /// Maximum number of requests in flight.
    pub in_flight: u32,
}

impl Limits {
    /// Returns the limits of a configuration row.
    pub fn of(row: &Row) -> Limits {
        let rate = Amount::new(row.requests_per_s, row.tokens_per_s);
        Limits { rate, in_flight: row.in_flight }
    }
}

/// Grant request from an entry to a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantAsk {
    /// The limit.
    pub key: LimitKey,
    /// Number of the grant request; increases with each one of this entry on this key.
    pub number: u64,
    /// Amount that the entry expects to spend soon, beyond its balance.
    pub want: Amount,
    /// Granted amount that it won't spend and returns.
    pub back: Amount,
    /// Amount spent beyond its grants.
    pub debt: Amount,
    /// Amount spent recently that this keeper did not grant: under another keeper, or without one.
    pub carried: Amount,
    /// Number of its requests in flight.
    pub in_use: u32,
    /// Number of requests it wants in flight. Until the answer it starts no more than this, and no
    /// more than it was last granted.
    pub slots: u32,
}

/// Answer of a keeper to a grant request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The limit.
    pub key: LimitKey,
    /// Number of the grant request.
    pub number: u64,
    /// Amount that the entry may spend.
    pub granted: Amount,
    /// Number of requests it may have in flight.
    pub slots: u32,
    /// Time until more is available; zero if it got all that it wanted.
    pub more_after: Duration,
}
