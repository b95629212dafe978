//! A stream that lost its run goes on in another one.

use super::relay::{CALLER_PATIENCE, OnPath, Relay, STREAM_SILENCE};
use super::repath::Repath;
use crate::process::{Count, check_path};
use crate::request::run::{NotBegun, begin, has_other_path};
use sorrellock_routing::request::{Evidence, FaultEvidence, RunFault};
use spdlog::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The wait before another try to go on, after there was no place.
const MEND_RETRY: Duration = Duration::from_millis(60);

impl Relay {
    /// The run is lost or stalls: goes on over another path. Whether the stream goes on.
    pub(super) async fn lost(&mut self, fault: RunFault) -> bool {
        let broke_off = matches!(fault, RunFault::ConnectionBroke(_));
        let why = &fault.to_string();
        self.log_lost(&fault, why);
        let mut ended = None;
        // The engine stops its work when its connection closes.
        self.repath = Repath::default();
        self.on_path = OnPath::Served;
        if let Some(run) = self.run.take() {
            let live = &run.place.live;
            let first = &live.path.first().life;
            if !live.is_broken.get() && self.last_event.elapsed() >= STREAM_SILENCE {
                // Its connection may be what went silent, and others of that age with it.
                self.gateway.pool.borrow_mut().give_up(first, self.last_event);
            }
            if !self.gateway.is_listed(first) {
                // An engine without an entry that breaks off has ended.
                ended = Some(first.clone());
            }
            check_path(&self.gateway, live);
            self.attempts.on_failed(first, Evidence::MayHaveRun);
            self.avoid.push(Rc::clone(live));
        }
        if let Some(ended) = ended.filter(|_| broke_off) {
            self.attempts.forget_lost(|life| *life == ended);
        }
        if !self.call.route.semantics.may_repeat() {
            return self.cut(Count::Cut, &format!("{why}; it may not be resumed"));
        }
        self.events.restart();
        self.mends += 1;
        self.mend(why).await
    }

    /// Logs what the doubt of a run rests on, with what is known of its engines and of other paths.
    fn log_lost(&self, fault: &RunFault, why: &str) {
        let gateway = &self.gateway;
        let evidence = fault.evidence();
        gateway.counters.add(match evidence {
            FaultEvidence::Connection => Count::RunsBroken,
            FaultEvidence::Suspicion => Count::RunsSuspected,
            FaultEvidence::Silence => Count::RunsSilent,
        });
        let live = self.run.as_ref().map(|run| &run.place.live);
        let parts = live.into_iter().flat_map(|live| &live.path.parts);
        let judged = parts.filter_map(|part| {
            Some(format!("{}: {}", part.life.id, gateway.judgement(&part.life)?))
        });
        let engines = judged.collect::<Vec<_>>().join("; ");
        let has_other =
            live.is_some_and(|live| has_other_path(gateway, &self.call, &self.attempts, live));
        let silent_ms = self.last_event.elapsed().as_millis() as u64;
        let run_ms = self.run_began.elapsed().as_millis() as u64;
        let config_in_force = gateway.knowledge.borrow().config_version();
        warn!("stream lost its run", kv: {
            request = self.call.id(), why, evidence:?, engines = engines.as_str(),
            after:? = self.events.last(), silent_ms, run_ms, has_other,
            may_repeat = gateway.may_repeat(&self.call.service),
            config = self.call.config_version, config_in_force, mends = self.mends
        });
    }

    /// Tries to go on until the caller has lost patience.
    async fn mend(&mut self, why: &str) -> bool {
        let until = (self.last_event + CALLER_PATIENCE).max(Instant::now()).min(self.call.deadline);
        loop {
            if self.tx.is_closed() {
                return false;
            }
            if !self.gateway.may_resume() {
                self.call.end.tell_cut_leaving();
                return self
                    .cut(Count::Cut, &format!("{why}; this gateway ends before another run pays"));
            }
            let last = self.events.last();
            let (gateway, call) = (&self.gateway, &self.call);
            let began = begin(gateway, call, &mut self.attempts, last, &mut self.avoid, until);
            let began = tokio::select! {
                began = began => began,
                () = self.tx.closed() => return false,
            };
            match began {
                Ok(run) => {
                    self.gateway.counters.add(Count::Resumed);
                    info!("stream goes on", kv: {
                        request = self.call.id(), after:? = last,
                        data_centre = run.place.live.path.data_centre.as_str(),
                        endpoint = run.place.live.path.first().life.id.as_str()
                    });
                    self.run_began = Instant::now();
                    run.place.live.last_event.set(self.run_began);
                    self.run = Some(run);
                    return true;
                }
                Err(NotBegun::NoPlace(_)) if Instant::now() < until => {
                    // Layers may be loaded, or a path be free again, by then.
                    self.avoid.retain(|live| live.is_broken.get());
                    sleep_until(Instant::now() + MEND_RETRY).await;
                }
                Err(not_begun) => {
                    let text = match not_begun {
                        NotBegun::NoPlace(none) => format!("{why}; then no place: {none:?}"),
                        NotBegun::Spent => format!("{why}; then no further attempt was left"),
                        NotBegun::TimeOver => format!("{why}; then its time was over"),
                        NotBegun::Ending => format!("{why}; then this gateway ended"),
                        NotBegun::Failure(_) => format!("{why}; then an engine failed"),
                    };
                    return self.cut(Count::Cut, &text);
                }
            }
        }
    }
}
