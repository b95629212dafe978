//! Messages of membership.

use serde::{Deserialize, Serialize};
use sorrellock_core::process::InstanceFact;

/// Messages of membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetMessage {
    /// Asks for the receiver's own fact.
    Hello,
    /// Facts that the sender knows.
    Facts(Vec<InstanceFact>),
}
