//! Handling of messages from peers.

use crate::clock::Clock;
use crate::id::Revision;
use crate::request::Peer;
use crate::version::{
    ConfigEvent, ConfigMessage, MAX_FETCH, PAGES_BYTES, PageAt, PageCopy, PageId, Source, Spread,
};

impl<C: Clock> Spread<C> {
    /// Handles a message from a peer.
    pub fn on_message(&mut self, from: Peer, message: ConfigMessage) {
        if !is_well_formed(&message) {
            return self.report(ConfigEvent::BadMessage { peer: from });
        }
        match message {
            ConfigMessage::Summary { applied, wants_reply } => {
                self.on_summary(from, applied, wants_reply)
            }
            ConfigMessage::Digest { since, upto, pages, refused } => {
                for (page, revision) in refused {
                    self.on_refused_by_peer(page, revision);
                }
                self.on_digest(from, since, upto, pages);
            }
            ConfigMessage::Fetch { pages } => self.on_fetch(from, &pages),
            ConfigMessage::Pages { copies } => self.on_pages(from, copies),
        }
    }

    fn on_summary(&mut self, from: Peer, applied: Revision, wants_reply: bool) {
        self.readiness.record_peer(from.incarnation, applied);
        if applied < self.applied {
            return self.send_digest(from, applied);
        }
        if wants_reply || applied > self.applied {
            // A peer that has more answers this with a digest.
            let wants_reply = applied > self.applied;
            self.send(from, ConfigMessage::Summary { applied: self.applied, wants_reply });
        }
        self.advance();
    }

    fn send_digest(&mut self, to: Peer, since: Revision) {
        let pages = self.view.revisions().filter(|(_, revision)| *revision > since).collect();
        let (upto, refused) = (self.applied, self.troubles.refused());
        self.send(to, ConfigMessage::Digest { since, upto, pages, refused });
    }

    fn on_digest(&mut self, from: Peer, since: Revision, upto: Revision, pages: Vec<PageAt>) {
        self.readiness.record_peer(from.incarnation, upto);
        let source = Source::Peer(from);
        if upto <= self.applied {
            return self.advance();
        }
        if since > self.applied && !self.claims.reaches(source, since) {
            let message = ConfigMessage::Summary { applied: self.applied, wants_reply: true };
            return self.send(from, message);
        }
        self.claim(source, since, upto, pages);
        self.request_pages();
    }

    fn on_refused_by_peer(&mut self, page: PageId, revision: Revision) {
        if revision > self.view.revision(page) {
            self.troubles.refused_by_peer(page, revision);
        }
    }

    /// Requests pages of open claims from the peers that made them, except pages whose request is still pending.
    pub(super) fn request_pages(&mut self) {
        let now = self.clock.now();
        let fetches = &self.fetches;
        let requests = self.claims.next_requests(|page| fetches.may_request(page, now));
        for (source, mut pages) in requests {
            let Source::Peer(peer) = source else { continue };
            pages.retain(|(page, _)| self.fetches.may_request(*page, now));
            pages.truncate(MAX_FETCH);
            if pages.is_empty() {
                continue;
            }
            let until = now + self.settings.fetch_timeout;
            for (page, _) in &pages {
                self.fetches.mark_requested(*page, peer.incarnation, until);
            }
            self.send(peer, ConfigMessage::Fetch { pages });
        }
    }

    fn on_fetch(&mut self, from: Peer, pages: &[PageAt]) {
        let mut copies = Vec::new();
        let mut bytes = 0;
        for (page, revision) in pages {
            if self.view.revision(*page) < *revision {
                continue;
            }
            let Some(copy) = self.view.copy_of(*page) else { continue };
            bytes += copy.body.size();
            if bytes > PAGES_BYTES && !copies.is_empty() {
                break;
            }
            copies.push(copy);
        }
        self.send(from, ConfigMessage::Pages { copies });
    }

    fn on_pages(&mut self, from: Peer, copies: Vec<PageCopy>) {
        if copies.is_empty() {
            return;
        }
        for copy in copies {
            self.take_copy(from, copy);
        }
        self.fetches.answered_by(from.incarnation);
        self.claims.reset_requests(Source::Peer(from));
        self.advance();
        self.request_pages();
    }
}

/// Whether a message is well-formed: it names existing pages only, and not too many.
fn is_well_formed(message: &ConfigMessage) -> bool {
    let exist =
        |pages: &[PageAt]| pages.iter().all(|(page, revision)| page.exists() && *revision > 0);
    match message {
        ConfigMessage::Summary { .. } => true,
        ConfigMessage::Digest { since, upto, pages, refused } => {
            since <= upto
                && pages.len().max(refused.len()) <= PageId::COUNT
                && exist(pages)
                && exist(refused)
        }
        ConfigMessage::Fetch { pages } => pages.len() <= MAX_FETCH && exist(pages),
        ConfigMessage::Pages { copies } => {
            let sound = |copy: &PageCopy| copy.page.exists() && copy.revision > 0;
            copies.len() <= MAX_FETCH && copies.iter().all(sound)
        }
    }
}
