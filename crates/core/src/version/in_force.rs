//! Counts the members of the fleet that have a change in force.

use crate::id::Revision;
use crate::process::membership::Member;
use crate::request::Peer;

/// How many members have all configuration up to some revision in force.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    /// Number of present members that have it in force.
    pub at: usize,
    /// Number of all present members, including those that are leaving, as they still serve requests.
    pub of: usize,
    /// Present members that don't have it in force, or haven't announced it yet.
    pub missing: Vec<Peer>,
}

impl InForce {
    /// Counts the members that announced that all configuration up to `revision` is in force.
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

    /// Whether all present members have it in force; `false` if no member is known.
    pub fn is_everywhere(&self) -> bool {
        self.of > 0 && self.at == self.of
    }
}
