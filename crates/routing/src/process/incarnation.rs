//! Identifies the incarnations of one endpoint.

use crate::process::EndpointId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// When an endpoint started, by its own clock: Unix time in milliseconds. Clocks step, so a later start may have
/// an earlier time: compare for equality only.
pub type StartMillis = u64;

/// One incarnation of an endpoint, from a start to its end. A restart keeps the id and loses all state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The endpoint.
    pub id: EndpointId,
    /// When it started; none if the platform doesn't report it, where each start has an id of its own.
    pub started: Option<StartMillis>,
}

impl Incarnation {
    /// Creates the incarnation of `id` that began at `started`.
    pub fn new(id: impl Into<EndpointId>, started: Option<StartMillis>) -> Incarnation {
        Incarnation { id: id.into(), started }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.started {
            Some(started) => write!(f, "{}@{started}", self.id),
            None => f.write_str(&self.id),
        }
    }
}
