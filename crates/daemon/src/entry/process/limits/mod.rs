//! Limits over the whole fleet, at one entry: as one that spends, and as the keeper of its part.

mod checked;
mod known_entries;
mod limit_desk;
mod parked;

pub use checked::*;
pub use limit_desk::*;

use known_entries::KnownEntries;
use parked::Parked;
