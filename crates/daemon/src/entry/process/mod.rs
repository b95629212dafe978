//! Components that exist for the lifetime of an entry.

mod admission;
mod api;
mod calls;
mod entry;
mod entry_handler;
mod fleet_routes;
mod fleet_watch;
mod in_progress;
mod keyed_calls;
mod keyed_pipelines;
mod ledger_client;
mod limits;
mod pipelines;
mod repairs;
mod retry_desk;
mod settings;
mod timer;

pub use entry::*;
pub use settings::*;

pub(in crate::entry) use pipelines::NewPipeline;

use admission::{Gate, GateParts, Work};
use api::Api;
use calls::{Calls, NewCall};
use entry_handler::EntryHandler;
use fleet_routes::FleetRoutes;
use fleet_watch::FleetCell;
use in_progress::{Finished, InProgress};
use ledger_client::{ARRIVAL_WAIT, ASK_WAIT, CLAIM_WAIT, LedgerClient, RUN_WAIT};
use limits::LimitDesk;
use pipelines::Pipelines;
use retry_desk::{RetryDesk, attempt_end, no_answer};
use timer::Timer;
