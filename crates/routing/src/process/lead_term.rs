//! Terms of the gateway that leads: the object in the store that names it, and what a term is worth.
//!
//! A term is the revision of the write that took the object. Each take changes the object, and each is written under the condition that
//! it is as it was read: no two takes have the same term, and a later one has a higher term. Where the store comes back from
//! an older copy, counts are given out again; the era in the term keeps both true.

use crate::process::{Revision, StoreEra};
use serde::{Deserialize, Serialize};

/// The lead's object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeadRecord {
    /// The gateway that leads.
    pub instance: String,
    /// Its lifetime.
    pub incarnation: u64,
    /// How often the object was taken: a take by the gateway that it names changes it, too.
    #[serde(default)]
    pub takes: u64,
}

impl LeadRecord {
    /// What a gateway writes that takes the object from what it held before.
    pub fn taken(before: Option<&LeadRecord>, instance: &str, incarnation: u64) -> LeadRecord {
        let takes = before.map_or(0, |before| before.takes) + 1;
        LeadRecord { instance: instance.to_owned(), incarnation, takes }
    }

    /// Whether it names a gateway, in its lifetime.
    pub fn names(&self, instance: &str, incarnation: u64) -> bool {
        self.instance == instance && self.incarnation == incarnation
    }
}

/// The term of a gateway that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeadTerm(Revision);

impl LeadTerm {
    /// The term of a take that was written at `revision`.
    pub fn new(revision: Revision) -> LeadTerm {
        LeadTerm(revision)
    }

    /// A term without the store: that of the lead that was heard last, but not of a past era, which nobody holds any more.
    pub fn without_store(heard: Option<Revision>, known: StoreEra) -> LeadTerm {
        LeadTerm(heard.unwrap_or_default().max(Revision::new(known, 0)))
    }

    /// Its number; a higher one goes before.
    pub fn revision(self) -> Revision {
        self.0
    }

    /// Whether its object must be taken again before any further order: the store has come back from a copy, which may lack it, or
    /// name a gateway that led before.
    pub fn must_be_taken_again(self, known: StoreEra) -> bool {
        self.0.era < known
    }

    /// Whether a gateway that holds it gives way to one that leads with another term.
    pub fn gives_way_to(self, other: Revision) -> bool {
        other > self.0
    }
}
