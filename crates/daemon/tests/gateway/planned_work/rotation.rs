//! Which gateways get new connections, as the platform's balancer has it: two questions in a row without a 200 take one out.

use crate::planned_work::exchange::is_ready;
use sorrellock_stand_ins::{CALLERS_PORT, READINESS_PORT};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// How often each gateway is asked.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
/// Answers that miss in a row until a gateway is out.
const MOST_MISSES: u32 = 2;

/// A gateway as callers see it.
struct Target {
    ip: IpAddr,
    data_centre: &'static str,
    misses: AtomicU32,
}

/// All gateways, as callers see them.
pub struct Rotation {
    targets: Vec<Target>,
}

impl Rotation {
    pub fn new(gateways: impl Iterator<Item = (IpAddr, &'static str)>) -> Rotation {
        let target = |(ip, data_centre)| Target { ip, data_centre, misses: AtomicU32::new(0) };
        Rotation { targets: gateways.map(target).collect() }
    }

    /// Where a caller's new connection goes: always to the same gateway of its data centre while that is in, and on a retry to
    /// another one. `hash` tells callers apart.
    pub fn choose(&self, data_centre: &str, hash: usize, tries: usize) -> usize {
        let of_data_centre = |index: &usize| self.targets[*index].data_centre == data_centre;
        let near: Vec<usize> = (0..self.targets.len()).filter(of_data_centre).collect();
        let is_in =
            |index: &&usize| self.targets[**index].misses.load(Ordering::Relaxed) < MOST_MISSES;
        let open: Vec<usize> = near.iter().filter(is_in).copied().collect();
        // With fewer than half in rotation, all of them are used.
        let all = if open.len() * 2 < near.len() { near } else { open };
        all[(hash + tries) % all.len()]
    }

    /// Where callers connect to a gateway.
    pub fn addr(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.targets[index].ip, CALLERS_PORT)
    }

    /// Asks all gateways whether they are ready until `is_over`.
    pub async fn follow(&self, is_over: impl Fn() -> bool) {
        while !is_over() {
            let mut asked = JoinSet::new();
            for (index, target) in self.targets.iter().enumerate() {
                let addr = SocketAddr::new(target.ip, READINESS_PORT);
                asked.spawn(async move { (index, is_ready(addr, ASK_INTERVAL).await) });
            }
            for (index, is_ready) in asked.join_all().await {
                let misses = &self.targets[index].misses;
                let now = if is_ready { 0 } else { misses.load(Ordering::Relaxed) + 1 };
                misses.store(now, Ordering::Relaxed);
            }
            sleep(ASK_INTERVAL).await;
        }
    }
}
