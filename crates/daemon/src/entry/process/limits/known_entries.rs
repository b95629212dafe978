//! The entries among which limits are shared, and which of them keeps one.

use sorrellock_core::id::Incarnation;
use sorrellock_core::process::grants::{KeeperView, LimitKey};
use sorrellock_core::process::membership::{Member, MembershipView, Standing, rendezvous};
use sorrellock_core::process::{DaemonRole, Liveness};
use sorrellock_core::request::Peer;
use std::fmt;

/// The entries among which limits are shared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownEntries {
    /// Live and not suspected, this one included. A suspicion is known in a second, that an entry
    /// is gone only after some; to name another keeper too soon costs little.
    trusted: Vec<Peer>,
    /// Suspected or gone without a word.
    lost: usize,
}

impl KnownEntries {
    /// Nobody else is known.
    pub fn only(me: Peer) -> KnownEntries {
        KnownEntries { trusted: vec![me], lost: 0 }
    }

    /// As membership knows them.
    pub fn of(view: &MembershipView) -> KnownEntries {
        let entries = view.members().filter(|member| member.fact.role == DaemonRole::Entry);
        let entries: Vec<&Member> = entries.filter(|member| was_live(member)).collect();
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

    /// Who keeps a limit: nobody where this entry lost sight of most others, as it may be this one
    /// that is cut off; it then goes on with its last share.
    pub fn keeping(&self, key: &LimitKey) -> KeeperView {
        let entries = self.trusted.len() + self.lost;
        if self.is_cut_off() {
            return KeeperView { keeper: None, entries };
        }
        let trusted = self.trusted.iter().map(|entry| entry.incarnation);
        KeeperView { keeper: rendezvous(key.to_string().as_bytes(), trusted), entries }
    }

    /// The entry of an incarnation.
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

/// Whether it was live by its own last word, whatever others hold of it.
fn was_live(member: &Member) -> bool {
    member.fact.liveness == Liveness::Live
}
