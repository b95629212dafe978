//! Fleet-wide limits at one entry, which spends its shares and is the keeper of some of the limits.

mod checked;
mod known_entries;
mod limit_desk;
mod parked;

pub use checked::*;
pub use limit_desk::*;

use known_entries::KnownEntries;
use parked::Parked;
