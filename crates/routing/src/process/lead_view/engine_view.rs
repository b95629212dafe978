//! What a lead's view consists of, and the messages that carry it.

use crate::process::{Incarnation, LayerRange, Revision};
use serde::{Deserialize, Serialize};

/// The lead's view of one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineView {
    /// The engine, in the incarnation that answered the lead.
    pub incarnation: Incarnation,
    /// The layers that requests may use.
    pub usable: LayerRange,
    /// Step time relative to engines of the same kind.
    pub slowness: f32,
    /// Whether the lead gets no answers from it.
    pub is_dead: bool,
}

/// A state of the view.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ViewMark {
    /// The term of the lead.
    pub term: Revision,
    /// Number of changes in that term; 0 only for the empty view.
    pub version: u64,
}

/// Changes of the view from one state to a later one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// The state before the changes; the default is the empty view.
    pub base: ViewMark,
    /// The state after them.
    pub mark: ViewMark,
    /// Engines that are new or differ.
    pub changed: Vec<EngineView>,
    /// Engines that are no longer part of the view.
    pub removed: Vec<Incarnation>,
}

/// A whole view.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewSnapshot {
    /// Its state.
    pub mark: ViewMark,
    /// All engines.
    pub engines: Vec<EngineView>,
}
