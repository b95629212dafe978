//! The run-once ledger: a non-idempotent request with a key runs at most once.
//!
//! A [`Holder`] commits the records of one shard of the ledger. A [`KeyedRun`] is the state of one
//! request with a key at its entry. The [`StartTable`] of the daemon that runs the request decides
//! whether a record starts: each starts at most once, and never after it was reported as not run.

mod head;
mod holder;
mod index;
mod keyed_run;
mod pacer;
mod record;
mod seen_requests;
mod start_table;

pub use head::{ArchiveId, ArchiveRef, Head, LEDGER_PREFIX, archive_prefix, head_key};
pub use holder::*;
pub use keyed_run::*;
pub use pacer::*;
pub use record::*;
pub use seen_requests::*;
pub use start_table::*;

use head::{
    CommittedRecord, archive_ref, decode_batches, decode_keys, encode_batches, encode_keys,
    short_keys,
};
use index::{ClaimCheck, Index, Lookup};
