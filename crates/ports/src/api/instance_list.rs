//! The platform's list of live and leaving instances. It lags: it is a hint.

use serde::{Deserialize, Serialize};
use sorrellock_core::id::Place;
use std::fmt;
use std::net::SocketAddr;

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum InstanceState {
    /// It runs.
    Live,
    /// It is asked to leave.
    Leaving,
}

/// One instance that runs a process of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: String,
    /// Its place.
    pub place: Place,
    /// Where its process listens for links.
    pub link: SocketAddr,
    /// Its state.
    pub state: InstanceState,
}

/// Why the list could not be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListError {
    /// Step and peer.
    pub detail: String,
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the list of instances could not be had: {}", self.detail)
    }
}

impl std::error::Error for ListError {}

/// The platform's list of instances.
pub trait InstanceList: Send + Sync + 'static {
    /// The list as it is shown now, late as it may be.
    fn instances(&self) -> Result<Vec<Instance>, ListError>;
}
