//! The configuration of one daemon: the version in force, and its updates from the store and from peers.

use crate::clock::Clock;
use crate::id::Revision;
use crate::process::membership::rendezvous_several;
use crate::process::store_watch::Rank;
use crate::request::Peer;
use crate::version::{
    Claim, Claims, ConfigEvent, ConfigMessage, ConfigPeers, ConfigView, Effect, Fetches, PageCopy,
    PageError, PageId, PageListing, Readiness, Source, SpreadSettings, StoreCall, StoreReader,
    TroubleList, Troubles,
};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

/// Maximum number of pages in a pushed update. A claim with more pages isn't pushed; a starting daemon gets such an
/// update by its own queries.
const MAX_PUSH: usize = 64;
/// Rendezvous key by which the watchers of a data centre are chosen.
const WATCH_KEY: &[u8] = b"config-watch";

/// The configuration of one daemon, as a state machine without I/O.
pub struct Spread<C> {
    pub(super) settings: SpreadSettings,
    pub(super) clock: C,
    pub(super) me: Peer,
    pub(super) view: ConfigView,
    /// The revision of the store up to which everything is in force.
    pub(super) applied: Revision,
    /// The value of `applied` after the last claim that contained pages.
    announced: Revision,
    pub(super) claims: Claims,
    pub(super) fetches: Fetches,
    pub(super) troubles: TroubleList,
    pub(super) readiness: Readiness,
    reader: StoreReader,
    rng: SmallRng,
    place_peers: Vec<Peer>,
    remote_peers: Vec<Peer>,
    /// Rank among the watchers of its data centre; `None` if this daemon isn't a watcher.
    watch_rank: Option<Rank>,
    next_round: Instant,
    pub(super) effects: Vec<Effect>,
}

impl<C: Clock> Spread<C> {
    /// Creates the state of a starting daemon, without any configuration.
    pub fn new(settings: SpreadSettings, clock: C, me: Peer, seed: u64) -> Spread<C> {
        let now = clock.now();
        Spread {
            reader: StoreReader::new(now, &settings),
            readiness: Readiness::new(now),
            settings,
            clock,
            me,
            view: ConfigView::new(),
            applied: 0,
            announced: 0,
            claims: Claims::default(),
            fetches: Fetches::default(),
            troubles: TroubleList::default(),
            rng: SmallRng::seed_from_u64(seed),
            place_peers: Vec::new(),
            remote_peers: Vec::new(),
            watch_rank: None,
            next_round: now,
            effects: Vec::new(),
        }
    }

    /// Returns the configuration in force.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// Returns the revision of the store up to which everything is in force. It never decreases.
    pub fn applied(&self) -> Revision {
        self.applied
    }

    /// Returns the value of [`applied`](Self::applied) that is announced to the other members. It changes only with
    /// pages, so that changes of other objects in the store don't cause announcements from every member.
    pub fn announced(&self) -> Revision {
        self.announced
    }

    /// Whether everything that the store and the peers had when this daemon started is in force.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Whether this daemon watches the store for its data centre.
    pub fn is_watching(&self) -> bool {
        self.watch_rank.is_some()
    }

    /// Returns the pages whose content in the store isn't in force.
    pub fn troubles(&self) -> Troubles {
        self.troubles.snapshot()
    }

    /// Returns the number of open claims: updates that are known but not completely applied.
    pub fn open_claims(&self) -> usize {
        self.claims.len()
    }

    /// Takes the effects that accumulated since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Updates the live peers; must be called whenever they change.
    pub fn update_peers(&mut self, peers: &impl ConfigPeers) {
        self.place_peers = peers.of_place();
        self.remote_peers = peers.of_other_places();
        self.choose_watchers();
    }

    /// Does the periodic work; must be called every few hundredths of a second.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.check_ready();
        if now >= self.next_round {
            self.round(now);
        }
        self.request_pages();
    }

    /// Returns the next call to the store, or the time at which to call this again. Only one call may be in progress at
    /// a time.
    pub fn next_store_call(&mut self) -> Result<StoreCall, Instant> {
        let now = self.clock.now();
        if !self.reads_store(now) {
            return Err(now + self.settings.start_round);
        }
        let needs: Vec<PageId> = match self.claims.of_store() {
            Some(claim) => claim.needs.keys().copied().collect(),
            None => Vec::new(),
        };
        let rank = self.watch_rank.unwrap_or_default();
        self.reader.next(&self.settings, now, rank, self.applied, &needs)
    }

    /// Returns the time limit for the answer to the next call to the store, in addition to the wait of a watch. If the
    /// store takes longer, or the connection is silent, the call has failed and is retried.
    pub fn store_call_limit(&self) -> Duration {
        self.reader.answer_timeout()
    }

    /// Handles the answer to a list.
    pub fn on_list(&mut self, listing: PageListing) {
        if self.is_old_copy(listing.revision) {
            return;
        }
        self.reader.on_list_answered();
        self.reader.answered();
        let shown = |page| listing.pages.iter().any(|(other, _)| *other == page);
        let unlisted: Vec<_> =
            self.view.revisions().map(|(page, _)| page).filter(|page| !shown(*page)).collect();
        unlisted.into_iter().for_each(|page| self.on_deleted(page, listing.revision));
        self.on_listing(0, listing);
    }

    /// Handles the answer to a watch.
    pub fn on_watch(&mut self, after: Revision, listing: PageListing) {
        if !self.is_old_copy(listing.revision) {
            self.reader.answered();
            self.on_listing(after, listing);
        }
    }

    /// Handles the answer to the read of a page: its version and value, or `None` if the page doesn't exist.
    pub fn on_object(&mut self, page: PageId, object: Option<(Revision, Vec<u8>)>) {
        let needed = self.claims.of_store().and_then(|claim| claim.needs.get(&page).copied());
        let needed = needed.unwrap_or_default();
        let shown = object.as_ref().map_or(0, |(revision, _)| *revision);
        if shown < needed {
            // The page was deleted since, which the next list shows, or the store answered from a stale copy.
            self.report(ConfigEvent::OldCopy { shown, known: needed });
            self.reader.require_list();
            return self.on_store_failure(None);
        }
        self.reader.answered();
        self.reader.succeeded();
        let Some((revision, value)) = object else { return };
        let result = self.view.apply_value(page, revision, &value);
        self.on_applied(Source::Store, page, revision, result);
        self.advance();
    }

    /// Handles a failed call. The next one is delayed by a backoff, or by `retry_after` if that is longer, at most by
    /// `max_retry`.
    pub fn on_store_failure(&mut self, retry_after: Option<Duration>) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.reader.failed(&self.settings, self.clock.now(), retry_after, jitter);
    }

    /// Handles a watch that the store refused because it no longer has the changes since that revision.
    pub fn on_watch_refused(&mut self) {
        self.reader.require_list();
        self.on_store_failure(None);
    }

    fn reads_store(&self, now: Instant) -> bool {
        if !self.settings.has_store {
            return false;
        }
        // Discovered peers may have no configuration either, so after this wait the daemon reads the store itself.
        let waited = now.duration_since(self.readiness.since());
        self.is_watching() || (!self.readiness.is_loaded() && waited >= self.settings.peer_wait)
    }

    fn is_old_copy(&mut self, shown: Revision) -> bool {
        if shown >= self.applied {
            return false;
        }
        self.report(ConfigEvent::OldCopy { shown, known: self.applied });
        self.on_store_failure(None);
        true
    }

    fn on_listing(&mut self, since: Revision, listing: PageListing) {
        let (source, upto) = (Source::Store, listing.revision);
        let deleted = listing.pages.iter().filter(|(_, version)| *version == 0);
        let deleted: Vec<PageId> = deleted.map(|(page, _)| *page).collect();
        deleted.into_iter().for_each(|page| self.on_deleted(page, upto));
        let pages = listing.pages.into_iter().filter(|(_, version)| *version > 0).collect();
        self.claim(source, since, upto, pages);
        if upto == 0 {
            self.readiness.mark_loaded();
        }
        if self.claims.of_store().is_none() {
            self.reader.succeeded();
        }
    }

    /// Adds a claim that `pages` lead from revision `since` to `upto`.
    pub(super) fn claim(
        &mut self,
        source: Source,
        since: Revision,
        upto: Revision,
        pages: Vec<(PageId, Revision)>,
    ) {
        let missing = |(page, revision): &&(PageId, Revision)| {
            self.view.revision(*page) < *revision
                && !self.troubles.is_refused(source, *page, *revision)
        };
        let needs = pages.iter().filter(missing).copied().collect();
        self.claims.add(Claim { source, since, upto, pages, needs, requests: 0 });
        self.advance();
    }

    /// Handles a page that was deleted in the store at revision `shown`.
    fn on_deleted(&mut self, page: PageId, shown: Revision) {
        self.claims.settle_from(Source::Store, page, shown);
        let in_force = self.view.revision(page);
        if in_force > 0 && in_force <= shown && self.troubles.delete(page) {
            self.report(ConfigEvent::Deleted { page });
        }
    }

    /// Applies a page that a peer sent.
    pub(super) fn take_copy(&mut self, from: Peer, copy: PageCopy) {
        let (page, revision) = (copy.page, copy.revision);
        let result = self.view.apply_copy(copy);
        self.on_applied(Source::Peer(from), page, revision, result);
    }

    fn on_applied(
        &mut self,
        source: Source,
        page: PageId,
        revision: Revision,
        result: Result<(), PageError>,
    ) {
        match result {
            Ok(()) => {
                self.troubles.clear(page, revision);
                self.report(ConfigEvent::Applied { page, revision, source });
                self.claims.settle(page, revision);
            }
            Err(PageError::NotNewer { in_force }) => self.claims.settle(page, in_force),
            Err(PageError::Malformed { detail }) => {
                if !self.troubles.is_refused(source, page, revision) {
                    self.troubles.refuse(source, page, revision);
                    self.report(ConfigEvent::Refused { page, revision, source, detail });
                }
                self.claims.settle_from(source, page, revision);
            }
        }
    }

    /// Advances `applied` over all fulfilled claims without a gap.
    pub(super) fn advance(&mut self) {
        while let Some(claim) = self.claims.take_fulfilled(self.applied) {
            self.applied = claim.upto;
            self.readiness.mark_loaded();
            if !claim.pages.is_empty() {
                self.announced = claim.upto;
            }
            self.push(&claim);
        }
        self.check_ready();
    }

    /// Pushes the pages of a fulfilled claim to a few peers.
    fn push(&mut self, claim: &Claim) {
        let refused = self.troubles.refused();
        let in_force = |(page, _): &(PageId, Revision)| (*page, self.view.revision(*page));
        let pages: Vec<_> =
            claim.pages.iter().map(in_force).filter(|(_, revision)| *revision > 0).collect();
        if pages.len() > MAX_PUSH || claim.pages.is_empty() {
            return;
        }
        let (since, upto) = (claim.since, claim.upto);
        for to in self.push_targets(claim.source) {
            let (pages, refused) = (pages.clone(), refused.clone());
            self.send(to, ConfigMessage::Digest { since, upto, pages, refused });
        }
    }

    /// Returns the next member of the data centre in order of incarnation, and random others. As each member sends to
    /// its successor, no member that is known to be live is left out by chance.
    fn push_targets(&mut self, source: Source) -> Vec<Peer> {
        let after = |peer: &&Peer| peer.incarnation > self.me.incarnation;
        let by_incarnation = |peer: &&Peer| peer.incarnation;
        let next = self.place_peers.iter().filter(after).min_by_key(by_incarnation);
        let next = next.or(self.place_peers.iter().min_by_key(by_incarnation)).copied();
        let is_other = |peer: &&Peer| Some(**peer) != next && source != Source::Peer(**peer);
        let others: Vec<Peer> = self.place_peers.iter().filter(is_other).copied().collect();
        let count = self.settings.fanout.saturating_sub(1);
        let next = next.filter(|peer| source != Source::Peer(*peer));
        next.into_iter().chain(others.sample(&mut self.rng, count).copied()).collect()
    }

    /// Compares revisions with a random peer of the data centre; a watcher also does with one of another data centre.
    /// Until the daemon is ready, it does with more peers.
    fn round(&mut self, now: Instant) {
        let starting = !self.is_ready();
        let every = if starting { self.settings.start_round } else { self.settings.round };
        self.next_round = now + every.mul_f64(self.rng.random_range(0.8..1.2));
        let count = if starting { 2 } else { 1 };
        let mut chosen: Vec<Peer> =
            self.place_peers.sample(&mut self.rng, count).copied().collect();
        if self.is_watching() || chosen.is_empty() || starting {
            chosen.extend(self.remote_peers.choose(&mut self.rng).copied());
        }
        for to in chosen {
            self.send(to, ConfigMessage::Summary { applied: self.applied, wants_reply: starting });
        }
    }

    fn choose_watchers(&mut self) {
        let place = self.place_peers.iter().map(|peer| peer.incarnation);
        let candidates = place.chain([self.me.incarnation]);
        let chosen = rendezvous_several(WATCH_KEY, candidates, self.settings.watchers);
        let rank = chosen.iter().position(|watcher| *watcher == self.me.incarnation);
        let watch_rank = rank.filter(|_| self.settings.has_store).map(|rank| rank as Rank);
        if watch_rank.is_some() != self.is_watching() {
            self.report(ConfigEvent::Watching(watch_rank.is_some()));
        }
        self.watch_rank = watch_rank;
    }

    fn check_ready(&mut self) {
        let now = self.clock.now();
        let peers = self.place_peers.len() + self.remote_peers.len();
        if self.readiness.becomes_ready(&self.settings, now, peers, self.applied) {
            self.report(ConfigEvent::Ready { applied: self.applied });
        }
    }

    pub(super) fn send(&mut self, to: Peer, message: ConfigMessage) {
        self.effects.push(Effect::Send { to, message });
    }

    pub(super) fn report(&mut self, event: ConfigEvent) {
        self.effects.push(Effect::Report(event));
    }
}
