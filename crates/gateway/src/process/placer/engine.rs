//! What the lead knows of one engine.

use super::reports::REPORT_LIMIT;
use sorrellock_platform::{Client, EngineReport};
use sorrellock_routing::process::{Incarnation, LayerRange, PeerSilence};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Engines by incarnation, shared with the calls under way.
pub(super) type Engines = Rc<RefCell<HashMap<Incarnation, Engine>>>;

/// What the lead knows of one engine in one incarnation.
pub(super) struct Engine {
    pub(super) client: Client,
    pub(super) since: Instant,
    /// The newest report of this incarnation.
    pub(super) report: Option<EngineReport>,
    /// Its newest answer tells no start, or another endpoint's: nothing is known of this incarnation, and it
    /// gets no orders.
    pub(super) is_unknown: bool,
    pub(super) asked: Option<Instant>,
    pub(super) is_asking: bool,
    pub(super) failures: u32,
    /// Since its last answer, or its last failure.
    pub(super) silence: PeerSilence,
    pub(super) is_dead: bool,
    pub(super) died: Option<Instant>,
    /// The layers of an order that may be under way, and when it was given.
    pub(super) ordered: Option<(LayerRange, Instant)>,
    /// The chain of its data centre that it was last planned for.
    pub(super) chain: Option<usize>,
    /// No order before then.
    pub(super) order_after: Instant,
    /// The layers that are to stay, and since when requests are kept off the others.
    pub(super) closing: Option<(LayerRange, Instant)>,
}

impl Engine {
    pub(super) fn new(client: Client, now: Instant) -> Engine {
        Engine {
            client,
            since: now,
            report: None,
            is_unknown: false,
            asked: None,
            is_asking: false,
            failures: 0,
            silence: PeerSilence::new(REPORT_LIMIT),
            is_dead: false,
            died: None,
            ordered: None,
            chain: None,
            order_after: now,
            closing: None,
        }
    }

    /// The engine started again just now: what it ran before is lost, as after a death.
    pub(super) fn reborn(client: Client, now: Instant) -> Engine {
        Engine { died: Some(now), ..Engine::new(client, now) }
    }

    /// Whether it was heard, or will not be.
    pub(super) fn is_heard(&self) -> bool {
        self.report.is_some() || self.is_dead || self.is_unknown
    }

    pub(super) fn takes_orders(&self) -> bool {
        !self.is_dead && !self.is_unknown
    }

    pub(super) fn ready(&self) -> LayerRange {
        self.report.as_ref().map_or(LayerRange::default(), |report| report.layers)
    }

    /// The layers that it holds or will hold.
    pub(super) fn held(&self) -> LayerRange {
        self.ordered.map_or_else(|| self.ready(), |(layers, _)| layers)
    }

    /// The layers that new requests may use.
    pub(super) fn usable(&self) -> LayerRange {
        match self.closing {
            Some((stay, _)) => self.ready().intersection(stay),
            None => self.ready(),
        }
    }

    pub(super) fn is_moving(&self) -> bool {
        self.ordered.is_some() || self.report.as_ref().is_none_or(|report| report.is_busy)
    }
}
