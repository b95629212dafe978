//! Moves a stream to another path through the same first engine, without a new run.

use crate::process::{Count, Gateway, LivePath};
use crate::request::Call;
use sorrellock_platform::{OrderEnd, order_repath};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Time limit for the answer to an order: a hundred round trips inside a region.
const ORDER_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum time before another order, after one that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of orders for one stream, as each order has a cost.
const MAX_ORDERS: u32 = 3;

/// How an order to move ended.
pub(crate) struct RepathEnd {
    /// The path to which the stream was to move.
    pub(crate) to: Rc<LivePath>,
    pub(crate) order: OrderEnd,
}

/// Whether a stream can move off a path that lost an engine.
pub(crate) enum MoveOff {
    /// An order to continue over another path is in flight.
    Ordered,
    /// The first engine is alive, but no other path starts there now.
    NoPathYet,
    /// The first engine is lost, or the maximum number of orders is reached.
    Lost,
}

/// The orders that move one stream.
#[derive(Default)]
pub(crate) struct Repath {
    under_way: Option<oneshot::Receiver<RepathEnd>>,
    last_order_at: Option<Instant>,
    orders: u32,
}

impl Repath {
    /// Sends an order to continue over another path through the same first engine, if there is one now, no order is in
    /// flight, and the last one is at least [RETRY_INTERVAL] ago.
    pub(crate) fn start(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        from: &Rc<LivePath>,
        now: Instant,
    ) {
        let is_early =
            self.last_order_at.is_some_and(|last_order_at| now - last_order_at < RETRY_INTERVAL);
        if self.under_way.is_none() && !is_early {
            self.order(gateway, call, from, now);
        }
    }

    /// Sends such an order at once, because an engine of the path is dead: the run is stopped until other engines run
    /// its layers.
    pub(crate) fn move_off_broken(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        from: &Rc<LivePath>,
        now: Instant,
    ) -> MoveOff {
        let is_head_lost = gateway.is_lost(&from.path.first().incarnation);
        // An order in flight was sent before the engine was known to be dead.
        self.under_way = None;
        if is_head_lost || self.orders >= MAX_ORDERS {
            return MoveOff::Lost;
        }
        if self.order(gateway, call, from, now) { MoveOff::Ordered } else { MoveOff::NoPathYet }
    }

    fn order(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        from: &Rc<LivePath>,
        now: Instant,
    ) -> bool {
        if self.orders >= MAX_ORDERS || gateway.held_for(call).is_some() {
            return false;
        }
        let to = gateway.paths.borrow_mut().successor(&call.service, from, now);
        let Some(to) = to else { return false };
        self.last_order_at = Some(now);
        self.orders += 1;
        gateway.counters.add(Count::Orders);
        let (tx, rx) = oneshot::channel();
        self.under_way = Some(rx);
        let request = call.id().to_owned();
        let first = from.path.first();
        let client = gateway.probe(&first.incarnation, first.addr);
        tokio::task::spawn_local(async move {
            let order = order_repath(&client, &request, &to.path.parts, ORDER_TIMEOUT).await;
            // The receiver is gone if the stream has ended meanwhile.
            let _ = tx.send(RepathEnd { to, order });
        });
        true
    }

    /// Waits for the end of the order in flight; waits for ever if there is none.
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
