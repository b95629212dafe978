//! Engines that name, change and withdraw limits while gateways end, pause and lose the store.

use super::callers::Callers;
use super::world::World;
use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use std::thread;
use std::time::{Duration, Instant};

/// Values of the limits that engines name; those that can't be read among them.
const LIMITS: [&[&str]; 6] = [&["0"], &["0.5"], &["3"], &["12"], &["-1"], &["1", "2"]];
/// The limit that all engines name in the end, in requests a second.
const LAST_LIMIT: f64 = 2.5;
/// Within this time of the first naming, gateways keep to a limit.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// The window in which requests are counted, the factor and the number of requests by which it may exceed the limit.
const WINDOW: Duration = Duration::from_secs(4);
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;

impl World {
    /// An engine names a limit, or none. Says what it did.
    pub fn name_limit(&mut self, rng: &mut StdRng) -> String {
        let (engine, _) = self.engines.choose(rng).expect("there are engines");
        let limits = if rng.random() { LIMITS.choose(rng).copied() } else { None };
        engine.name_limits(limits.unwrap_or_default());
        format!("{} names {:?} as its limit", engine.id(), limits.unwrap_or_default())
    }

    /// Has all engines name a limit while nothing else happens. Tells which one gets too many requests.
    pub fn check_limits(&self) -> Result<(), String> {
        let limit = LAST_LIMIT.to_string();
        self.engines.iter().for_each(|(engine, _)| engine.name_limits(&[&limit]));
        let callers = Callers::start(self);
        // Streams that began before take their time until their engine can name it.
        thread::sleep(STABLE_WINDOW * 2);
        let from = Instant::now();
        thread::sleep(WINDOW);
        self.engines.iter().for_each(|(engine, _)| engine.name_limits(&[]));
        callers.stop();
        let allowed = FACTOR * LAST_LIMIT * WINDOW.as_secs_f64() + SLACK;
        for (engine, _) in &self.engines {
            let in_window = |at: &Instant| *at >= from && *at < from + WINDOW;
            let requests = engine.seen().requests.into_iter().filter(in_window).count();
            if requests as f64 > allowed {
                return Err(format!("{} got {requests} requests, {allowed} allowed", engine.id()));
            }
        }
        Ok(())
    }
}
