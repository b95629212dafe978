//! Changes of state that a person may want to read of.

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
    /// A suspected instance answered after all.
    Refuted,
    /// An instance is no more.
    Gone,
    /// An instance that had counted as gone is back.
    Returned,
    /// Another process listens at an instance's address.
    Superseded,
    /// An instance is remembered no longer.
    Forgotten,
    /// Nothing has come from a place for a while.
    PlaceCutOff,
    /// Something came from a place again.
    PlaceBack,
    /// Others had held this process for suspected or gone.
    RefutedSelf,
    /// This process stood still for a while.
    Paused,
    /// The platform's list says that an instance is leaving.
    ListedLeaving,
    /// No room was left to remember an instance.
    TableFull,
}

impl Change {
    /// The name in logs and dumps.
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

/// A change of state, with the step at which it arose and its cause.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// What changed.
    pub change: Change,
    /// The instance, if it is about one.
    pub peer: Option<SocketAddr>,
    /// The step at which it arose.
    pub step: &'static str,
    /// Why, in a plain sentence.
    pub cause: String,
}
