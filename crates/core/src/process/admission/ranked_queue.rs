//! Waiting requests in order of rank, and of the workspaces' shares within a rank.

use crate::id::{Sequence, WorkspaceId};
use crate::process::admission::QueueBounds;
use crate::process::{FairQueue, Queued};
use std::collections::BTreeMap;
use std::time::Instant;

/// Rank of a request; 0 is the most urgent.
pub type Rank = u8;

/// A waiting request is dropped early only if its expected wait exceeds the time to its deadline
/// by this factor, so that noise in the estimate doesn't drop it.
const DROP_MARGIN: f64 = 1.25;

/// The bound that keeps a request from being queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BoundReached {
    /// The requests of its workspace hold as many bytes as they may.
    Workspace,
    /// All requests of its rank do, and no other workspace holds more than its own.
    Total,
}

/// Waiting requests by rank. Bounds on memory hold for each rank, so that a flood of one rank
/// doesn't keep out another.
#[derive(Debug)]
pub struct RankedQueue {
    bounds: QueueBounds,
    ranks: BTreeMap<Rank, FairQueue>,
    /// Stands for the queue of a rank that never had a request.
    empty: FairQueue,
}

impl RankedQueue {
    /// Creates an empty queue.
    pub fn new(bounds: QueueBounds) -> RankedQueue {
        RankedQueue { bounds, ranks: BTreeMap::new(), empty: FairQueue::new() }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.ranks.values().map(FairQueue::len).sum()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.ranks.values().all(FairQueue::is_empty)
    }

    /// Returns the ranks with waiting requests, the most urgent first.
    pub fn waiting_ranks(&self) -> impl Iterator<Item = Rank> {
        self.ranks.iter().filter(|(_, queue)| !queue.is_empty()).map(|(rank, _)| *rank)
    }

    /// Returns the queue of a rank.
    pub fn rank(&self, rank: Rank) -> &FairQueue {
        self.ranks.get(&rank).unwrap_or(&self.empty)
    }

    /// Returns the queue of a rank for changes.
    pub fn rank_mut(&mut self, rank: Rank) -> &mut FairQueue {
        self.ranks.entry(rank).or_default()
    }

    /// Returns the waiting work that goes before every request of a rank.
    pub fn work_of_higher_ranks(&self, rank: Rank) -> f64 {
        self.ranks.range(..rank).map(|(_, queue)| queue.backlog()).sum()
    }

    /// Returns the work that goes before a new request of a workspace.
    pub fn work_ahead(&self, rank: Rank, workspace: &str, weight: f64) -> f64 {
        self.work_of_higher_ranks(rank) + self.rank(rank).work_ahead(workspace, weight)
    }

    /// Checks whether a request of `bytes` may be queued.
    pub fn check_bounds(
        &self,
        rank: Rank,
        workspace: &str,
        bytes: u64,
    ) -> Result<(), BoundReached> {
        let queue = self.rank(rank);
        let own = queue.bytes_of(workspace) + bytes;
        if own > self.bounds.workspace_bytes {
            return Err(BoundReached::Workspace);
        }
        let largest = queue.largest().map_or(0, |(_, bytes)| bytes);
        if queue.bytes() + bytes > self.bounds.total_bytes && own >= largest {
            return Err(BoundReached::Total);
        }
        Ok(())
    }

    /// Returns the request to drop while a rank holds more bytes than it may: the newest one of the
    /// workspace that holds the most.
    pub fn excess(&self, rank: Rank) -> Option<Sequence> {
        let queue = self.rank(rank);
        if queue.bytes() <= self.bounds.total_bytes {
            return None;
        }
        queue.largest().and_then(|(workspace, _)| queue.newest_of(workspace))
    }

    /// Returns the next request of a rank if its deadline has passed.
    pub fn expired(&self, rank: Rank, now: Instant) -> Option<Sequence> {
        let next = self.rank(rank).peek()?;
        (next.deadline <= now).then_some(next.ticket)
    }

    /// Returns the requests that can't start before their deadline if `rate` work is done a second.
    pub fn late(&self, rate: f64, now: Instant) -> Vec<(Rank, Sequence)> {
        let mut late = Vec::new();
        let mut before = 0.0;
        for (rank, queue) in &self.ranks {
            for (_, queued, own) in queue.waiting() {
                let left = queued.deadline.saturating_duration_since(now).as_secs_f64();
                let ahead = before + queue.ahead_of(queued.weight, own);
                if ahead / rate > left * DROP_MARGIN {
                    late.push((*rank, queued.ticket));
                }
            }
            before += queue.backlog();
        }
        late
    }

    /// Removes a waiting request of any rank.
    pub fn remove(&mut self, ticket: Sequence) -> Option<(Rank, WorkspaceId, Queued)> {
        self.ranks.iter_mut().find_map(|(rank, queue)| {
            let (workspace, queued) = queue.remove(ticket)?;
            Some((*rank, workspace, queued))
        })
    }
}
