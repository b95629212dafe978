//! The callers of a process, and what each connection may make it hold.

use sorrellock_core::process::callers::{
    CallerBounds, CallerTable, ConnectionId, Held, Stage, Verdict,
};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// How often a caller that waits for room looks for others that have stalled meanwhile.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What has happened for want of room since the start. All only grow.
#[derive(Debug, Default)]
pub struct CallerCounters {
    /// Connections refused as there were too many.
    pub refused_connections: AtomicU64,
    /// Connections closed in favour of other callers, as theirs made no progress.
    pub closed_stalled: AtomicU64,
    /// Bodies refused as there was no room for them.
    pub refused_bodies: AtomicU64,
}

/// The callers of a process, shared by their connections.
#[derive(Clone, Debug)]
pub struct Callers {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Wakes those that wait for room.
    freed: Notify,
    counters: CallerCounters,
}

#[derive(Debug)]
struct State {
    table: CallerTable,
    /// Tells each connection whether it is to be closed.
    closing: HashMap<ConnectionId, watch::Sender<bool>>,
}

impl State {
    fn close(&self, id: ConnectionId) {
        if let Some(closing) = self.closing.get(&id) {
            closing.send_replace(true);
        }
    }
}

impl Callers {
    /// Creates the table of a process without callers.
    pub fn new(bounds: CallerBounds) -> Callers {
        let state = State { table: CallerTable::new(bounds), closing: HashMap::new() };
        let (freed, counters) = (Notify::new(), CallerCounters::default());
        Callers { shared: Arc::new(Shared { state: Mutex::new(state), freed, counters }) }
    }

    /// Changes the bounds.
    pub fn set_bounds(&self, bounds: CallerBounds) {
        self.lock().table.set_bounds(bounds);
        self.shared.freed.notify_waiters();
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> CallerBounds {
        self.lock().table.bounds()
    }

    /// Takes in a connection; `None` if it is refused.
    pub fn open(&self) -> Option<CallerSlot> {
        let mut state = self.lock();
        let Some(opened) = state.table.open(Instant::now()) else {
            self.shared.counters.refused_connections.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        if let Some(other) = opened.close {
            state.close(other);
            self.shared.counters.closed_stalled.fetch_add(1, Ordering::Relaxed);
        }
        let (tx, closing) = watch::channel(false);
        state.closing.insert(opened.id, tx);
        Some(CallerSlot { callers: self.clone(), id: opened.id, closing })
    }

    /// Returns what has happened for want of room.
    pub fn counters(&self) -> &CallerCounters {
        &self.shared.counters
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.lock().table.connections()
    }

    /// Returns the bytes that are held for all callers.
    pub fn held_bytes(&self, held: Held) -> usize {
        self.lock().table.held_bytes(held)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().expect("no panic holds this lock")
    }
}

/// The place of one connection among a process's callers, until dropped.
#[derive(Debug)]
pub struct CallerSlot {
    callers: Callers,
    id: ConnectionId,
    closing: watch::Receiver<bool>,
}

impl CallerSlot {
    /// Waits until the connection is to be closed in favour of another caller.
    pub async fn closing(&self) {
        // The sender lives as long as this slot.
        let _ = self.closing.clone().wait_for(|closing| *closing).await;
    }

    /// Returns what callers may make the process hold.
    pub(crate) fn bounds(&self) -> CallerBounds {
        self.callers.bounds()
    }

    /// Holds more bytes for this caller, waiting while room is made. `None` if there is no room.
    pub async fn hold(&self, held: Held, bytes: usize) -> Option<Charge> {
        loop {
            let freed = self.callers.shared.freed.notified();
            match self.decide(held, bytes) {
                Verdict::Granted => return Some(self.charge(held, bytes)),
                Verdict::Wait { .. } => freed.await,
                Verdict::Refused => return None,
            }
        }
    }

    /// Holds more bytes for this caller, waiting until there is room for all of them. `None` if there can never be.
    pub async fn hold_when_free(&self, held: Held, bytes: usize) -> Option<Charge> {
        loop {
            let freed = self.callers.shared.freed.notified();
            let can_fit = bytes <= self.bounds().bytes(held);
            match self.decide(held, bytes) {
                Verdict::Granted => return Some(self.charge(held, bytes)),
                Verdict::Refused if !can_fit => return None,
                // Callers stall with time.
                Verdict::Refused | Verdict::Wait { .. } => {
                    let _ = timeout(RECHECK_INTERVAL, freed).await;
                }
            }
        }
    }

    /// Records what the connection is doing from now on.
    pub(crate) fn set_stage(&self, stage: Stage) {
        self.callers.lock().table.set_stage(self.id, stage, Instant::now());
    }

    /// Records that the caller has sent or read bytes.
    pub(crate) fn on_moved(&self, bytes: usize) {
        self.callers.lock().table.on_moved(self.id, bytes, Instant::now());
    }

    /// Records that bytes can't be written, as the caller doesn't read.
    pub(crate) fn on_blocked(&self) {
        self.callers.lock().table.on_blocked(self.id, Instant::now());
    }

    fn decide(&self, held: Held, bytes: usize) -> Verdict {
        let mut state = self.callers.lock();
        let verdict = state.table.hold(self.id, held, bytes, Instant::now());
        let counters = &self.callers.shared.counters;
        match &verdict {
            Verdict::Granted => {}
            Verdict::Wait { close } => {
                close.iter().for_each(|other| state.close(*other));
                counters.closed_stalled.fetch_add(close.len() as u64, Ordering::Relaxed);
            }
            Verdict::Refused if held == Held::Body => {
                counters.refused_bodies.fetch_add(1, Ordering::Relaxed);
            }
            Verdict::Refused => {}
        }
        verdict
    }

    fn charge(&self, held: Held, bytes: usize) -> Charge {
        Charge { callers: self.callers.clone(), id: self.id, held, bytes }
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        let mut state = self.callers.lock();
        state.table.close(self.id);
        state.closing.remove(&self.id);
        drop(state);
        self.callers.shared.freed.notify_waiters();
    }
}

/// Bytes that are held for a caller, until dropped.
#[derive(Debug)]
pub struct Charge {
    callers: Callers,
    id: ConnectionId,
    held: Held,
    bytes: usize,
}

impl Charge {
    /// Splits off the charge for at most `bytes`.
    pub(crate) fn split(&mut self, bytes: usize) -> Charge {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Charge { callers: self.callers.clone(), id: self.id, held: self.held, bytes }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.callers.lock().table.release(self.id, self.held, self.bytes);
        self.callers.shared.freed.notify_waiters();
    }
}
