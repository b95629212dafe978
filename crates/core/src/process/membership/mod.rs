//! Membership: which processes there are, where, and whether they take work.
//!
//! Inside a place each member probes the others at random; what they learn rides on the probes.
//! Between places a few relays exchange digests. Nobody talks to all, and every message is bounded.

mod config;
mod event;
mod member;
mod message;
mod messages;
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
