//! Moves a stream to another path of its first engine, without a new run.

use crate::process::{Count, Gateway, LivePath};
use crate::request::Call;
use sorrellock_platform::{OrderEnd, order_repath};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time for the order to be answered: a hundred round trips inside a region.
const ORDER_LIMIT: Duration = Duration::from_millis(300);
/// The wait before another try, after one that failed.
const RETRY: Duration = Duration::from_millis(500);
/// Tries of one stream: each order is priced.
const MOST_TRIES: u32 = 3;

/// How an order to move ended.
pub(crate) struct RepathEnd {
    /// The path that was ordered.
    pub(crate) to: Rc<LivePath>,
    pub(crate) order: OrderEnd,
}

/// What becomes of a stream whose path lost an engine.
pub(crate) enum LeaveBroken {
    /// An order to go on over another path is under way.
    Ordered,
    /// Its first engine lives, and no path begins there now.
    NoPathYet,
    /// Its first engine is lost, or too many orders were given.
    Lost,
}

/// The orders to move one stream.
#[derive(Default)]
pub(crate) struct Repath {
    under_way: Option<oneshot::Receiver<RepathEnd>>,
    tried: Option<Instant>,
    tries: u32,
}

impl Repath {
    /// Gives an order to go on over another path of the same first engine, if there is one now,
    /// none is under way and the last one is some time ago.
    pub(crate) fn start(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        from: &Rc<LivePath>,
        now: Instant,
    ) {
        let is_early = self.tried.is_some_and(|tried| now - tried < RETRY);
        if self.under_way.is_none() && !is_early {
            self.order(gateway, call, from, now);
        }
    }

    /// Gives such an order at once, as an engine of the path is dead: work waits for it, and goes
    /// on once other engines run its layers.
    pub(crate) fn leave_broken(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        from: &Rc<LivePath>,
        now: Instant,
    ) -> LeaveBroken {
        let is_head_lost = gateway.is_lost(&from.path.first().incarnation);
        // An order that is under way was given before the engine was known to be dead.
        self.under_way = None;
        if is_head_lost || self.tries >= MOST_TRIES {
            return LeaveBroken::Lost;
        }
        if self.order(gateway, call, from, now) {
            LeaveBroken::Ordered
        } else {
            LeaveBroken::NoPathYet
        }
    }

    fn order(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        from: &Rc<LivePath>,
        now: Instant,
    ) -> bool {
        if self.tries >= MOST_TRIES {
            return false;
        }
        let to = gateway.paths.borrow_mut().successor(&call.service, from, now);
        let Some(to) = to else { return false };
        self.tried = Some(now);
        self.tries += 1;
        gateway.counters.add(Count::Orders);
        let (tx, rx) = oneshot::channel();
        self.under_way = Some(rx);
        let request = call.id().to_owned();
        let first = from.path.first();
        let client = gateway.probe(&first.incarnation, first.addr);
        tokio::task::spawn_local(async move {
            let order = order_repath(&client, &request, &to.path.parts, ORDER_LIMIT).await;
            // A stream that has ended meanwhile needs no answer.
            let _ = tx.send(RepathEnd { to, order });
        });
        true
    }

    /// Waits for the end of the order under way; for ever if there is none.
    pub(crate) async fn end(&mut self) -> RepathEnd {
        let Some(rx) = &mut self.under_way else { return pending().await };
        let end = rx.await;
        self.under_way = None;
        match end {
            Ok(end) => end,
            Err(_) => pending().await,
        }
    }
}
