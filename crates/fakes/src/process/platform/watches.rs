//! Watches that wait; none takes a thread.

use crate::process::{Event, PlatformState, Store, count, send_listing};
use sorrellock_core::id::Revision;
use sorrellock_http::{Request, Responder};
use sorrellock_platform::api::Listing;
use sorrellock_platform::client::format::decode;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The path of a watch.
pub(crate) const WATCH_PATH: &str = "/v1/watch";
/// Watches that wait at once; more are answered at once.
const MAX_WATCHES: usize = 16_384;
/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(300);

/// Number of a watch.
pub(crate) type WatchId = u64;

/// What a watch asks for.
#[derive(Debug)]
struct WatchQuery {
    prefix: String,
    after: Revision,
    wait: Duration,
}

impl WatchQuery {
    fn parse(req: &Request) -> Option<WatchQuery> {
        let prefix = decode(req.query("prefix")?)?;
        let after = req.query("after")?.parse().ok()?;
        let wait = Duration::from_millis(req.query("wait_ms")?.parse().ok()?);
        Some(WatchQuery { prefix, after, wait: wait.min(MAX_WATCH_WAIT) })
    }
}

/// All watches that wait.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    next: WatchId,
    waiting: HashMap<WatchId, (WatchQuery, Responder)>,
}

impl Watches {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    fn reserve(&mut self) -> WatchId {
        self.next += 1;
        self.next
    }

    /// Takes out those that a change of `key` ends, each with its answer.
    pub(crate) fn woken_by(&mut self, key: &str, store: &Store) -> Vec<(Responder, Listing)> {
        let changed = |query: &WatchQuery| {
            key.starts_with(&query.prefix) && store.last_change(key) > query.after
        };
        let woken = self.waiting.extract_if(|_, (query, _)| changed(query));
        woken
            .map(|(_, (query, responder))| (responder, store.changes(&query.prefix, query.after)))
            .collect()
    }

    /// Takes all out.
    pub(crate) fn take_all(&mut self) -> Vec<Responder> {
        self.waiting.drain().map(|(_, (_, responder))| responder).collect()
    }
}

impl PlatformState {
    /// Answers a watch at once if something changed already, else lets it wait.
    pub(crate) fn watch(self: &Arc<Self>, req: Request) {
        let Some(query) = WatchQuery::parse(&req) else {
            let reply = self.malformed(400, "prefix, after or wait_ms is missing or malformed");
            return reply.send(req.responder);
        };
        count(&self.counters.watches);
        let responder = req.responder;
        let id = self.data().watches.reserve();
        self.forget_when_gone(&responder, id);
        let mut data = self.data();
        if !data.store.remembers(query.after) {
            drop(data);
            let reply = self.malformed(410, "too many deletions since `after`: list again");
            return reply.send(responder);
        }
        let listing = data.store.changes(&query.prefix, query.after);
        if !listing.objects.is_empty() || data.watches.waiting.len() >= MAX_WATCHES {
            drop(data);
            return send_listing(responder, &listing);
        }
        // A caller that went away before the watch is in the table would leave it there.
        if responder.is_gone() {
            return;
        }
        self.scheduler.schedule(Instant::now() + query.wait, Event::WatchOver(id));
        data.watches.waiting.insert(id, (query, responder));
    }

    /// Answers a watch whose wait is over.
    pub(crate) fn end_watch(&self, id: WatchId) {
        let mut data = self.data();
        let Some((query, responder)) = data.watches.waiting.remove(&id) else { return };
        let listing = data.store.changes(&query.prefix, query.after);
        drop(data);
        send_listing(responder, &listing);
    }

    fn forget_when_gone(self: &Arc<Self>, responder: &Responder, id: WatchId) {
        let state = Arc::downgrade(self);
        responder.on_gone(move || {
            if let Some(state) = state.upgrade() {
                state.data().watches.waiting.remove(&id);
            }
        });
    }
}
