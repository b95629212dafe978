//! Where a change is in force.

use crate::id::Revision;
use crate::process::membership::Member;
use crate::request::Peer;

/// Where all configuration up to some revision is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// The present members where it is.
    pub at: usize,
    /// All present members, the leaving ones too, as they still serve.
    pub of: usize,
    /// Those where it is not yet, or that have not told so yet.
    pub missing: Vec<Peer>,
}

impl InForce {
    /// Counts the members where all up to `revision` is in force, as they told of themselves.
    pub fn count<'a>(members: impl IntoIterator<Item = &'a Member>, revision: Revision) -> InForce {
        let mut found = InForce::default();
        for member in members.into_iter().filter(|member| member.is_present()) {
            found.of += 1;
            if member.fact.applied >= revision {
                found.at += 1;
            } else {
                found.missing.push(member.fact.peer);
            }
        }
        found
    }

    /// Whether it is in force everywhere; not if no member is known.
    pub fn is_everywhere(&self) -> bool {
        self.of > 0 && self.at == self.of
    }
}
