//! Membership: which processes there are, where, and whether they take work.

mod member;
mod rendezvous;
mod view;

pub use member::*;
pub use rendezvous::*;
pub use view::*;
