//! Messages of limits over the whole fleet, between an entry and the keeper of a limit.

use serde::{Deserialize, Serialize};
use sorrellock_core::process::grants::{Grant, GrantAsk};

/// Messages of limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GrantMessage {
    /// From an entry to the keeper.
    Ask(GrantAsk),
    /// Back to the entry.
    Grant(Grant),
}
