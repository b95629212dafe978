//! The lead's state of one engine.

use super::reports::REPORT_TIMEOUT;
use sorrellock_platform::{Client, EngineReport};
use sorrellock_routing::process::{Incarnation, LayerRange, PeerSilence};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Engines by incarnation, shared with the calls in flight.
pub(super) type Engines = Rc<RefCell<HashMap<Incarnation, Engine>>>;

/// State of one engine in one incarnation.
pub(super) struct Engine {
    pub(super) client: Client,
    /// When the lead began to track it.
    pub(super) tracked_since: Instant,
    /// The newest report of this incarnation.
    pub(super) report: Option<EngineReport>,
    /// Its newest report has no start time, or another incarnation's or endpoint's: nothing is known of this
    /// incarnation, and it gets no orders.
    pub(super) is_unidentified: bool,
    /// When its report was last requested; `None` requests one at once.
    pub(super) requested_at: Option<Instant>,
    pub(super) is_request_pending: bool,
    /// Report requests that failed in a row.
    pub(super) failures: u32,
    /// Silence since its last answer or its last counted failure.
    pub(super) silence: PeerSilence,
    pub(super) is_dead: bool,
    pub(super) died_at: Option<Instant>,
    /// Layers of an order that may be in progress, and when it was sent.
    pub(super) pending_order: Option<(LayerRange, Instant)>,
    /// Index of the chain in its data centre that it was last planned for.
    pub(super) chain: Option<usize>,
    /// The earliest time for the next order.
    pub(super) order_after: Instant,
    /// Layers that it keeps, and since when new requests are kept off the others.
    pub(super) draining: Option<(LayerRange, Instant)>,
}

impl Engine {
    pub(super) fn new(client: Client, now: Instant) -> Engine {
        Engine {
            client,
            tracked_since: now,
            report: None,
            is_unidentified: false,
            requested_at: None,
            is_request_pending: false,
            failures: 0,
            silence: PeerSilence::new(REPORT_TIMEOUT),
            is_dead: false,
            died_at: None,
            pending_order: None,
            chain: None,
            order_after: now,
            draining: None,
        }
    }

    /// Returns an engine that has just restarted: what it ran before is lost, as after a crash.
    pub(super) fn restarted(client: Client, now: Instant) -> Engine {
        Engine { died_at: Some(now), ..Engine::new(client, now) }
    }

    /// Returns whether it has reported, or is not expected to.
    pub(super) fn is_resolved(&self) -> bool {
        self.report.is_some() || self.is_dead || self.is_unidentified
    }

    pub(super) fn takes_orders(&self) -> bool {
        !self.is_dead && !self.is_unidentified
    }

    pub(super) fn ready(&self) -> LayerRange {
        self.report.as_ref().map_or(LayerRange::default(), |report| report.layers)
    }

    /// Returns the layers that it holds, or will hold after a pending order.
    pub(super) fn held(&self) -> LayerRange {
        self.pending_order.map_or_else(|| self.ready(), |(layers, _)| layers)
    }

    /// Returns the layers that new requests may use.
    pub(super) fn usable(&self) -> LayerRange {
        match self.draining {
            Some((kept, _)) => self.ready().intersection(kept),
            None => self.ready(),
        }
    }

    /// Returns what plans depend on.
    pub(super) fn planned_state(&self) -> impl PartialEq + use<> {
        let report = self.report.as_ref();
        let reported = report.map(|report| (report.layers, report.is_busy, report.orders_begun));
        let slowness = report.map(|report| report.slowness);
        (reported, slowness, self.is_dead, self.is_unidentified, self.pending_order, self.failures)
    }

    pub(super) fn is_moving(&self) -> bool {
        self.pending_order.is_some() || self.report.as_ref().is_none_or(|report| report.is_busy)
    }
}
