//! Membership: which processes exist, in which place, and whether they take work.
//!
//! Inside a place each member probes the others in random order; updates are piggybacked on the probes.
//! Between places a few relays exchange digests. No member sends to all others, and the size of every
//! message is bounded.

mod config;
mod event;
mod member;
mod message;
mod message_handlers;
mod place_pulses;
mod probes;
mod rendezvous;
mod rumor_queue;
mod state;
mod table;
mod ticks;
mod view;

pub use config::*;
pub use event::*;
pub use member::*;
pub use message::*;
pub use rendezvous::*;
pub use state::*;
pub use view::*;

use place_pulses::PlacePulses;
use probes::Probes;
use rumor_queue::RumorQueue;
use table::{Merged, Table};
