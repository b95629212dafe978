//! What an entry reads on the path of a request; replaced whole when it changes.

mod fleet_view;

pub use fleet_view::*;
