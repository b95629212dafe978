//! The stand-in for a model engine.

use crate::process::{
    EngineConfig, EngineCounters, EngineCx, EngineFailure, Record, run_accelerator,
};
use sorrellock_http::{Server, ServerConfig};
use sorrellock_ports::api::{EngineInfo, LoadReport, Order};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

/// Largest body that an engine takes, in bytes: a long prompt's activations in base64.
const MAX_BODY_BYTES: usize = 256 << 20;

/// The stand-in for a model engine: one accelerator, which runs one batch at a time.
pub struct FakeEngine {
    cx: Arc<EngineCx>,
    server: Server,
}

impl FakeEngine {
    /// Starts it.
    pub fn start(cfg: EngineConfig) -> io::Result<FakeEngine> {
        let server_cfg = ServerConfig::new(cfg.addr)
            .with_name("engine")
            .with_workers(ENGINE_WORKERS)
            .with_max_body_bytes(MAX_BODY_BYTES);
        let cx = Arc::new(EngineCx::new(cfg));
        let handler = Arc::clone(&cx);
        let server = Server::start(server_cfg, move |req| handler.arrive(req))?;
        run_accelerator(Arc::clone(&cx))?;
        Ok(FakeEngine { cx, server })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Ends it abruptly: the listener and all connections are closed, and nothing runs any more.
    pub fn stop(&self) {
        self.cx.accelerator.stop();
        self.server.abort();
    }

    /// Hangs: no call is answered and nothing runs until [`unfreeze`](FakeEngine::unfreeze).
    pub fn freeze(&self) {
        self.cx.latch.shut();
        self.cx.accelerator.set_frozen(true);
    }

    /// Goes on after a freeze, with all that came meanwhile.
    pub fn unfreeze(&self) {
        self.cx.latch.open().into_iter().for_each(|req| self.cx.answer(req));
        self.cx.accelerator.set_frozen(false);
    }

    /// Whether it is frozen.
    pub fn is_frozen(&self) -> bool {
        self.cx.latch.is_shut()
    }

    /// Multiplies the time of each batch from now on.
    pub fn set_slow(&self, factor: f64) {
        self.cx.knobs.set_slow(factor);
    }

    /// Lets the next `batches` batches fail.
    pub fn fail_next(&self, failure: EngineFailure, batches: u64) {
        self.cx.knobs.fail_next(failure, batches);
    }

    /// What it has counted.
    pub fn counters(&self) -> &EngineCounters {
        &self.cx.counters
    }

    /// Old load reports, cache events and orders that it forgot, as there were too many.
    pub fn forgotten(&self) -> u64 {
        self.cx.state().forgotten
    }

    /// What it ran.
    pub fn record(&self) -> Record {
        self.cx.state().record.clone()
    }

    /// What it is and holds now.
    pub fn info(&self) -> EngineInfo {
        self.cx.state().info.clone()
    }

    /// The load as it is now, without lag.
    pub fn load_now(&self) -> LoadReport {
        let waiting = self.cx.accelerator.waiting_steps();
        self.cx.state().load(waiting)
    }

    /// The orders that it took, oldest first.
    pub fn orders(&self) -> Vec<Order> {
        self.cx.state().orders.iter().cloned().collect()
    }
}

/// Threads that read calls; the accelerator has its own.
const ENGINE_WORKERS: usize = 2;

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.stop();
    }
}
