//! Immutable snapshots that an entry reads while it handles requests; a change replaces the whole snapshot.

mod fleet_view;

pub use fleet_view::*;
