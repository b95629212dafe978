//! The entries among which limits are shared, and the choice of each limit's keeper.

use sorrellock_core::id::Incarnation;
use sorrellock_core::process::grants::{KeeperView, LimitKey};
use sorrellock_core::process::membership::{Member, MembershipView, Standing, rendezvous};
use sorrellock_core::process::{DaemonRole, Liveness};
use sorrellock_core::request::Peer;
use std::fmt;

/// The entries among which limits are shared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownEntries {
    /// Live and not suspected entries, this one included. A suspicion is known within a second, the confirmation that
    /// an entry is gone takes several; choosing another keeper too early costs little.
    trusted: Vec<Peer>,
    /// Number of entries that are suspected or gone without having announced it.
    lost: usize,
}

impl KnownEntries {
    /// Creates the state in which only this entry is known.
    pub fn only(me: Peer) -> KnownEntries {
        KnownEntries { trusted: vec![me], lost: 0 }
    }

    /// Derives the entries from the membership view.
    pub fn of(view: &MembershipView) -> KnownEntries {
        let entries = view.members().filter(|member| member.fact.role == DaemonRole::Entry);
        let entries: Vec<&Member> = entries.filter(|member| last_reported_live(member)).collect();
        let is_trusted = |member: &&Member| member.standing == Standing::Trusted;
        let trusted = entries.iter().copied().filter(is_trusted);
        let mut trusted: Vec<Peer> = trusted.map(|member| member.fact.peer).collect();
        if trusted.iter().all(|entry| *entry != view.me) {
            trusted.push(view.me);
        }
        trusted.sort_by_key(|entry| entry.incarnation);
        let replaced =
            |member: &&Member| trusted.iter().any(|entry| entry.addr == member.fact.peer.addr);
        let lost = entries.iter().filter(|member| !is_trusted(member) && !replaced(member));
        let lost = lost.count();
        KnownEntries { trusted, lost }
    }

    /// Returns the keeper of a limit. There is none while more entries are lost than trusted, as this entry may
    /// itself be the one that is cut off; it then continues with its last share.
    pub fn find_keeper(&self, key: &LimitKey) -> KeeperView {
        let entries = self.trusted.len() + self.lost;
        if self.is_cut_off() {
            return KeeperView { keeper: None, entries };
        }
        let trusted = self.trusted.iter().map(|entry| entry.incarnation);
        KeeperView { keeper: rendezvous(key.to_string().as_bytes(), trusted), entries }
    }

    /// Returns the trusted entry with an incarnation.
    pub fn find(&self, incarnation: Option<Incarnation>) -> Option<Peer> {
        self.trusted.iter().find(|entry| Some(entry.incarnation) == incarnation).copied()
    }

    fn is_cut_off(&self) -> bool {
        self.trusted.len() < self.lost
    }
}

impl fmt::Display for KnownEntries {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} live, {} lost", self.trusted.len(), self.lost)?;
        if self.is_cut_off() { write!(f, ", perhaps cut off") } else { Ok(()) }
    }
}

/// Returns whether the member last reported itself as live, whatever other members conclude about it.
fn last_reported_live(member: &Member) -> bool {
    member.fact.liveness == Liveness::Live
}
