//! The configuration of one daemon: what is in force, and how it becomes so.

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

/// Pages that a push names at most; who starts learns of more by its own asking.
const MAX_PUSH: usize = 64;
/// What the watchers of a place are named by.
const WATCH_KEY: &[u8] = b"config-watch";

/// The configuration of one daemon.
pub struct Spread<C> {
    pub(super) settings: SpreadSettings,
    pub(super) clock: C,
    pub(super) me: Peer,
    pub(super) view: ConfigView,
    /// All that was written up to here is in force.
    pub(super) applied: Revision,
    /// `applied` as it was when a page last came with it.
    announced: Revision,
    pub(super) claims: Claims,
    pub(super) fetches: Fetches,
    pub(super) troubles: TroubleList,
    pub(super) readiness: Readiness,
    reader: StoreReader,
    rng: SmallRng,
    place_peers: Vec<Peer>,
    remote_peers: Vec<Peer>,
    /// Its rank among the watchers of its data centre, while it is one.
    watches_as: Option<Rank>,
    next_round: Instant,
    pub(super) effects: Vec<Effect>,
}

impl<C: Clock> Spread<C> {
    /// A daemon that starts without any configuration.
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
            watches_as: None,
            next_round: now,
            effects: Vec::new(),
        }
    }

    /// What is in force.
    pub fn view(&self) -> &ConfigView {
        &self.view
    }

    /// The revision of the store up to which all is in force. It never falls.
    pub fn applied(&self) -> Revision {
        self.applied
    }

    /// What the other members are told of [`applied`](Self::applied): it changes only when pages
    /// do, so that the revisions of other objects don't make every member speak.
    pub fn announced(&self) -> Revision {
        self.announced
    }

    /// Whether all is in force that the store and the peers had when this daemon started.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// Whether this daemon watches the store for its place.
    pub fn is_watching(&self) -> bool {
        self.watches_as.is_some()
    }

    /// Pages that are not in force as the store holds them.
    pub fn troubles(&self) -> Troubles {
        self.troubles.told()
    }

    /// How many claims are open: what it knows of and does not have yet.
    pub fn open_claims(&self) -> usize {
        self.claims.len()
    }

    /// What is to be done since the last call of this.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes in who is live; to be called whenever that changes.
    pub fn update_peers(&mut self, peers: &impl ConfigPeers) {
        self.place_peers = peers.of_place();
        self.remote_peers = peers.of_other_places();
        self.choose_watchers();
    }

    /// To be called every few hundredths of a second.
    pub fn tick(&mut self) {
        let now = self.clock.now();
        self.check_ready();
        if now >= self.next_round {
            self.round(now);
        }
        self.ask();
    }

    /// The next call that the store is to be asked, or when to ask for it again. One call at a time
    /// is under way.
    pub fn next_store_call(&mut self) -> Result<StoreCall, Instant> {
        let now = self.clock.now();
        if !self.reads_store(now) {
            return Err(now + self.settings.start_round);
        }
        let needs: Vec<PageId> = match self.claims.of_store() {
            Some(claim) => claim.needs.keys().copied().collect(),
            None => Vec::new(),
        };
        let rank = self.watches_as.unwrap_or_default();
        self.reader.next(&self.settings, now, rank, self.applied, &needs)
    }

    /// The most time for the answer to the next call of the store, beyond a watch's wait: a store that takes longer, or
    /// a connection that is silent, is asked again.
    pub fn store_call_limit(&self) -> Duration {
        self.reader.patience()
    }

    /// A list was answered.
    pub fn on_list(&mut self, listing: PageListing) {
        if self.is_old_copy(listing.revision) {
            return;
        }
        self.reader.listed();
        self.reader.answered();
        let shown = |page| listing.pages.iter().any(|(other, _)| *other == page);
        let gone: Vec<_> =
            self.view.revisions().map(|(page, _)| page).filter(|page| !shown(*page)).collect();
        gone.into_iter().for_each(|page| self.on_deleted(page, listing.revision));
        self.on_listing(0, listing);
    }

    /// A watch was answered.
    pub fn on_watch(&mut self, after: Revision, listing: PageListing) {
        if !self.is_old_copy(listing.revision) {
            self.reader.answered();
            self.on_listing(after, listing);
        }
    }

    /// A page was read: its version and value, or nothing if there is none.
    pub fn on_object(&mut self, page: PageId, object: Option<(Revision, Vec<u8>)>) {
        let needed = self.claims.of_store().and_then(|claim| claim.needs.get(&page).copied());
        let needed = needed.unwrap_or_default();
        let shown = object.as_ref().map_or(0, |(revision, _)| *revision);
        if shown < needed {
            // It was deleted since, which a list tells, or this is an old copy.
            self.tell(ConfigEvent::OldCopy { shown, known: needed });
            self.reader.must_list();
            return self.on_store_failure(None);
        }
        self.reader.answered();
        self.reader.succeeded();
        let Some((revision, value)) = object else { return };
        let result = self.view.apply_value(page, revision, &value);
        self.on_applied(Source::Store, page, revision, result);
        self.advance();
    }

    /// A call failed, and may be asked again after a while.
    pub fn on_store_failure(&mut self, retry_after: Option<Duration>) {
        let spread = self.rng.random_range(0.0..1.0);
        self.reader.failed(&self.settings, self.clock.now(), retry_after, spread);
    }

    /// The store refused a watch, as it no longer knows what changed since.
    pub fn on_watch_refused(&mut self) {
        self.reader.must_list();
        self.on_store_failure(None);
    }

    fn reads_store(&self, now: Instant) -> bool {
        if !self.settings.has_store {
            return false;
        }
        // Peers that turned up may still be without configuration themselves.
        let waited = now.duration_since(self.readiness.since());
        self.is_watching() || (!self.readiness.is_loaded() && waited >= self.settings.peer_wait)
    }

    fn is_old_copy(&mut self, shown: Revision) -> bool {
        if shown >= self.applied {
            return false;
        }
        self.tell(ConfigEvent::OldCopy { shown, known: self.applied });
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
            self.readiness.loaded();
        }
        if self.claims.of_store().is_none() {
            self.reader.succeeded();
        }
    }

    /// Takes in that `pages` lead from `since` to `upto`.
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
        self.claims.add(Claim { source, since, upto, pages, needs, asks: 0 });
        self.advance();
    }

    /// A page was found deleted when the store was at revision `shown`.
    fn on_deleted(&mut self, page: PageId, shown: Revision) {
        self.claims.settle_of(Source::Store, page, shown);
        let in_force = self.view.revision(page);
        if in_force > 0 && in_force <= shown && self.troubles.delete(page) {
            self.tell(ConfigEvent::Deleted { page });
        }
    }

    /// Takes a page that a peer gave.
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
                self.troubles.mended(page, revision);
                self.tell(ConfigEvent::Applied { page, revision, source });
                self.claims.settle(page, revision);
            }
            Err(PageError::NotNewer { in_force }) => self.claims.settle(page, in_force),
            Err(PageError::Malformed { detail }) => {
                if !self.troubles.is_refused(source, page, revision) {
                    self.troubles.refuse(source, page, revision);
                    self.tell(ConfigEvent::Refused { page, revision, source, detail });
                }
                self.claims.settle_of(source, page, revision);
            }
        }
    }

    /// Goes as far as the claims lead.
    pub(super) fn advance(&mut self) {
        while let Some(claim) = self.claims.take_fulfilled(self.applied) {
            self.applied = claim.upto;
            self.readiness.loaded();
            if !claim.pages.is_empty() {
                self.announced = claim.upto;
            }
            self.push(&claim);
        }
        self.check_ready();
    }

    /// Sends news on to a few peers.
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

    /// The next member of the place in order of incarnation, and random others. As each sends to its
    /// next, nobody is left out by chance who is known to be alive.
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

    /// Compares itself with a random peer; with more of them until it is ready.
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
            self.send(to, ConfigMessage::Summary { applied: self.applied, ask: starting });
        }
    }

    fn choose_watchers(&mut self) {
        let place = self.place_peers.iter().map(|peer| peer.incarnation);
        let candidates = place.chain([self.me.incarnation]);
        let chosen = rendezvous_several(WATCH_KEY, candidates, self.settings.watchers);
        let rank = chosen.iter().position(|watcher| *watcher == self.me.incarnation);
        let watches_as = rank.filter(|_| self.settings.has_store).map(|rank| rank as Rank);
        if watches_as.is_some() != self.is_watching() {
            self.tell(ConfigEvent::Watching(watches_as.is_some()));
        }
        self.watches_as = watches_as;
    }

    fn check_ready(&mut self) {
        let now = self.clock.now();
        let peers = self.place_peers.len() + self.remote_peers.len();
        if self.readiness.becomes_ready(&self.settings, now, peers, self.applied) {
            self.tell(ConfigEvent::Ready { applied: self.applied });
        }
    }

    pub(super) fn send(&mut self, to: Peer, message: ConfigMessage) {
        self.effects.push(Effect::Send { to, message });
    }

    pub(super) fn tell(&mut self, event: ConfigEvent) {
        self.effects.push(Effect::Report(event));
    }
}
