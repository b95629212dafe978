//! Weighted fair queueing: workspaces share by weight what is done for them, not how often.
//!
//! Start-time fair queueing over virtual time. A start is charged by an estimate; the end of the
//! request corrects it, so that in the long run only the work that was done counts.

use crate::id::{Sequence, WorkspaceId};
use crate::process::admission::Mean;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

/// Weights below this count as this, so that no charge is infinite.
pub const LEAST_WEIGHT: f64 = 1e-3;
/// Past this many workspaces, those to which nothing is owed and that owe nothing are forgotten.
const SWEEP_AT: usize = 1024;

/// A request that waits for its turn.
#[derive(Clone, Debug, PartialEq)]
pub struct Queued {
    /// The request; rises with each arrival.
    pub ticket: Sequence,
    /// Share of the workspace for this kind of request.
    pub weight: f64,
    /// Work that is known beforehand, in the unit of the queue.
    pub known: f64,
    /// The whole work that it is expected to be.
    pub cost: f64,
    /// What it holds while it waits, in bytes.
    pub bytes: u64,
    /// When nobody needs it any more.
    pub deadline: Instant,
}

/// Requests that wait, by workspace.
#[derive(Debug, Default)]
pub struct FairQueue {
    virtual_time: f64,
    flows: HashMap<WorkspaceId, Flow>,
    /// Workspaces with waiting requests, by the virtual start of the first of them.
    order: BTreeSet<(Tag, WorkspaceId)>,
    /// Workspaces with waiting requests, by the bytes these hold.
    sizes: BTreeSet<(u64, WorkspaceId)>,
    owners: HashMap<Sequence, WorkspaceId>,
    backlog: f64,
    weights: f64,
    bytes: u64,
    sweep_at: usize,
}

#[derive(Debug, Default)]
struct Flow {
    finish: f64,
    running: u32,
    waiting: BTreeMap<Sequence, Queued>,
    cost: f64,
    bytes: u64,
    /// Weight counted in `FairQueue::weights` while requests wait.
    weight: f64,
    /// Work that its requests came to beyond what was known beforehand.
    made: Mean,
}

/// A virtual time that can be ordered.
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
    /// An empty queue.
    pub fn new() -> FairQueue {
        FairQueue { sweep_at: SWEEP_AT, ..FairQueue::default() }
    }

    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.owners.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.owners.is_empty()
    }

    /// The work that waits.
    pub fn backlog(&self) -> f64 {
        self.backlog.max(0.0)
    }

    /// What the waiting requests hold, in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// What the waiting requests of a workspace hold, in bytes.
    pub fn bytes_of(&self, workspace: &str) -> u64 {
        self.flows.get(workspace).map_or(0, |flow| flow.bytes)
    }

    /// How many workspaces are remembered.
    pub fn workspaces(&self) -> usize {
        self.flows.len()
    }

    /// The workspace whose waiting requests hold the most, with these bytes.
    pub fn largest(&self) -> Option<(&WorkspaceId, u64)> {
        self.sizes.last().map(|(bytes, workspace)| (workspace, *bytes))
    }

    /// The work that goes before a new request of a workspace.
    pub fn work_ahead(&self, workspace: &str, weight: f64) -> f64 {
        let weight = weight.max(LEAST_WEIGHT);
        let Some(flow) = self.flows.get(workspace) else { return self.ahead_of_new(weight, 0.0) };
        let owed = (flow.finish - self.virtual_time).max(0.0) * weight;
        let own = if flow.waiting.is_empty() { owed } else { owed + flow.cost };
        self.ahead_of_new(weight, own)
    }

    /// Adds a request behind those of its workspace.
    pub fn push(&mut self, workspace: &str, queued: Queued) {
        self.sweep();
        if !self.flows.contains_key(workspace) {
            self.flows.insert(workspace.to_owned(), Flow::default());
        }
        self.unlink(workspace);
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
        self.link(workspace);
    }

    /// The request whose turn is next.
    pub fn peek(&self) -> Option<&Queued> {
        let (_, workspace) = self.order.first()?;
        self.flows.get(workspace)?.waiting.first_key_value().map(|(_, queued)| queued)
    }

    /// Starts the request whose turn it is, and charges its workspace for it.
    pub fn pop(&mut self) -> Option<(WorkspaceId, Queued)> {
        let (Tag(start), workspace) = self.order.first()?.clone();
        let ticket = *self.flows.get(&workspace)?.waiting.first_key_value()?.0;
        let queued = self.take(&workspace, ticket)?;
        self.virtual_time = self.virtual_time.max(start);
        self.unlink(&workspace);
        if let Some(flow) = self.flows.get_mut(&workspace) {
            flow.finish = start + queued.cost / queued.weight.max(LEAST_WEIGHT);
            flow.running += 1;
        }
        self.link(&workspace);
        Some((workspace, queued))
    }

    /// Work that the requests of a workspace come to beyond what is known beforehand.
    pub fn mean_made(&self, workspace: &str) -> Option<f64> {
        self.flows.get(workspace)?.made.get()
    }

    /// A started request made `made` beyond what was known beforehand.
    pub fn learn_made(&mut self, workspace: &str, made: f64) {
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.made.add(made);
        }
    }

    /// A started request ended; `correction` is the work done less the work charged.
    pub fn finish(&mut self, workspace: &str, weight: f64, correction: f64) {
        self.unlink(workspace);
        if let Some(flow) = self.flows.get_mut(workspace) {
            flow.running = flow.running.saturating_sub(1);
            flow.finish += correction / weight.max(LEAST_WEIGHT);
        }
        self.link(workspace);
    }

    /// Takes a request out that needs no turn any more.
    pub fn remove(&mut self, ticket: Sequence) -> Option<(WorkspaceId, Queued)> {
        let workspace = self.owners.get(&ticket)?.clone();
        let queued = self.take(&workspace, ticket)?;
        Some((workspace, queued))
    }

    /// The newest waiting request of a workspace.
    pub fn newest_of(&self, workspace: &str) -> Option<Sequence> {
        self.flows.get(workspace)?.waiting.last_key_value().map(|(ticket, _)| *ticket)
    }

    /// All waiting requests, each with the work of its workspace that goes before it.
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

    /// The work that goes before a request, of which `own` is of its workspace: the others get
    /// their shares meanwhile, but no more than what they have waiting.
    pub fn ahead_of(&self, weight: f64, own: f64) -> f64 {
        let weight = weight.max(LEAST_WEIGHT);
        (own * self.weights.max(weight) / weight).min(self.backlog())
    }

    fn ahead_of_new(&self, weight: f64, own: f64) -> f64 {
        let others = self.weights.max(0.0);
        (own * (others + weight) / weight).min(self.backlog())
    }

    fn take(&mut self, workspace: &str, ticket: Sequence) -> Option<Queued> {
        self.unlink(workspace);
        let flow = self.flows.get_mut(workspace)?;
        let queued = flow.waiting.remove(&ticket);
        if let Some(queued) = &queued {
            flow.cost -= queued.cost;
            flow.bytes -= queued.bytes;
            self.backlog -= queued.cost;
            self.bytes -= queued.bytes;
            self.owners.remove(&ticket);
        }
        self.link(workspace);
        if self.is_empty() {
            self.backlog = 0.0;
        }
        queued
    }

    /// Takes a workspace out of the orders, before its place there changes.
    fn unlink(&mut self, workspace: &str) {
        let Some(flow) = self.flows.get(workspace) else { return };
        if flow.waiting.is_empty() {
            return;
        }
        self.weights -= flow.weight;
        self.order.remove(&(Tag(flow.finish), workspace.to_owned()));
        self.sizes.remove(&(flow.bytes, workspace.to_owned()));
    }

    /// Puts a workspace back into the orders, if requests of it wait.
    fn link(&mut self, workspace: &str) {
        let Some(flow) = self.flows.get_mut(workspace) else { return };
        let Some((_, first)) = flow.waiting.first_key_value() else { return };
        flow.weight = first.weight.max(LEAST_WEIGHT);
        self.weights += flow.weight;
        self.order.insert((Tag(flow.finish), workspace.to_owned()));
        self.sizes.insert((flow.bytes, workspace.to_owned()));
    }

    /// Forgets workspaces that a new one would start like.
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
