//! Replacement of a fleet's instances, one after another, as the platform does it.

use crate::local_fleet::{start_engine, start_entry, start_service};
use crate::{LocalEngine, LocalFleet, LocalService};
use eyre::{Result, bail, ensure};
use sorrellock_daemon::entry::process::Entry;
use sorrellock_daemon::process::Dump;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// How long an instance may take to become known, and how long one may take to leave.
const WAIT: Duration = Duration::from_secs(30);
/// How often a wait looks again.
const POLL: Duration = Duration::from_millis(5);

impl LocalFleet {
    /// Starts another engine in place of one, and then lets that one leave gracefully; returns it
    /// with its daemon ended and its stand-in still up, for its record.
    pub fn replace_engine(&mut self, index: usize) -> Result<LocalEngine> {
        let stage = usize::from(self.engines[index].stage);
        let name = self.new_name();
        let new = start_engine(&self.cfg, &self.platform, stage, &name)?;
        let addr = new.beside.peer().addr;
        let old = std::mem::replace(&mut self.engines[index], new);
        self.publish_instances();
        self.wait_until_serving(addr)?;
        ensure!(old.beside.drain(WAIT), "an engine's daemon did not end in {WAIT:?}");
        old.beside.stop();
        Ok(old)
    }

    /// As [`replace_engine`](LocalFleet::replace_engine), for an instance of the plain service.
    pub fn replace_service(&mut self, index: usize) -> Result<LocalService> {
        let name = self.new_name();
        let new = start_service(&self.cfg, &self.platform, &name)?;
        let addr = new.beside.peer().addr;
        let old = std::mem::replace(&mut self.services[index], new);
        self.publish_instances();
        self.wait_until_serving(addr)?;
        ensure!(old.beside.drain(WAIT), "a service's daemon did not end in {WAIT:?}");
        old.beside.stop();
        Ok(old)
    }

    /// Starts another entry in place of one, and returns that one, which is still to be drained.
    pub fn replace_entry(&mut self, index: usize) -> Result<Entry> {
        let new = start_entry(&self.cfg, &self.platform)?;
        let old = std::mem::replace(&mut self.entries[index], new);
        self.publish_instances();
        self.wait_until_known()?;
        Ok(old)
    }

    /// A name that no endpoint has had.
    fn new_name(&mut self) -> String {
        self.replaced += 1;
        format!("new-{}", self.replaced)
    }

    /// Waits until every entry may send work to the daemon at `addr`.
    fn wait_until_serving(&self, addr: SocketAddr) -> Result<()> {
        let end = Instant::now() + WAIT;
        let addr = addr.to_string();
        let knows = |entry: &Entry| {
            let dump = entry.state().dump();
            let fleet = dump["fleet"].as_array().cloned().unwrap_or_default();
            let at = |fact: &serde_json::Value| fact["peer"]["addr"] == addr.as_str();
            fleet.iter().any(|fact| at(fact) && fact["endpoints"][0].is_object())
        };
        while !self.entries.iter().all(knows) {
            if Instant::now() > end {
                bail!("the entries don't know the daemon at {addr} after {WAIT:?}");
            }
            thread::sleep(POLL);
        }
        Ok(())
    }
}
