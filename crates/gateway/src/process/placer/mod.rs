//! Layer placement by the lead: polls the engines for reports and orders the layers that each holds.

mod engine;
mod lead;
mod orders;
#[allow(clippy::module_inception)]
mod placer;
mod planning;
mod reports;
mod timing;

use engine::*;
use orders::ORDER_RETRY;
pub(crate) use placer::*;
use planning::Planned;
use timing::is_urgent;
