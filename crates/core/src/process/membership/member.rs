//! One process as the others know it.

use crate::id::{Incarnation, Place};
use crate::process::{InstanceFact, Liveness};
use serde::{Deserialize, Serialize};

/// What the others hold of an instance's latest word. At the same counter the higher one wins; the
/// instance itself takes it back by a higher counter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Standing {
    /// Nothing speaks against it.
    #[default]
    Trusted,
    /// It did not answer; it has a while to refute that.
    Suspected,
    /// It did not refute the suspicion, or another process listens at its address.
    Gone,
}

/// One process as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its latest word on itself.
    pub fact: InstanceFact,
    /// What the others hold of it.
    pub standing: Standing,
}

impl Member {
    /// A member of whom only its own word is known.
    pub fn new(fact: InstanceFact) -> Member {
        Member { fact, standing: Standing::Trusted }
    }

    /// Its incarnation, by which members are told apart.
    pub fn incarnation(&self) -> Incarnation {
        self.fact.peer.incarnation
    }

    /// Its place.
    pub fn place(&self) -> &Place {
        &self.fact.place
    }

    /// Whether it is a process that runs, as far as is known; it may be leaving.
    pub fn is_present(&self) -> bool {
        self.standing != Standing::Gone && self.fact.liveness != Liveness::Gone
    }

    /// Whether it takes new work, as far as is known.
    pub fn is_live(&self) -> bool {
        self.standing != Standing::Gone && self.fact.liveness == Liveness::Live
    }

    /// What orders two words on one incarnation: the later is higher.
    pub fn rank(&self) -> (u64, Standing) {
        (self.fact.counter, self.standing)
    }
}
