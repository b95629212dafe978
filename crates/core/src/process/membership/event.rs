//! Changes of membership, for logs and dumps.

use std::fmt;
use std::net::SocketAddr;

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// An instance became known.
    Joined,
    /// An instance takes no new work.
    Leaving,
    /// An instance did not answer.
    Suspected,
    /// A suspected instance refuted the suspicion.
    Refuted,
    /// An instance ended or is unreachable.
    Gone,
    /// An instance that was marked as gone is present again.
    Returned,
    /// Another process listens at an instance's address.
    Superseded,
    /// An instance was removed from the table.
    Forgotten,
    /// A place has been silent for too long.
    PlaceCutOff,
    /// A silent place is reachable again.
    PlaceBack,
    /// Others had marked this process as suspected or gone.
    RefutedSelf,
    /// This process was paused.
    Paused,
    /// The platform's list marks an instance as leaving.
    ListedLeaving,
    /// The table has no capacity for another instance.
    TableFull,
}

impl Change {
    /// Returns the name in logs and dumps.
    pub fn name(self) -> &'static str {
        match self {
            Change::Joined => "instance joined",
            Change::Leaving => "instance leaving",
            Change::Suspected => "instance suspected",
            Change::Refuted => "suspicion refuted",
            Change::Gone => "instance gone",
            Change::Returned => "instance returned",
            Change::Superseded => "instance restarted",
            Change::Forgotten => "instance forgotten",
            Change::PlaceCutOff => "place cut off",
            Change::PlaceBack => "place back",
            Change::RefutedSelf => "own suspicion refuted",
            Change::Paused => "own pause",
            Change::ListedLeaving => "instance listed as leaving",
            Change::TableFull => "member table full",
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A change of state with its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// What changed.
    pub change: Change,
    /// The address of the instance, if the change concerns one.
    pub peer: Option<SocketAddr>,
    /// The step of the protocol that caused it.
    pub step: &'static str,
    /// The reason, as a sentence for people.
    pub cause: String,
}
