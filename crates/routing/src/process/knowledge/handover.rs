//! What one gateway tells another of the configuration and the endpoints on request.

use super::{EntryState, Knowledge, KnownEndpoint, RefusedEntry};
use crate::process::{ChangeCount, EndpointId, Incarnation, Revision};
use crate::version::{ConfigVersion, Configuration};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// What one gateway hands to another that can't reach the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct Handover {
    /// The configuration, if it is newer than the other's.
    pub configuration: Option<Configuration>,
    /// Those that changed since the revision up to which the other knows them.
    pub endpoints: Vec<KnownEndpoint>,
    /// All that the list holds.
    pub listed: Vec<EndpointId>,
    /// Those of them whose entry is missing, and for how long.
    pub missing: Vec<(EndpointId, Duration)>,
    /// Entries that can't be used, of those that changed.
    #[serde(default)]
    pub refused: Vec<RefusalTold>,
    /// The store's revision up to which the endpoints are known.
    pub endpoints_at: Revision,
    /// What the store wrote in this era up to here may be the copy's that the era began with.
    pub era_floor: ChangeCount,
    /// Endpoints that had left before this era.
    pub left: Vec<Incarnation>,
}

/// An entry that can't be used, as one gateway hands it to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct RefusalTold {
    /// Whose entry it is.
    pub id: EndpointId,
    /// The entry, and what is wrong with it.
    pub entry: RefusedEntry,
    /// For how long it has been so, where its endpoint is known.
    pub lasts: Duration,
}

impl Knowledge {
    /// Whether the entry of `revision`, or a newer one, is known to be missing: another gateway that
    /// still has it has not read that far.
    pub fn is_missing_at(&self, id: &str, revision: Revision) -> bool {
        self.is_missing(id) && self.endpoints[id].revision >= revision
    }

    /// Another gateway has missed an entry for `missing_for`, if that is longer than this one has.
    pub fn hear_missing(&mut self, id: &str, missing_for: Duration, now: Instant) -> bool {
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

    /// Entries that can't be used, of those that changed after a revision. One of a known endpoint is
    /// told also when it is gone from the list: what it left behind is not to be used either.
    fn refused_after(&self, known_at: Revision, now: Instant) -> Vec<RefusalTold> {
        let of_known = self.endpoints.iter().filter_map(|(id, known)| {
            let EntryState::UnusableSince(since, fault) = &known.entry else { return None };
            let new = || RefusedEntry::new(known.revision, fault.clone());
            let entry = self.refused.get(id).cloned().unwrap_or_else(new);
            Some(RefusalTold { id: id.clone(), entry, lasts: now - *since })
        });
        let others = self.refused.iter().filter(|(id, _)| !self.endpoints.contains_key(*id));
        let others = others.map(|(id, entry)| RefusalTold {
            id: id.clone(),
            entry: entry.clone(),
            lasts: Duration::ZERO,
        });
        of_known.chain(others).filter(|told| told.entry.revision > known_at).collect()
    }

    /// What another gateway is handed that has configuration `known` and knows the endpoints up to
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
            endpoints: changed.map(|known| self.as_listed(known)).collect(),
            listed: self.endpoints.keys().cloned().collect(),
            missing: self.endpoints.values().filter_map(missing_for).collect(),
            refused: self.refused_after(known_at, now),
            endpoints_at: self.endpoints_at,
            era_floor: self.era_floor,
            left: self.left.incarnations().collect(),
        }
    }
}
