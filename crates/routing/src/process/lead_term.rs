//! Terms of the leading gateway: the store object that names it, and how terms compare.
//!
//! A term is the revision of the write that took the object. Each take changes the object and is conditional on
//! the state that was read: no two takes have the same term, and a later one has a higher term. When the store is
//! restored from an older copy, counts are assigned again; the era in the term preserves both properties.

use crate::process::{Revision, StoreEra};
use serde::{Deserialize, Serialize};

/// The store object that names the lead.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeadRecord {
    /// The gateway that leads.
    pub instance: String,
    /// Incarnation of that gateway.
    pub incarnation: u64,
    /// How often the object was taken, so that a take by the gateway that it already names changes it, too.
    #[serde(default)]
    pub takes: u64,
}

impl LeadRecord {
    /// Returns what a gateway writes to take the object, given the previous record.
    pub fn taken(before: Option<&LeadRecord>, instance: &str, incarnation: u64) -> LeadRecord {
        let takes = before.map_or(0, |before| before.takes) + 1;
        LeadRecord { instance: instance.to_owned(), incarnation, takes }
    }

    /// Returns whether the record names this incarnation of a gateway.
    pub fn names(&self, instance: &str, incarnation: u64) -> bool {
        self.instance == instance && self.incarnation == incarnation
    }
}

/// The term of a gateway that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeadTerm(Revision);

impl LeadTerm {
    /// Creates the term of a take that was written at `revision`.
    pub fn new(revision: Revision) -> LeadTerm {
        LeadTerm(revision)
    }

    /// Returns a term without the store: that of the last known lead, but not of a past era, which no gateway
    /// holds any more.
    pub fn without_store(last_known: Option<Revision>, known: StoreEra) -> LeadTerm {
        LeadTerm(last_known.unwrap_or_default().max(Revision::new(known, 0)))
    }

    /// Returns the revision of the term; a higher one takes precedence.
    pub fn revision(self) -> Revision {
        self.0
    }

    /// Returns whether the object must be taken again before any further order: the store was restored from a
    /// copy, which may lack it or name an earlier lead.
    pub fn must_be_taken_again(self, known: StoreEra) -> bool {
        self.0.era < known
    }

    /// Returns whether a gateway with this term gives way to one that leads with another term.
    pub fn gives_way_to(self, other: Revision) -> bool {
        other > self.0
    }
}
