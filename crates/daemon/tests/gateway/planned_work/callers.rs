//! Callers of streams and of plain calls, on a few runtimes: each has one request at a time.

use super::configs::{ACK, MATCH, PERMIT, STATUS};
use super::exchange::{Ask, Exchange, Kept, exchange};
use super::lag::Lag;
use super::rotation::Rotation;
use crate::fleet::new_request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Runtimes that callers share, each on a thread of its own.
const RUNTIMES: usize = 2;
/// Callers begin over this time, so that their streams don't all end together.
const START_MS: u64 = 4_000;
/// A caller's time between two requests, in ms.
const PAUSE_MS: std::ops::Range<u64> = 5..200;
/// The same of plain calls.
const CALL_PAUSE_MS: std::ops::Range<u64> = 20..400;
/// The most time that a refused caller waits, in seconds.
const MOST_RETRY_AFTER: f64 = 4.0;

/// How many callers there are.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    pub streams: usize,
    pub calls: usize,
    pub seed: u64,
}

/// What callers saw, and how late the test's runtimes were meanwhile.
#[derive(Default)]
pub struct Seen {
    pub exchanges: Vec<Exchange>,
    pub lag: Lag,
}

/// Callers at work.
pub struct Callers {
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Seen>>,
}

impl Callers {
    /// Starts them, and what else `beside` has on the first runtime.
    pub fn start(
        crowd: Crowd,
        rotation: &Arc<Rotation>,
        data_centres: &'static [&'static str],
    ) -> Callers {
        let is_over = Arc::new(AtomicBool::new(false));
        let thread = |part: usize| {
            let (is_over, rotation) = (Arc::clone(&is_over), Arc::clone(rotation));
            thread::spawn(move || {
                let runtime = Builder::new_current_thread().enable_all().build();
                runtime.expect("a runtime").block_on(run(
                    part,
                    crowd,
                    rotation,
                    data_centres,
                    is_over,
                ))
            })
        };
        let threads = (0..RUNTIMES).map(thread).collect();
        Callers { is_over, threads }
    }

    /// Lets each end its request, and returns all that they saw.
    pub fn stop(self) -> Seen {
        self.is_over.store(true, Ordering::Relaxed);
        let mut all = Seen::default();
        for thread in self.threads {
            let seen = thread.join().expect("callers");
            all.exchanges.extend(seen.exchanges);
            all.lag.extend(seen.lag);
        }
        all
    }
}

async fn run(
    part: usize,
    crowd: Crowd,
    rotation: Arc<Rotation>,
    data_centres: &'static [&'static str],
    is_over: Arc<AtomicBool>,
) -> Seen {
    let measured = Arc::clone(&is_over);
    let lag = tokio::spawn(Lag::measure(move || measured.load(Ordering::Relaxed)));
    if part == 0 {
        let (rotation, is_over) = (Arc::clone(&rotation), Arc::clone(&is_over));
        tokio::spawn(async move { rotation.follow(|| is_over.load(Ordering::Relaxed)).await });
    }
    let mut callers = JoinSet::new();
    for index in (part..crowd.streams + crowd.calls).step_by(RUNTIMES) {
        let caller = Caller {
            index,
            is_stream: index < crowd.streams,
            data_centre: data_centres[index % data_centres.len()],
            rotation: Arc::clone(&rotation),
            rng: StdRng::seed_from_u64(crowd.seed << 20 | index as u64),
        };
        callers.spawn(caller.call_until(Arc::clone(&is_over)));
    }
    let exchanges = callers.join_all().await.into_iter().flatten().collect();
    Seen { exchanges, lag: lag.await.expect("the lag") }
}

struct Caller {
    index: usize,
    is_stream: bool,
    data_centre: &'static str,
    rotation: Arc<Rotation>,
    rng: StdRng,
}

impl Caller {
    async fn call_until(mut self, is_over: Arc<AtomicBool>) -> Vec<Exchange> {
        let mut seen = Vec::new();
        let mut kept: Kept = None;
        let mut tries = 0;
        // The balancer's hash spreads callers unevenly.
        let hash = self.rng.random_range(0..usize::MAX / 2);
        sleep(Duration::from_millis(self.rng.random_range(0..START_MS))).await;
        while !is_over.load(Ordering::Relaxed) {
            let gateway = self.rotation.choose(self.data_centre, hash, tries);
            let addr = self.rotation.addr(gateway);
            let ask = self.ask();
            let one = exchange(&mut kept, gateway, addr, ask).await;
            let is_served = one.is_served();
            tries = if is_served { 0 } else { tries + 1 };
            if !self.index.is_multiple_of(2) || !is_served {
                kept = None;
            }
            let pause = self.pause(&one);
            seen.push(one);
            sleep(pause).await;
        }
        seen
    }

    fn ask(&self) -> Ask {
        let route = match (self.is_stream, self.index % 5) {
            (true, 0) => PERMIT,
            (true, _) => MATCH,
            (false, 0..2) => ACK,
            (false, _) => STATUS,
        };
        Ask { request: new_request(), route, is_stream: self.is_stream }
    }

    fn pause(&mut self, seen: &Exchange) -> Duration {
        let range = if self.is_stream { PAUSE_MS } else { CALL_PAUSE_MS };
        let pause = Duration::from_millis(self.rng.random_range(range));
        let told = seen.retry_after.unwrap_or_default().clamp(0.0, MOST_RETRY_AFTER);
        pause + Duration::from_secs_f64(told)
    }
}
