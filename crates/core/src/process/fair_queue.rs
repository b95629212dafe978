//! Weighted fair queueing: workspaces share work by weight, not the number of requests.
//!
//! Start-time fair queueing over virtual time. A start is charged an estimate, which the end of the
//! request corrects, so that in the long run only the work done counts.

use crate::id::{Sequence, WorkspaceId};
use crate::process::admission::Mean;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

/// Lower bound of weights, so that no charge is infinite.
pub const MIN_WEIGHT: f64 = 1e-3;
/// From this many workspaces on, idle ones without a credit or debt are removed.
const SWEEP_AT: usize = 1024;

/// A waiting request.
#[derive(Clone, Debug, PartialEq)]
pub struct Queued {
    /// Number of the request; increases with each arrival.
    pub ticket: Sequence,
    /// Weight of the workspace for this kind of request.
    pub weight: f64,
    /// Work known before the start, in the unit of the queue.
    pub known: f64,
    /// Total expected work.
    pub cost: f64,
    /// Bytes that it holds while it waits.
    pub bytes: u64,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
}

/// Waiting requests by workspace.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: f64,
    flows: HashMap<WorkspaceId, Flow>,
    /// Workspaces with waiting requests, by the virtual start time of their first request.
    by_start: BTreeSet<(Tag, WorkspaceId)>,
    /// Workspaces with waiting requests, by the bytes that these hold.
    by_bytes: BTreeSet<(u64, WorkspaceId)>,
    owners: HashMap<Sequence, WorkspaceId>,
    backlog: f64,
    weights: f64,
    bytes: u64,
    sweep_at: usize,
}

/// State of one workspace.
#[derive(Debug, Default)]
struct Flow {
    /// Virtual finish time of the last started request: the start time of the next.
    finish: f64,
    running: u32,
    waiting: BTreeMap<Sequence, Queued>,
    cost: f64,
    bytes: u64,
    /// Weight included in `FairQueue::weights` while requests wait.
    weight: f64,
    /// Mean work of its requests beyond the known work.
    extra_work: Mean,
}

/// Virtual time with a total order, for use as a key.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Tag(f64);

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Tag) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Tag) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new() -> FairQueue {
        FairQueue { sweep_at: SWEEP_AT, ..FairQueue::default() }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// Returns the expected work of all waiting requests.
    pub fn backlog(&self) -> f64 {
        self.backlog.max(0.0)
    }

    /// Returns the bytes that the waiting requests hold.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns the bytes that the waiting requests of a workspace hold.
    pub fn bytes_of(&self, workspace: &str) -> u64 {
        self.flows.get(workspace).map_or(0, |flow| flow.bytes)
    }

    /// Returns the number of tracked workspaces.
    pub fn workspaces(&self) -> usize {
        self.flows.len()
    }

    /// Returns the workspace whose waiting requests hold the most bytes, and these bytes.
    pub fn largest(&self) -> Option<(&WorkspaceId, u64)> {
        self.by_bytes.last().map(|(bytes, workspace)| (workspace, *bytes))
    }

    /// Returns the work that goes before a new request of a workspace.
    pub fn work_ahead(&self, workspace: &str, weight: f64) -> f64 {
        let weight = weight.max(MIN_WEIGHT);
        let Some(flow) = self.flows.get(workspace) else { return self.ahead_of_new(weight, 0.0) };
        let owed = (flow.finish - self.virtual_time).max(0.0) * weight;
        let own = if flow.waiting.is_empty() { owed } else { owed + flow.cost };
        self.ahead_of_new(weight, own)
    }

    /// Appends a request to those of its workspace.
    pub fn push(&mut self, workspace: &str, queued: Queued) {
        self.sweep();
        if !self.flows.contains_key(workspace) {
            self.flows.insert(workspace.to_owned(), Flow::default());
        }
        self.remove_from_indexes(workspace);
        let flow = self.flows.get_mut(workspace).expect("inserted above");
        if flow.waiting.is_empty() {
            flow.finish = flow.finish.max(self.virtual_time);
        }
        flow.cost += queued.cost;
        flow.bytes += queued.bytes;
        self.backlog += queued.cost;
        self.bytes += queued.bytes;
        self.owners.insert(queued.ticket, workspace.to_owned());
        flow.waiting.insert(queued.ticket, queued);
        self.add_to_indexes(workspace);
    }

    /// Returns the request that starts next.
    pub fn peek(&self) -> Option<&Queued> {
        let (_, workspace) = self.by_start.first()?;
        self.flows.get(workspace)?.waiting.first_key_value().map(|(_, queued)| queued)
    }

    /// Removes the request that starts next and charges its workspace for it.
    pub fn pop(&mut self) -> Option<(WorkspaceId, Queued)> {
        let (Tag(start), workspace) = self.by_start.first()?.clone();
        let ticket = *self.flows.get(&workspace)?.waiting.first_key_value()?.0;
        let queued = self.take(&workspace, ticket)?;
        self.virtual_time = self.virtual_time.max(start);
        self.remove_from_indexes(&workspace);
        if let Some(flow) = self.flows.get_mut(&workspace) {
            flow.finish = start + queued.cost / queued.weight.max(MIN_WEIGHT);
            flow.running += 1;
        }
        self.add_to_indexes(&workspace);
        Some((workspace, queued))
    }

    /// Returns the mean work of a workspace's requests beyond the known work.
    pub fn mean_extra_work(&self, workspace: &str) -> Option<f64> {
        self.flows.get(workspace)?.extra_work.get()
    }

    /// Records the work of an ended request beyond the known work.
    pub fn record_extra_work(&mut self, workspace: &str, extra_work: f64) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.extra_work.add(extra_work);
        }
    }

    /// Records the end of a started request; `correction` is the work done minus the charge.
    pub fn finish(&mut self, workspace: &str, weight: f64, correction: f64) {
        self.remove_from_indexes(workspace);
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.running = flow.running.saturating_sub(1);
            flow.finish += correction / weight.max(MIN_WEIGHT);
        }
        self.add_to_indexes(workspace);
    }

    /// Removes a waiting request.
    pub fn remove(&mut self, ticket: Sequence) -> Option<(WorkspaceId, Queued)> {
        let workspace = self.owners.get(&ticket)?.clone();
        let queued = self.take(&workspace, ticket)?;
        Some((workspace, queued))
    }

    /// Returns the newest waiting request of a workspace.
    pub fn newest_of(&self, workspace: &str) -> Option<Sequence> {
        self.flows.get(workspace)?.waiting.last_key_value().map(|(ticket, _)| *ticket)
    }

    /// Iterates over all waiting requests, each with the work of its workspace that goes before it.
    pub fn waiting(&self) -> impl Iterator<Item = (&WorkspaceId, &Queued, f64)> {
        self.flows.iter().flat_map(|(workspace, flow)| {
            let mut ahead = 0.0;
            flow.waiting.values().map(move |queued| {
                let before = ahead;
                ahead += queued.cost;
                (workspace, queued, before)
            })
        })
    }

    /// Returns the work that goes before a request, of which `own` belongs to its workspace. The
    /// other workspaces get their shares in the meantime, but no more than they have waiting.
    pub fn ahead_of(&self, weight: f64, own: f64) -> f64 {
        let weight = weight.max(MIN_WEIGHT);
        (own * self.weights.max(weight) / weight).min(self.backlog())
    }

    fn ahead_of_new(&self, weight: f64, own: f64) -> f64 {
        let others = self.weights.max(0.0);
        (own * (others + weight) / weight).min(self.backlog())
    }

    fn take(&mut self, workspace: &str, ticket: Sequence) -> Option<Queued> {
        self.remove_from_indexes(workspace);
        let flow = self.flows.get_mut(workspace)?;
        let queued = flow.waiting.remove(&ticket);
        if let Some(queued) = &queued {
            flow.cost -= queued.cost;
            flow.bytes -= queued.bytes;
            self.backlog -= queued.cost;
            self.bytes -= queued.bytes;
            self.owners.remove(&ticket);
        }
        self.add_to_indexes(workspace);
        if self.is_empty() {
            self.backlog = 0.0;
        }
        queued
    }

    /// Removes a workspace from the indexes, before its keys there change.
    fn remove_from_indexes(&mut self, workspace: &str) {
        let Some(flow) = self.flows.get(workspace) else { return };
        if flow.waiting.is_empty() {
            return;
        }
        self.weights -= flow.weight;
        self.by_start.remove(&(Tag(flow.finish), workspace.to_owned()));
        self.by_bytes.remove(&(flow.bytes, workspace.to_owned()));
    }

    /// Adds a workspace to the indexes if it has waiting requests.
    fn add_to_indexes(&mut self, workspace: &str) {
        let Some(flow) = self.flows.get_mut(workspace) else { return };
        let Some((_, first)) = flow.waiting.first_key_value() else { return };
        flow.weight = first.weight.max(MIN_WEIGHT);
        self.weights += flow.weight;
        self.by_start.insert((Tag(flow.finish), workspace.to_owned()));
        self.by_bytes.insert((flow.bytes, workspace.to_owned()));
    }

    /// Removes workspaces whose state equals that of a new one.
    fn sweep(&mut self) {
        if self.flows.len() < self.sweep_at.max(SWEEP_AT) {
            return;
        }
        let now = self.virtual_time;
        let idle = |flow: &Flow| flow.running == 0 && flow.waiting.is_empty() && flow.finish <= now;
        self.flows.retain(|_, flow| !idle(flow));
        self.sweep_at = self.flows.len() * 2;
    }
}
