//! Watches that wait; none takes a thread.

use crate::process::{Event, PlatformState, Store, count, send_listing};
use sorrellock_core::id::Revision;
use sorrellock_http::{Request, Responder};
use sorrellock_ports::api::Listing;
use sorrellock_ports::client::format::decode;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The path of a watch.
pub(crate) const WATCH_PATH: &str = "/v1/watch";
/// Watches that wait at once; more are answered at once.
const MAX_WATCHES: usize = 16_384;
/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(300);

/// Names a watch, and tells when its wait is over.
type WatchId = (Instant, u64);

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

/// One watch that waits.
#[derive(Debug)]
struct Watch {
    query: WatchQuery,
    responder: Responder,
}

impl Watch {
    fn is_ended_by(&self, key: &str, store: &Store) -> bool {
        key.starts_with(&self.query.prefix) && store.last_change(key) > self.query.after
    }

    fn answer(self, store: &Store) -> (Responder, Listing) {
        (self.responder, store.changes(&self.query.prefix, self.query.after))
    }
}

/// All watches that wait, the one over first in front.
#[derive(Debug, Default)]
pub(crate) struct Watches {
    number: u64,
    waiting: BTreeMap<WatchId, Watch>,
    /// When they are next looked at.
    look: Option<Instant>,
}

impl Watches {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    fn new_id(&mut self, wait: Duration) -> WatchId {
        self.number += 1;
        (Instant::now() + wait, self.number)
    }

    /// Takes out those that a change of `key` ends, each with its answer.
    pub(crate) fn woken_by(&mut self, key: &str, store: &Store) -> Vec<(Responder, Listing)> {
        let woken = self.waiting.extract_if(.., |_, watch| watch.is_ended_by(key, store));
        woken.map(|(_, watch)| watch.answer(store)).collect()
    }

    /// Takes out those whose wait is over, each with its answer.
    fn over(&mut self, store: &Store) -> Vec<(Responder, Listing)> {
        let now = Instant::now();
        let over = self.waiting.extract_if(..=(now, u64::MAX), |_, _| true);
        over.map(|(_, watch)| watch.answer(store)).collect()
    }

    /// Takes all out.
    pub(crate) fn take_all(&mut self) -> Vec<Responder> {
        std::mem::take(&mut self.waiting).into_values().map(|watch| watch.responder).collect()
    }

    /// When to look at them next, unless that is planned already.
    fn plan_look(&mut self) -> Option<Instant> {
        let (first, _) = *self.waiting.first_key_value()?.0;
        if self.look.is_some_and(|look| look <= first) {
            return None;
        }
        self.look = Some(first);
        self.look
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
        let id = self.data().watches.new_id(query.wait);
        self.forget_when_gone(&req.responder, id);
        self.answer_or_wait(id, Watch { query, responder: req.responder });
    }

    /// Answers the watches whose wait is over.
    pub(crate) fn end_watches(&self, look: Instant) {
        let mut data = self.data();
        // A look that an earlier one replaced must not plan another.
        if data.watches.look != Some(look) {
            return;
        }
        data.watches.look = None;
        let inner = &mut *data;
        let over = inner.watches.over(&inner.store);
        let look = data.watches.plan_look();
        drop(data);
        self.look_at(look);
        for (responder, listing) in over {
            send_listing(responder, &listing);
        }
    }

    fn answer_or_wait(&self, id: WatchId, watch: Watch) {
        let mut data = self.data();
        if !data.store.remembers(watch.query.after) {
            drop(data);
            let reply = self.malformed(410, "too many deletions since `after`: list again");
            return reply.send(watch.responder);
        }
        let listing = data.store.changes(&watch.query.prefix, watch.query.after);
        let full = data.watches.len() >= MAX_WATCHES;
        if !listing.objects.is_empty() || full {
            drop(data);
            if full {
                count(&self.counters.watches_full);
            }
            return send_listing(watch.responder, &listing);
        }
        // A caller that went away before the watch is in the table would leave it there.
        if watch.responder.is_gone() {
            return;
        }
        data.watches.waiting.insert(id, watch);
        let look = data.watches.plan_look();
        drop(data);
        self.look_at(look);
    }

    fn look_at(&self, look: Option<Instant>) {
        if let Some(look) = look {
            self.scheduler.schedule(look, Event::WatchesDue(look));
        }
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
