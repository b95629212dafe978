//! A process as known to the others.

use crate::id::{Incarnation, Place};
use crate::process::{InstanceFact, Liveness};
use serde::{Deserialize, Serialize};

/// State that other processes assign to an instance at its latest counter. At the same counter the
/// higher standing wins; the instance itself resets it with a higher counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Standing {
    /// Not suspected.
    #[default]
    Trusted,
    /// It did not answer; it has limited time to refute the suspicion.
    Suspected,
    /// It did not refute the suspicion in time, or another process listens at its address.
    Gone,
}

/// A process as known to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its latest report on itself.
    pub fact: InstanceFact,
    /// The state that the others assign to it.
    pub standing: Standing,
}

impl Member {
    /// Creates a trusted member from its own report.
    pub fn new(fact: InstanceFact) -> Member {
        Member { fact, standing: Standing::Trusted }
    }

    /// Returns its incarnation, which identifies a member.
    pub fn incarnation(&self) -> Incarnation {
        self.fact.peer.incarnation
    }

    /// Returns its place.
    pub fn place(&self) -> &Place {
        &self.fact.place
    }

    /// Returns whether the process is known to run; it may be leaving.
    pub fn is_present(&self) -> bool {
        self.standing != Standing::Gone && self.fact.liveness != Liveness::Gone
    }

    /// Returns whether it is known to take new work.
    pub fn is_live(&self) -> bool {
        self.standing != Standing::Gone && self.fact.liveness == Liveness::Live
    }

    /// Returns the order of reports on one incarnation: the later one is higher.
    pub fn rank(&self) -> (u64, Standing) {
        (self.fact.counter, self.standing)
    }
}
