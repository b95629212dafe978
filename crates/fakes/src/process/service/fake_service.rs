//! The stand-in for a plain service.

use crate::process::{
    Scheduler, ServiceConfig, ServiceCounters, ServiceRecord, ServiceState, run_scheduler,
};
use sorrellock_http::{Server, ServerConfig};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The stand-in for a plain service: records each call that it runs, and echoes it.
pub struct FakeService {
    state: Arc<ServiceState>,
    server: Server,
}

impl FakeService {
    /// Starts it.
    pub fn start(cfg: ServiceConfig) -> io::Result<FakeService> {
        let (scheduler, items) = Scheduler::new();
        let state = Arc::new(ServiceState::new(&cfg, scheduler));
        let run = Arc::clone(&state);
        run_scheduler("service-later", items, move |req| run.run(*req))?;
        let server_cfg = ServerConfig::new(cfg.addr).with_name("service");
        let handler = Arc::clone(&state);
        let server = Server::start(server_cfg, move |req| handler.arrive(req))?;
        Ok(FakeService { state, server })
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

    /// Makes each call take this long from now on.
    pub fn set_latency(&self, latency: Duration) {
        self.state.set_latency(latency);
    }

    /// Hangs: calls are taken in, and not run until [`unhang`](FakeService::unhang).
    pub fn hang(&self) {
        self.state.latch.shut();
    }

    /// Runs what came while it hung, and goes on.
    pub fn unhang(&self) {
        self.state.latch.open().into_iter().for_each(|req| self.state.start(req));
    }

    /// Refuses the next `calls` calls without running them.
    pub fn refuse_next(&self, calls: u64) {
        self.state.refuse.store(calls, Ordering::Release);
    }

    /// Runs the next `calls` calls, and cuts the connection in place of the answer.
    pub fn lose_answers(&self, calls: u64) {
        self.state.lose_answers.store(calls, Ordering::Release);
    }

    /// What it has counted.
    pub fn counters(&self) -> &ServiceCounters {
        &self.state.counters
    }

    /// What it ran.
    pub fn record(&self) -> ServiceRecord {
        self.state.record.lock().expect("no panic holds this lock").clone()
    }
}

impl Drop for FakeService {
    fn drop(&mut self) {
        self.stop();
    }
}
