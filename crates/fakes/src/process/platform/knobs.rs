//! What can be changed in a running stand-in platform.

use crate::process::{Outage, OutageWindow, PlatformConfig, RateLimit};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// What can be changed in a running stand-in platform.
#[derive(Debug)]
pub(crate) struct Knobs {
    pub(crate) writes: RateLimit,
    pub(crate) reads: RateLimit,
    pub(crate) lose_answers: AtomicU64,
    pub(crate) stale: AtomicBool,
    pub(crate) list_stays: AtomicBool,
    latency_us: AtomicU64,
    lag_us: AtomicU64,
    outage: Mutex<Outage>,
    windows: Mutex<Vec<(Instant, OutageWindow)>>,
}

impl Knobs {
    pub(crate) fn new(cfg: &PlatformConfig) -> Knobs {
        let start = Instant::now();
        Knobs {
            writes: RateLimit::new(cfg.writes_per_s),
            reads: RateLimit::new(cfg.reads_per_s),
            lose_answers: AtomicU64::new(0),
            stale: AtomicBool::new(false),
            list_stays: AtomicBool::new(false),
            latency_us: AtomicU64::new(cfg.latency.as_micros() as u64),
            lag_us: AtomicU64::new(cfg.instance_lag.as_micros() as u64),
            outage: Mutex::default(),
            windows: Mutex::new(cfg.outages.iter().map(|window| (start, *window)).collect()),
        }
    }

    pub(crate) fn latency(&self) -> Duration {
        Duration::from_micros(self.latency_us.load(Ordering::Acquire))
    }

    pub(crate) fn set_latency(&self, latency: Duration) {
        self.latency_us.store(latency.as_micros() as u64, Ordering::Release);
    }

    pub(crate) fn instance_lag(&self) -> Duration {
        Duration::from_micros(self.lag_us.load(Ordering::Acquire))
    }

    pub(crate) fn set_instance_lag(&self, lag: Duration) {
        self.lag_us.store(lag.as_micros() as u64, Ordering::Release);
    }

    pub(crate) fn set_outage(&self, outage: Outage) {
        *self.outage.lock().expect("no panic holds this lock") = outage;
    }

    pub(crate) fn add_window(&self, window: OutageWindow) {
        self.windows.lock().expect("no panic holds this lock").push((Instant::now(), window));
    }

    /// How the platform is out now: by the switch, or by a window.
    pub(crate) fn outage(&self) -> Outage {
        let switched = *self.outage.lock().expect("no panic holds this lock");
        if switched != Outage::None {
            return switched;
        }
        let windows = self.windows.lock().expect("no panic holds this lock");
        let open = windows.iter().find(|(start, window)| {
            let elapsed = start.elapsed();
            elapsed >= window.after && elapsed < window.after + window.lasts
        });
        open.map_or(Outage::None, |(_, window)| window.outage)
    }
}
