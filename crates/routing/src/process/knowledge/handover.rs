//! The configuration and endpoints that one gateway sends another on request.

use super::{EntryState, Knowledge, KnownEndpoint, RefusedEntry};
use crate::process::relays::StoreAges;
use crate::process::{ChangeCount, EndpointId, Incarnation, Revision};
use crate::version::{
    ChangeError, ConfigVersion, Configuration, ConfigurationChange, ConfigurationMark,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// What a gateway sends to another one that can't reach the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct Handover {
    /// The configuration, if it is newer than the receiver's and not sent as changes.
    pub configuration: Option<Configuration>,
    /// The changes that lead from the receiver's configuration to a newer one.
    #[serde(default)]
    pub changes: Vec<ConfigurationChange>,
    /// The endpoints that changed after the revision that the receiver has read up to.
    pub endpoints: Vec<KnownEndpoint>,
    /// Ids of all known endpoints; none if the receiver has read as far as the sender, or with `ids_digest`.
    pub listed: Vec<EndpointId>,
    /// Digest of the ids of all known endpoints, in place of these.
    #[serde(default)]
    pub ids_digest: Option<u64>,
    /// The endpoints whose entry is missing, and for how long.
    pub missing: Vec<(EndpointId, Duration)>,
    /// The changed entries that can't be used.
    #[serde(default)]
    pub refused: Vec<RefusalReport>,
    /// The store revision up to which the endpoints are known.
    pub endpoints_at: Revision,
    /// Changes up to this count may stem from the copy that the era began with.
    pub era_floor: ChangeCount,
    /// The endpoints that left before this era.
    pub left: Vec<Incarnation>,
    /// Ages of the sender's data; builds without them don't send any.
    #[serde(default)]
    pub ages: StoreAges,
}

/// Why a handover of changes can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverError {
    /// The changes of the configuration.
    Configuration(ChangeError),
    /// The sender has other endpoints than the receiver would have, as after a removal.
    OtherEndpoints,
}

impl From<ChangeError> for HandoverError {
    fn from(err: ChangeError) -> HandoverError {
        HandoverError::Configuration(err)
    }
}

/// An entry that can't be used, as one gateway reports it to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct RefusalReport {
    /// The endpoint that the entry belongs to.
    pub id: EndpointId,
    /// The entry and its fault.
    pub entry: RefusedEntry,
    /// How long the entry has been unusable; zero if the endpoint is not known.
    pub lasts: Duration,
}

impl Knowledge {
    /// Returns whether the entry of `revision`, or a newer one, is known to be missing. A gateway that
    /// still has the entry has read the store less far.
    pub fn is_missing_at(&self, id: &str, revision: Revision) -> bool {
        self.is_missing(id) && self.endpoints[id].revision >= revision
    }

    /// Takes over from another gateway that an entry has been missing for `missing_for`, if that is longer
    /// than known here. Returns whether the entry was listed until now.
    pub fn receive_missing(&mut self, id: &str, missing_for: Duration, now: Instant) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else { return false };
        let since = now.checked_sub(missing_for).unwrap_or(now);
        match &mut known.entry {
            EntryState::UnusableSince(..) => false,
            EntryState::MissingSince(own) => {
                *own = since.min(*own);
                false
            }
            EntryState::Listed => {
                known.entry = EntryState::MissingSince(since);
                true
            }
        }
    }

    /// Returns the unusable entries that changed after a revision. That of a known endpoint is included
    /// even if it is gone from the list, as the receiver must not use the endpoint's earlier entry either.
    fn refused_after(&self, known_at: Revision, now: Instant) -> Vec<RefusalReport> {
        let of_known = self.endpoints.iter().filter_map(|(id, known)| {
            let EntryState::UnusableSince(since, fault) = &known.entry else { return None };
            let new = || RefusedEntry::new(known.revision, fault.clone());
            let entry = self.refused.get(id).cloned().unwrap_or_else(new);
            Some(RefusalReport { id: id.clone(), entry, lasts: now - *since })
        });
        let others = self.refused.iter().filter(|(id, _)| !self.endpoints.contains_key(*id));
        let others = others.map(|(id, entry)| RefusalReport {
            id: id.clone(),
            entry: entry.clone(),
            lasts: Duration::ZERO,
        });
        of_known.chain(others).filter(|refusal| refusal.entry.revision > known_at).collect()
    }

    /// Returns the ids of all endpoints for a gateway that has read them up to revision `known_at`. One that has read as far applies
    /// none of them.
    fn ids_for(&self, known_at: Revision) -> Vec<EndpointId> {
        if known_at >= self.endpoints_at {
            return Vec::new();
        }
        self.endpoints.keys().cloned().collect()
    }

    /// Returns what to send to a gateway that has configuration `known` and has read the endpoints up to
    /// revision `known_at`.
    pub fn handover(&self, known: ConfigVersion, known_at: Revision, now: Instant) -> Handover {
        let usable = self.endpoints.values().filter(|known| !known.entry.is_unusable());
        let changed = usable.filter(|endpoint| endpoint.revision > known_at);
        let missing_for = |known: &KnownEndpoint| match known.entry {
            EntryState::MissingSince(since) => Some((known.endpoint.id.clone(), now - since)),
            EntryState::Listed | EntryState::UnusableSince(..) => None,
        };
        let newer = self.routes.as_ref().filter(|routes| routes.version() > known);
        Handover {
            configuration: newer.map(|routes| Configuration::clone(routes.cfg())),
            changes: Vec::new(),
            endpoints: changed.map(|known| self.as_listed(known)).collect(),
            listed: self.ids_for(known_at),
            ids_digest: None,
            missing: self.endpoints.values().filter_map(missing_for).collect(),
            refused: self.refused_after(known_at, now),
            endpoints_at: self.endpoints_at,
            era_floor: self.era_floor,
            left: self.left.incarnations().collect(),
            ages: StoreAges::default(),
        }
    }

    /// Returns the same for a gateway that understands changes and has the configuration `mark`: the configuration as changes to it,
    /// where these are known, and a digest in place of the ids of all endpoints.
    pub fn handover_of_changes(
        &self,
        mark: ConfigurationMark,
        known_at: Revision,
        now: Instant,
    ) -> Handover {
        let changes = self.changes.since(mark);
        let has = if changes.is_some() { self.config_version() } else { mark.version };
        let whole = self.handover(has, known_at, now);
        let is_behind = known_at < self.endpoints_at;
        Handover {
            changes: changes.unwrap_or_default(),
            ids_digest: is_behind.then(|| digest(self.endpoints.keys())),
            listed: Vec::new(),
            ..whole
        }
    }

    /// Replaces changes by the configuration that they lead to from the one in force, and the digest of ids by these. Fails if one of
    /// them doesn't fit what is known here; then a whole handover is needed.
    pub fn resolve(&self, mut handover: Handover) -> Result<Handover, HandoverError> {
        if let Some(last) = handover.changes.last() {
            // The store may have delivered it in the meantime.
            let newer = self.routes.as_ref().filter(|own| last.after().version > own.version());
            let cfg = newer.map(|own| own.cfg().with_changes(own.mark(), &handover.changes));
            handover.configuration = cfg.transpose()?;
            handover.changes.clear();
        }
        let is_behind = handover.endpoints_at > self.endpoints_at;
        if let Some(expected) = handover.ids_digest.take().filter(|_| is_behind) {
            handover.listed = self.ids_with(&handover.endpoints, expected)?;
        }
        Ok(handover)
    }

    /// Returns the ids of the known endpoints and of new ones, if they have this digest.
    fn ids_with(
        &self,
        new: &[KnownEndpoint],
        expected: u64,
    ) -> Result<Vec<EndpointId>, HandoverError> {
        let new = new.iter().map(|known| &known.endpoint.id);
        let ids: BTreeSet<&EndpointId> = self.endpoints.keys().chain(new).collect();
        match digest(ids.iter().copied()) == expected {
            true => Ok(ids.into_iter().cloned().collect()),
            false => Err(HandoverError::OtherEndpoints),
        }
    }
}

/// Returns a digest of a set of ids, whatever their order.
fn digest<'a>(ids: impl Iterator<Item = &'a EndpointId>) -> u64 {
    ids.map(|id| xxh3_64(id.as_bytes())).fold(0, u64::wrapping_add)
}
