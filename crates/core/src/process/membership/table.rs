//! Table of the known members, merged by rank.

use crate::id::Incarnation;
use crate::process::membership::{DIGEST_BUCKETS, Digest, Member, Rumor, Standing};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Result of merging a rumor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Merged {
    /// The rumor is not newer than the known state, or it reports an unknown member as gone.
    Unchanged,
    /// The rumor is a `Brief` of an unknown incarnation or profile: the complete member must be requested.
    NeedsWhole,
    /// The table has no capacity for the member.
    Full,
    /// The member changed; `before` is none for a new member.
    Changed { before: Option<Arc<Member>>, after: Arc<Member> },
}

/// Holds the known members, including this process.
#[derive(Debug)]
pub(super) struct Table {
    members: BTreeMap<Incarnation, Arc<Member>>,
    gone_since: HashMap<Incarnation, Instant>,
    digest: Digest,
    max: usize,
    version: u64,
}

impl Table {
    /// Creates an empty table for at most `max` members.
    pub fn new(max: usize) -> Table {
        Table {
            members: BTreeMap::new(),
            gone_since: HashMap::new(),
            digest: vec![0; DIGEST_BUCKETS],
            max,
            version: 0,
        }
    }

    /// Returns all members.
    pub fn members(&self) -> &BTreeMap<Incarnation, Arc<Member>> {
        &self.members
    }

    /// Returns one member.
    pub fn get(&self, incarnation: Incarnation) -> Option<&Arc<Member>> {
        self.members.get(&incarnation)
    }

    /// Returns a version number that grows with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the hashes of the present members, by bucket.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the members in the buckets in which `other` differs.
    pub fn differing(&self, other: &Digest) -> Vec<&Arc<Member>> {
        let differs = |member: &&Arc<Member>| {
            let bucket = bucket_of(member.incarnation());
            other.get(bucket) != self.digest.get(bucket)
        };
        self.members.values().filter(differs).collect()
    }

    /// Merges a rumor if it is later than the known state.
    pub fn merge(&mut self, rumor: &Rumor, now: Instant) -> Merged {
        let known = self.members.get(&rumor.incarnation());
        if known.is_some_and(|known| rumor.rank() <= known.rank()) {
            return Merged::Unchanged;
        }
        let member = match (rumor, known) {
            (Rumor::Whole(member), _) => member.clone(),
            (Rumor::Brief(brief), Some(known)) => match brief.apply_to(known) {
                Some(member) => member,
                None => return Merged::NeedsWhole,
            },
            (Rumor::Brief(brief), None) if brief.standing == Standing::Gone => {
                return Merged::Unchanged;
            }
            (Rumor::Brief(_), None) => return Merged::NeedsWhole,
        };
        // A tombstone of an unknown member would circulate forever, as each process forgets it at another time.
        if known.is_none() && !member.is_present() {
            return Merged::Unchanged;
        }
        if known.is_none() && !self.make_room() {
            return Merged::Full;
        }
        let before = get_cloned(&self.members, member.incarnation());
        Merged::Changed { before, after: self.put(member, now) }
    }

    /// Inserts or replaces a member.
    pub fn put(&mut self, member: Member, now: Instant) -> Arc<Member> {
        let incarnation = member.incarnation();
        self.forget(incarnation);
        if member.is_present() {
            self.digest[bucket_of(incarnation)] ^= hash_of(&member);
        } else {
            self.gone_since.insert(incarnation, now);
        }
        let member = Arc::new(member);
        self.members.insert(incarnation, member.clone());
        self.version += 1;
        member
    }

    /// Removes a member.
    pub fn forget(&mut self, incarnation: Incarnation) {
        let Some(old) = self.members.remove(&incarnation) else { return };
        if old.is_present() {
            self.digest[bucket_of(incarnation)] ^= hash_of(&old);
        }
        self.gone_since.remove(&incarnation);
        self.version += 1;
    }

    /// Returns the present members at an address.
    pub fn present_at(&self, addr: SocketAddr) -> impl Iterator<Item = &Arc<Member>> {
        let present = self.members.values().filter(|member| member.is_present());
        present.filter(move |member| member.fact.peer.addr == addr)
    }

    /// Returns the members that have been gone for longer than `tombstone`.
    pub fn stale_tombstones(&self, tombstone: Duration, now: Instant) -> Vec<Incarnation> {
        let is_stale = |since: &Instant| now.saturating_duration_since(*since) > tombstone;
        let stale = self.gone_since.iter().filter(|(_, since)| is_stale(since));
        stale.map(|(incarnation, _)| *incarnation).collect()
    }

    /// Removes the oldest tombstone if the table is full; returns false if there is none.
    fn make_room(&mut self) -> bool {
        if self.members.len() < self.max {
            return true;
        }
        let oldest = self.gone_since.iter().min_by_key(|(_, since)| **since);
        let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) else { return false };
        self.forget(oldest);
        true
    }
}

fn get_cloned(
    members: &BTreeMap<Incarnation, Arc<Member>>,
    incarnation: Incarnation,
) -> Option<Arc<Member>> {
    members.get(&incarnation).cloned()
}

fn bucket_of(incarnation: Incarnation) -> usize {
    incarnation as usize % DIGEST_BUCKETS
}

fn hash_of(member: &Member) -> u32 {
    let (counter, standing) = member.rank();
    let mut buf = [0; 9];
    buf[..8].copy_from_slice(&counter.to_le_bytes());
    buf[8] = standing as u8;
    xxh3_64_with_seed(&buf, member.incarnation()) as u32
}
