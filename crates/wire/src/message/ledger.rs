//! Messages of the run-once ledger.

use crate::message::{CallEnd, CallRequest};
use serde::{Deserialize, Serialize};
use sorrellock_core::id::Attempt;
use sorrellock_core::process::ledger::{Claim, ClaimAnswer, RecordStatus, Stamp};
use sorrellock_core::request::RequestKey;

/// Messages of the run-once ledger.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LedgerMessage {
    /// From an entry to the holder of the key's shard.
    Claim(Claim),
    /// The holder's answer.
    Answer {
        /// Whose claim it was.
        owner: RequestKey,
        /// [`Claim::after`] of the claim.
        after: Attempt,
        /// The answer.
        answer: ClaimAnswer,
    },
    /// From an entry to the daemon that its record names: a call to run once.
    Run {
        /// The record.
        stamp: Stamp,
        /// The call.
        call: CallRequest,
    },
    /// The same for a pipeline request, to the daemon of its first stage: the entry drives the run,
    /// and opens nothing before the daemon has told that it counts as running.
    Begin {
        /// The request.
        owner: RequestKey,
        /// The record.
        stamp: Stamp,
    },
    /// From the daemon to the entry that sent the run, and to all that follow it.
    End {
        /// Who is told.
        owner: RequestKey,
        /// The record.
        stamp: Stamp,
        /// How the run ended.
        end: CallEnd,
    },
    /// From an entry to the daemon of its pipeline's record: how the run ended.
    Ended {
        /// The record.
        stamp: Stamp,
        /// How.
        end: CallEnd,
    },
    /// From an entry to the daemon that a record names: what became of it?
    Ask {
        /// Who asks.
        owner: RequestKey,
        /// The record.
        stamp: Stamp,
        /// Whether a run that has not come yet is to be kept from starting.
        fence: bool,
    },
    /// The daemon's answer.
    Told {
        /// Who asked.
        owner: RequestKey,
        /// The record.
        stamp: Stamp,
        /// What became of it.
        told: RecordStatus<CallEnd>,
    },
    /// The answer of whoever listens there now, if that is another incarnation.
    Gone {
        /// Who asked.
        owner: RequestKey,
        /// The record.
        stamp: Stamp,
    },
}
