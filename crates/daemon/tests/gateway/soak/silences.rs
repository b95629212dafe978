//! Silences of the store and of connections to it, in any order, each followed by a change that all gateways must have in
//! time.

use super::eras::key_of;
use super::world::World;
use crate::fleet::{HOST, KEY, config, new_request};
use rand::RngExt;
use rand::rngs::StdRng;
use sorrellock_stand_ins::StoreMode;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The settings ask for two seconds; a busy machine gets the rest. What a silence hides until a long watch ends comes later.
const IN_FORCE_BEFORE: Duration = Duration::from_secs(6);
/// How often a gateway is asked.
const ASK_EVERY: Duration = Duration::from_millis(20);
/// How long a silence lasts, in ms: from less than a gateway's pause between two watches to several checks.
const SILENCE_MS: std::ops::Range<u64> = 20..3_000;

impl World {
    /// A silence, right after a change or at any time. Says what it did.
    pub fn silence(&mut self, rng: &mut StdRng) -> String {
        let lasts = Duration::from_millis(rng.random_range(SILENCE_MS));
        match rng.random_range(0..5) {
            0 | 1 => {
                self.version += 1;
                self.store.put_and_fall_silent("config", "main", config(self.version, &[KEY]));
                thread::sleep(lasts);
                self.store.set_mode(StoreMode::Up);
                format!("the store is silent for {lasts:?} after configuration {}", self.version)
            }
            2 => {
                self.store.set_mode(StoreMode::Silent);
                thread::sleep(lasts);
                self.store.set_mode(StoreMode::Up);
                format!("the store is silent for {lasts:?}")
            }
            3 => {
                self.nodes.iter().for_each(|node| node.store.silence_open());
                "all connections to the store go silent".into()
            }
            _ => {
                let node = rng.random_range(0..self.nodes.len());
                self.nodes[node].store.silence_open();
                format!("the connections of {} to the store go silent", self.nodes[node].name)
            }
        }
    }

    /// Brings a key of a new configuration, and waits until each gateway knows it. Tells which one had it too late.
    pub fn check_change(&mut self) -> Result<(), String> {
        self.version += 1;
        let key = key_of(self.version);
        let began = Instant::now();
        self.store.put("config", "main", config(self.version, &[KEY, &key]));
        for node in &self.nodes {
            while !(node.process.is_ready() && knows_key(node.process.callers(), &key)) {
                if began.elapsed() > IN_FORCE_BEFORE {
                    return Err(format!("{} has not configuration {}", node.name, self.version));
                }
                thread::sleep(ASK_EVERY);
            }
        }
        Ok(())
    }
}

/// Whether a gateway that is ready has a key in force: whatever else it answers, it is not that the key is unknown.
pub fn knows_key(gateway: SocketAddr, key: &str) -> bool {
    let answer = ureq::post(format!("http://{gateway}/status/a"))
        .config()
        .http_status_as_error(false)
        .timeout_global(Some(IN_FORCE_BEFORE))
        .build()
        .header("host", HOST)
        .header("request-id", new_request())
        .header("deadline-ms", "1000")
        .header("authorization", format!("Bearer {key}"))
        .send("body");
    answer.is_ok_and(|answer| answer.status() != 401)
}
