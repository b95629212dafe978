//! Decides from whom a gateway reads a whole view, and how many it serves.

use super::{MissingView, ViewMark};
use std::time::{Duration, Instant};

/// How long changes may be missing before the whole view is read: the next message may bring them.
const MISSING_TIMEOUT: Duration = Duration::from_millis(150);
/// Minimum interval between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Whole views that a gateway serves a second, and at once. One of 3,000 engines has some 80 KB.
const SERVED_PER_S: f64 = 8.0;
const MAX_SERVED_AT_ONCE: f64 = 4.0;

/// Another gateway that may have the view.
#[derive(Clone, Copy, Debug)]
pub struct ViewHolder<T> {
    /// The gateway.
    pub peer: T,
    /// The state of its copy.
    pub mark: ViewMark,
    /// Whether it is the lead.
    pub is_lead: bool,
    /// Whether it is in the same data centre.
    pub is_near: bool,
}

/// One gateway's reads of whole views.
#[derive(Debug, Default)]
pub struct ViewSync {
    last_read: Option<Instant>,
    reads: u64,
}

impl ViewSync {
    /// Returns the gateway to read a missing view from now. `seed` differs between gateways, so that they don't all choose
    /// the same one.
    pub fn read_from<T>(
        &mut self,
        missing: MissingView,
        holders: impl Iterator<Item = ViewHolder<T>>,
        seed: u64,
        now: Instant,
    ) -> Option<T> {
        let is_early = self.last_read.is_some_and(|at| now.duration_since(at) < READ_INTERVAL);
        if is_early || now.duration_since(missing.since) < MISSING_TIMEOUT {
            return None;
        }
        let mut holders: Vec<ViewHolder<T>> =
            holders.filter(|holder| missing.is_met_by(holder.mark)).collect();
        // The lead has work of its own, and the most to send.
        let best = holders.iter().map(|holder| (holder.is_lead, !holder.is_near)).min()?;
        holders.retain(|holder| (holder.is_lead, !holder.is_near) == best);
        self.last_read = Some(now);
        self.reads += 1;
        let index = seed.wrapping_add(self.reads) % holders.len() as u64;
        Some(holders.swap_remove(index as usize).peer)
    }
}

/// Bounds the whole views that a gateway serves.
#[derive(Debug, Default)]
pub struct ViewServing {
    /// The share of a burst that is left, and as of when.
    left: Option<(f64, Instant)>,
}

impl ViewServing {
    /// Returns whether to serve a view now.
    pub fn admit(&mut self, now: Instant) -> bool {
        let (left, at) = self.left.unwrap_or((MAX_SERVED_AT_ONCE, now));
        let refilled = left + SERVED_PER_S * now.duration_since(at).as_secs_f64();
        let left = refilled.min(MAX_SERVED_AT_ONCE);
        let is_admitted = left >= 1.0;
        self.left = Some((if is_admitted { left - 1.0 } else { left }, now));
        is_admitted
    }
}
