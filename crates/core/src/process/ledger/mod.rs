//! The run-once ledger: a non-idempotent request with a key runs at most once.
//!
//! A [`Holder`] keeps one shard of the ledger. A [`KeyedRun`] takes one request of an entry
//! through it, and the [`StartTable`] of the daemon that runs it has the last word: it starts
//! each record once, and never one that it has told somebody it would not start.

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
    Known, archive_ref, decode_batches, decode_keys, encode_batches, encode_keys, short_keys,
};
use index::{Found, Index, Judgement};
