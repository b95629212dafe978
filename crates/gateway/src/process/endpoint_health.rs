//! Endpoints that fail, are suspected, leave or end, and their signs of life.

use crate::process::{Count, Gateway, LivePath, SUSPICION_DURATION};
use sorrellock_platform::Client;
use sorrellock_routing::process::{FailureEvidence, Incarnation, ReportedSuspect};
use spdlog::{info, warn};
use std::net::SocketAddr;
use tokio::time::Instant;

impl Gateway {
    /// Removes an endpoint whose entry is gone.
    pub(crate) fn remove_endpoint(&self, id: &str, source: &str) {
        if self.knowledge.borrow_mut().remove_endpoint(id, Instant::now().into_std()) {
            self.endpoint_gone(id, source);
        }
    }

    /// Logs an endpoint that was removed, and drops its state.
    pub(crate) fn endpoint_gone(&self, id: &str, source: &str) {
        info!("endpoint gone", kv: { endpoint = id, source });
        self.uses.borrow_mut().retain(|incarnation, _| incarnation.id != id);
        self.engines_changed.notify_waiters();
    }

    /// Suspects an endpoint that failed an attempt, so that it gets no new work for a while.
    pub(crate) fn suspect(&self, incarnation: &Incarnation, evidence: FailureEvidence, why: &str) {
        let now = Instant::now();
        if self.fleet_state.borrow_mut().suspect(incarnation, evidence, now, SUSPICION_DURATION) {
            warn!("endpoint suspected", kv: { endpoint = incarnation.id.as_str(), evidence:?, why });
            self.refresh_paths();
            self.engines_changed.notify_waiters();
            self.news.notify_one();
        }
    }

    /// Applies other gateways' reports of failed engines. A report breaks the paths through its engine whose streams
    /// miss their events here, too. It counts for as long as it is repeated: a path that got an event just before the
    /// engine failed misses the next one only later.
    pub(crate) fn apply_reported_failures(&self) {
        let now = Instant::now();
        let mut broken = Vec::new();
        let mut applied = Vec::new();
        for (report, instance) in self.fleet_state.borrow().reported_suspects(now) {
            let breaking = self.paths.borrow().breaking_by_report(report, now);
            if !breaking.is_empty() {
                applied.push((report.clone(), instance.to_owned()));
                broken.extend(breaking);
            }
        }
        for (report, instance) in &applied {
            self.apply_reported_suspect(report, instance, now);
        }
        if broken.is_empty() {
            return;
        }
        self.refresh_paths();
        broken.iter().for_each(|live| live.mark_broken());
    }

    fn apply_reported_suspect(&self, report: &ReportedSuspect, instance: &str, now: Instant) {
        if self.fleet_state.borrow_mut().add_reported_suspect(
            report,
            instance,
            now,
            SUSPICION_DURATION,
        ) {
            warn!("endpoint suspected", kv: {
                endpoint = report.incarnation.id.as_str(), evidence:? = report.evidence,
                why = "reported by another gateway", instance
            });
        }
    }

    /// Records a sign of life of an endpoint, which refutes a suspicion that was wrong or is out of date.
    pub(crate) fn note_alive(&self, incarnation: &Incarnation, sign: &str) {
        let now = Instant::now();
        let Some(suspicion) = self.fleet_state.borrow_mut().refute(incarnation, now) else {
            return;
        };
        self.counters.add(Count::SuspicionsRefuted);
        let source = suspicion.source.to_string();
        info!("suspected endpoint is alive", kv: {
            endpoint = incarnation.id.as_str(), sign, source = source.as_str(),
            after_ms = (now - suspicion.since).as_millis() as u64
        });
    }

    /// Restores a broken path after an event on it: its engines are alive, and may get new work again.
    pub(crate) fn on_path_restored(&self, live: &LivePath) {
        let now = Instant::now();
        for part in &live.path.parts {
            self.note_alive(&part.incarnation, "an event");
            self.fleet_state.borrow_mut().withdraw(&part.incarnation, now);
        }
        self.refresh_paths();
        self.engines_changed.notify_waiters();
    }

    /// Formats for log lines why an endpoint is considered dead, and by whom. Returns `None` if it isn't.
    pub(crate) fn failure_reason(&self, incarnation: &Incarnation) -> Option<String> {
        let now = Instant::now();
        if self.has_ended(incarnation) || self.incarnations.borrow().is_confirmed_ended(incarnation)
        {
            return Some("ended".to_owned());
        }
        let fleet_state = self.fleet_state.borrow();
        if let Some(suspicion) = fleet_state.suspicion(incarnation, now) {
            let ms = (now - suspicion.since).as_millis();
            return Some(format!("suspected by {} for {ms} ms", suspicion.source));
        }
        let is_dead = fleet_state.engine(incarnation, now).is_some_and(|engine| engine.is_dead);
        is_dead.then(|| "declared dead by the lead".to_owned())
    }

    /// Returns the client for queries to an incarnation of an endpoint. Its connections are kept, as new ones have a
    /// cost.
    pub(crate) fn probe(&self, incarnation: &Incarnation, addr: SocketAddr) -> Client {
        let mut probes = self.probes.borrow_mut();
        match probes.get(incarnation) {
            Some(client) if client.peer() == addr => client.clone(),
            _ => {
                let client = Client::new(addr);
                probes.insert(incarnation.clone(), client.clone());
                client
            }
        }
    }

    /// Marks an endpoint as leaving after it reported to this gateway that it accepts no more requests.
    pub(crate) fn mark_leaving(&self, incarnation: &Incarnation) {
        let now = Instant::now();
        if self.fleet_state.borrow_mut().mark_leaving(incarnation, now) {
            let source = self.settings.instance.as_str();
            info!("endpoint reported that it is leaving", kv: {
                endpoint = incarnation.id.as_str(), source
            });
            self.refresh_paths();
            self.engines_changed.notify_waiters();
        }
    }

    /// Returns whether the lead considers an endpoint dead or unreachable, or its incarnation has ended for good.
    pub(crate) fn is_dead(&self, incarnation: &Incarnation) -> bool {
        if self.incarnations.borrow().is_confirmed_ended(incarnation) {
            return true;
        }
        let fleet_state = self.fleet_state.borrow();
        fleet_state.engine(incarnation, Instant::now()).is_some_and(|engine| engine.is_dead)
    }

    /// Returns whether an incarnation is over for good. One that the lead considers dead may only have paused, and still
    /// run what it was sent.
    pub(crate) fn is_confirmed_ended(&self, incarnation: &Incarnation) -> bool {
        self.incarnations.borrow().is_confirmed_ended(incarnation)
    }

    /// Returns whether an endpoint has ended, is considered dead or is suspected.
    pub(crate) fn is_lost(&self, incarnation: &Incarnation) -> bool {
        self.has_ended(incarnation)
            || self.is_dead(incarnation)
            || self.fleet_state.borrow().is_suspect(incarnation, Instant::now())
    }

    /// Returns whether this incarnation of an endpoint is the listed one.
    pub(crate) fn is_listed(&self, incarnation: &Incarnation) -> bool {
        self.knowledge.borrow().is_current(incarnation)
    }
}
