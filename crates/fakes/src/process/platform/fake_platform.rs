//! The stand-in for the platform.

use crate::process::{
    Event, Knobs, Outage, OutageWindow, PlatformConfig, PlatformCounters, PlatformState, Scheduler,
    run_scheduler,
};
use sorrellock_core::id::Revision;
use sorrellock_http::{Server, ServerConfig};
use sorrellock_ports::api::{Instance, Listing, MAX_VALUE_BYTES, Object};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Room that a body has above the largest value, so that the store itself can refuse it.
const BODY_SLACK: usize = 4 << 10;

/// The stand-in for the platform: object API and list of instances.
pub struct FakePlatform {
    state: Arc<PlatformState>,
    server: Server,
}

impl FakePlatform {
    /// Starts it.
    pub fn start(cfg: PlatformConfig) -> io::Result<FakePlatform> {
        let (scheduler, items) = Scheduler::new();
        let state = Arc::new(PlatformState::new(Knobs::new(&cfg), scheduler));
        let run = Arc::clone(&state);
        run_scheduler("platform-later", items, move |event| run.on_event(event))?;
        let server_cfg = ServerConfig::new(cfg.addr)
            .with_name("platform")
            .with_max_body_bytes(MAX_VALUE_BYTES + BODY_SLACK);
        let handler = Arc::clone(&state);
        let server = Server::start(server_cfg, move |req| handler.arrive(req))?;
        let platform = FakePlatform { state, server };
        cfg.outages.iter().for_each(|window| platform.schedule_edges(window));
        Ok(platform)
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Ends it abruptly: the listener and all connections are closed.
    pub fn stop(&self) {
        self.state.scheduler.stop();
        self.server.abort();
    }

    /// What it has counted.
    pub fn counters(&self) -> &PlatformCounters {
        &self.state.counters
    }

    /// Makes each call take this long from now on.
    pub fn set_latency(&self, latency: Duration) {
        self.state.knobs.set_latency(latency);
    }

    /// Takes this many writes and reads a second from now on; 0 for any number.
    pub fn set_rates(&self, writes_per_s: u32, reads_per_s: u32) {
        self.state.knobs.writes.set(writes_per_s);
        self.state.knobs.reads.set(reads_per_s);
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.state.knobs.set_outage(outage);
        self.state.on_outage_edge();
    }

    /// Lets the list of instances be read during outages of the store, or no longer.
    pub fn set_list_stays(&self, stays: bool) {
        self.state.knobs.list_stays.store(stays, Ordering::Release);
    }

    /// Adds an outage that comes by itself, counted from now.
    pub fn add_outage(&self, window: OutageWindow) {
        self.state.knobs.add_window(window);
        self.schedule_edges(&window);
    }

    /// Loses the answers of the next `writes` writes that take effect.
    pub fn lose_answers(&self, writes: u64) {
        self.state.knobs.lose_answers.store(writes, Ordering::Release);
    }

    /// Answers gets and lists from a copy of the present state from now on, or no longer.
    pub fn set_stale_reads(&self, stale: bool) {
        let mut data = self.state.data();
        data.old_copy = stale.then(|| data.store.clone());
        self.state.knobs.stale.store(stale, Ordering::Release);
    }

    /// Sets the list of instances, to be shown after the lag.
    pub fn set_instances(&self, instances: Vec<Instance>) {
        self.state.show_instances(instances);
    }

    /// Shows changes of the list of instances this much later.
    pub fn set_instance_lag(&self, lag: Duration) {
        self.state.knobs.set_instance_lag(lag);
    }

    /// Writes an object without a condition, and returns its version.
    pub fn put_direct(&self, key: &str, value: &[u8]) -> Revision {
        self.state.write(key, value)
    }

    /// Deletes an object without a condition; tells whether there was one.
    pub fn delete_direct(&self, key: &str) -> bool {
        self.state.erase(key)
    }

    /// Reads an object.
    pub fn get_direct(&self, key: &str) -> Option<Object> {
        self.state.data().store.get(key)
    }

    /// Lists objects by prefix.
    pub fn list_direct(&self, prefix: &str) -> Listing {
        self.state.data().store.list(prefix)
    }

    /// The revision of the store.
    pub fn revision(&self) -> Revision {
        self.state.data().store.revision()
    }

    /// How many watches wait now.
    pub fn waiting_watches(&self) -> usize {
        self.state.data().watches.len()
    }

    fn schedule_edges(&self, window: &OutageWindow) {
        let begin = Instant::now() + window.after;
        self.state.scheduler.schedule(begin, Event::OutageEdge);
        // The window ends just before its end is looked at.
        let end = begin + window.lasts + Duration::from_millis(1);
        self.state.scheduler.schedule(end, Event::OutageEdge);
    }
}

impl Drop for FakePlatform {
    fn drop(&mut self) {
        self.stop();
    }
}
