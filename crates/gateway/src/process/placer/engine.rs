//! What the lead knows of one engine.

use sorrellock_platform::{Client, EngineReport};
use sorrellock_routing::process::{Incarnation, LayerRange};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// Engines by life, shared with the calls under way.
pub(super) type Engines = Rc<RefCell<HashMap<Incarnation, Engine>>>;

/// What the lead knows of one engine in one life.
pub(super) struct Engine {
    pub(super) client: Client,
    pub(super) since: Instant,
    pub(super) report: Option<EngineReport>,
    pub(super) asked: Option<Instant>,
    pub(super) is_asking: bool,
    pub(super) failures: u32,
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
            asked: None,
            is_asking: false,
            failures: 0,
            is_dead: false,
            died: None,
            ordered: None,
            chain: None,
            order_after: now,
            closing: None,
        }
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
