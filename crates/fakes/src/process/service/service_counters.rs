//! Counters of a stand-in service.

use std::sync::atomic::AtomicU64;

/// What a stand-in service has counted.
#[derive(Debug, Default)]
pub struct ServiceCounters {
    /// Calls that came in.
    pub arrived: AtomicU64,
    /// Calls that ran.
    pub ran: AtomicU64,
    /// Calls cut off while it hung, as too many were held.
    pub cut: AtomicU64,
    /// Calls refused without running.
    pub refused: AtomicU64,
    /// Calls that ran and whose answer was lost.
    pub answers_lost: AtomicU64,
}
