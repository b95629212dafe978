//! All pipeline requests at one engine. Takes messages and engine results as input, and returns
//! messages and work. It owns no thread, socket or clock.

use crate::id::{Attempt, Position, StageIndex};
use crate::request::stage::actions::{
    choose, export_when_idle, forward_open, forward_step, handover_failed, import_done, mark_lost,
    mark_ready, reopen, replay, request_handover, request_resend, resend_output,
};
use crate::request::stage::run::{EngineWork, RunState, StageRun, trouble_message};
use crate::request::{
    EngineResult, Handover, Hop, KeptBudget, Open, Peer, PipelineMessage, Refusal, RequestKey,
    StageCount, StageOutput, StageProgress, StageTrouble, StageVerdict, Step, Tombstones,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request without any message for this long is freed, in case its `Close` was lost. An entry that
/// still drives the request probes it far more often.
pub const SESSION_IDLE: Duration = Duration::from_secs(120);

/// All pipeline requests at one engine.
#[derive(Debug)]
pub struct StageTable {
    // Ordered by key, so that fuzz schedules are reproducible.
    runs: BTreeMap<RequestKey, StageRun>,
    tombstones: Tombstones,
    budget: Arc<KeptBudget>,
}

impl StageTable {
    /// Creates an empty table with a budget for kept output.
    pub fn new(budget: Arc<KeptBudget>) -> StageTable {
        StageTable { runs: BTreeMap::new(), tombstones: Tombstones::default(), budget }
    }

    /// Returns the number of requests held.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns whether a request is held.
    pub fn holds(&self, request: RequestKey) -> bool {
        self.runs.contains_key(&request)
    }

    /// Opens a request, or moves it to a higher attempt. If `refusal` is set, requests that are not held
    /// yet are refused with it.
    pub fn on_open(
        &mut self,
        open: Open,
        refusal: Option<Refusal>,
        now: Instant,
        out: &mut StageOutput,
    ) {
        let request = open.request;
        if self.tombstones.covers(request, open.attempt) {
            out.counts.push(StageCount::Stale);
            let why = "the request is over here";
            return out.messages.push(trouble_message(
                &open,
                open.stage,
                StageTrouble::NoSession,
                why,
            ));
        }
        match self.runs.get_mut(&request) {
            Some(run) if open.attempt < run.attempt() => out.counts.push(StageCount::Stale),
            Some(run) if open.attempt == run.attempt() => reopen(run, now, out),
            Some(run) if run.continues(&open) => {
                run.last_contact = now;
                run.raise(open);
                forward_open(run, out);
            }
            held => {
                let new = held.is_none();
                self.open_fresh(open, refusal.filter(|_| new), now, out);
            }
        }
    }

    /// Handles a received step.
    pub fn on_step(&mut self, step: &Step, now: Instant, out: &mut StageOutput) {
        let run = self.runs.get_mut(&step.request).filter(|run| run.open.stage == step.stage);
        let Some(run) = run else { return out.counts.push(StageCount::Stale) };
        if run.state != RunState::Live {
            return out.counts.push(StageCount::Stale);
        }
        let verdict = match run.session.accept(step) {
            StageVerdict::Queued | StageVerdict::Repeated if run.differs_from_chosen(step) => {
                StageVerdict::Diverged
            }
            verdict => verdict,
        };
        match verdict {
            StageVerdict::Queued => {
                run.last_contact = now;
                mark_ready(run, out);
            }
            StageVerdict::Repeated => {
                run.last_contact = now;
                out.counts.push(StageCount::Repeated);
                resend_output(run, step.end() - 1, out);
            }
            StageVerdict::Gap { next } => {
                out.counts.push(StageCount::Gap);
                request_resend(run, next, out);
            }
            StageVerdict::Stale | StageVerdict::Early => out.counts.push(StageCount::Stale),
            StageVerdict::Diverged => self.diverged(step, out),
        }
    }

    /// Resends kept output from a position on.
    pub fn on_resend(
        &mut self,
        request: RequestKey,
        attempt: Attempt,
        stage: StageIndex,
        from: Position,
        out: &mut StageOutput,
    ) {
        let run = self.runs.get(&request);
        let run = run.filter(|run| run.attempt() == attempt && run.open.stage == stage);
        match run {
            Some(run) if run.state == RunState::Live => replay(run, from, out),
            _ => out.counts.push(StageCount::Stale),
        }
    }

    /// Reports the progress of a request to its entry.
    pub fn on_probe(&mut self, request: RequestKey, now: Instant, out: &mut StageOutput) {
        let Some(run) = self.runs.get_mut(&request) else { return };
        run.last_contact = now;
        let progress = StageProgress {
            stage: run.open.stage,
            next: run.session.next(),
            stuck: matches!(run.state, RunState::Lost | RunState::HandedOver { .. }),
        };
        let (to, attempt) = (run.open.entry, run.attempt());
        out.send(to, PipelineMessage::Progress { request, attempt, progress });
    }

    /// Frees the state of a request, unless it has moved to a later attempt.
    pub fn on_close(&mut self, request: RequestKey, attempt: Attempt, out: &mut StageOutput) {
        self.tombstones.add(request, attempt);
        if self.runs.get(&request).is_some_and(|run| run.attempt() <= attempt) {
            self.free(request, out);
        }
    }

    /// Handles a replacement stage's request for a KV cache.
    pub fn on_ask_handover(
        &mut self,
        request: RequestKey,
        attempt: Attempt,
        since: Attempt,
        to: Peer,
        out: &mut StageOutput,
    ) {
        let run = self.runs.get_mut(&request);
        let run = run.filter(|run| run.attempt() < attempt && run.since == since);
        let handing_over = RunState::HandingOver { to, attempt };
        match run {
            Some(run) if run.state == handing_over => {}
            Some(run)
                if run.state == RunState::Live
                    || run.state == (RunState::HandedOver { to, attempt }) =>
            {
                run.state = handing_over;
                export_when_idle(run, out);
            }
            _ => out.send(to, PipelineMessage::Handover { request, attempt, handover: None }),
        }
    }

    /// Handles the result of an export; `kv` is `None` if it failed.
    pub fn on_exported(&mut self, request: RequestKey, kv: Option<Vec<u8>>, out: &mut StageOutput) {
        let Some(run) = self.runs.get_mut(&request) else { return };
        let RunState::HandingOver { to, attempt } = run.state else { return };
        run.state = RunState::HandedOver { to, attempt };
        out.counts.push(StageCount::HandedOver);
        let handover = kv.map(|kv| run.handover(kv));
        out.send(to, PipelineMessage::Handover { request, attempt, handover });
    }

    /// Handles the leaving stage's answer to a handover request; `None` if it has nothing to hand over.
    pub fn on_handover(
        &mut self,
        request: RequestKey,
        attempt: Attempt,
        handover: Option<Handover>,
        out: &mut StageOutput,
    ) {
        let Some(run) = self.runs.get_mut(&request) else { return };
        if run.state != RunState::AwaitingKv || run.since != attempt {
            return out.counts.push(StageCount::Stale);
        }
        match handover {
            Some(handover) if handover.positions > 0 => {
                run.state = RunState::Importing;
                out.imports.push((request, run.engine_session.clone(), handover));
            }
            Some(handover) => import_done(run, handover, out),
            None => handover_failed(run, "the leaving stage has nothing to hand over", out),
        }
    }

    /// Handles the result of an import. `session` identifies the run that it was for.
    pub fn on_imported(
        &mut self,
        request: RequestKey,
        session: &str,
        handover: Result<Handover, String>,
        out: &mut StageOutput,
    ) {
        let run = self.runs.get_mut(&request).filter(|run| run.engine_session == session);
        let Some(run) = run else { return out.releases.push(session.to_owned()) };
        if run.state != RunState::Importing {
            return;
        }
        match handover {
            Ok(handover) => import_done(run, handover, out),
            Err(why) => {
                run.state = RunState::AwaitingKv;
                handover_failed(run, &why, out);
            }
        }
    }

    /// Returns the waiting work of a request for the engine.
    pub fn start(&mut self, request: RequestKey) -> Option<EngineWork> {
        let run = self.runs.get_mut(&request)?;
        run.queued = false;
        run.start()
    }

    /// Handles the result of the work that [`StageTable::start`] returned for `session`.
    pub fn finish(
        &mut self,
        request: RequestKey,
        session: &str,
        result: EngineResult,
        now: Instant,
        out: &mut StageOutput,
    ) {
        let run = self.runs.get_mut(&request).filter(|run| run.engine_session == session);
        let Some(run) = run.filter(|run| run.state != RunState::Lost) else { return };
        run.last_contact = now;
        let ran = run.session.finish();
        match (result, ran) {
            (EngineResult::Failed(why), _) => return mark_lost(run, &why, out),
            (EngineResult::Activations(activations), Some(ran)) if !run.is_last() => {
                let activations = activations.first(ran.tokens.len() as u32);
                let output = Step { activations, ..ran };
                run.session.keep(output.clone());
                if run.state == RunState::Live {
                    forward_step(run, output, out);
                }
            }
            (EngineResult::Chosen(chosen), Some(ran)) => choose(run, &ran, chosen, out),
            _ => {}
        }
        export_when_idle(run, out);
        mark_ready(run, out);
    }

    /// Reports to the entries of all requests that the engine hangs. Requests with work at the engine are
    /// lost; [`StageTable::finish`] ignores their results if the engine resumes.
    pub fn on_stuck(&mut self, why: &str, out: &mut StageOutput) {
        for run in self.runs.values_mut() {
            if run.session.is_running() {
                mark_lost(run, why, out);
            } else if run.state == RunState::Live {
                out.trouble(run, run.open.stage, StageTrouble::EngineFailed, why);
            }
        }
    }

    /// Offers the KV caches of all requests for handover, as this stage is leaving.
    pub fn on_leaving(&mut self, out: &mut StageOutput) {
        for run in self.runs.values().filter(|run| run.state == RunState::Live) {
            out.trouble(run, run.open.stage, StageTrouble::Leaving, "it is leaving");
        }
    }

    /// Handles a closed link to a daemon: reports it to the entries of requests with another stage there,
    /// and frees the requests whose entry was there.
    pub fn on_closed(&mut self, peer: SocketAddr, out: &mut StageOutput) {
        for run in self.runs.values() {
            for stage in run.stages_at(|hop: &Hop| hop.daemon.addr == peer) {
                out.trouble(run, stage, StageTrouble::NextClosed, "link closed");
            }
            if run.state == RunState::AwaitingKv
                && run.open.handed_by().is_some_and(|from| from.hop.daemon.addr == peer)
            {
                let why = "the link to the leaving stage closed";
                out.trouble(run, run.open.stage, StageTrouble::HandoverFailed, why);
            }
        }
        self.free_all(|run| run.open.entry.addr == peer, out);
    }

    /// Frees requests without any message for [`SESSION_IDLE`].
    pub fn expire(&mut self, now: Instant, out: &mut StageOutput) {
        let idle = |run: &StageRun| now.saturating_duration_since(run.last_contact) >= SESSION_IDLE;
        let freed = self.free_all(idle, out);
        out.counts.extend((0..freed).map(|_| StageCount::Expired));
    }

    fn open_fresh(
        &mut self,
        open: Open,
        refusal: Option<Refusal>,
        now: Instant,
        out: &mut StageOutput,
    ) {
        let is_new = open.since(open.stage) == open.attempt || open.handed_by().is_some();
        if open.stage == open.route.last() && !is_new {
            let why = "the tokens chosen here are not known";
            return out.messages.push(trouble_message(
                &open,
                open.stage,
                StageTrouble::NoSession,
                why,
            ));
        }
        if let Some(refusal) = refusal {
            let trouble = StageTrouble::Refused(refusal);
            let why = "refused before starting";
            return out.messages.push(trouble_message(&open, open.stage, trouble, why));
        }
        self.release(open.request, out);
        let mut run = StageRun::new(open, self.budget.clone(), now);
        if run.state == RunState::AwaitingKv {
            request_handover(&mut run, out);
        }
        forward_open(&run, out);
        self.runs.insert(run.open.request, run);
    }

    fn diverged(&mut self, step: &Step, out: &mut StageOutput) {
        let run = &self.runs[&step.request];
        let why = format!("a token from position {} on differs", step.first);
        out.trouble(run, run.open.stage, StageTrouble::Diverged, &why);
    }

    fn free_all(&mut self, which: impl Fn(&StageRun) -> bool, out: &mut StageOutput) -> usize {
        let chosen = self.runs.iter().filter(|(_, run)| which(run));
        let freed: Vec<RequestKey> = chosen.map(|(request, _)| *request).collect();
        freed.iter().for_each(|request| self.free(*request, out));
        freed.len()
    }

    fn free(&mut self, request: RequestKey, out: &mut StageOutput) {
        if let Some(run) = self.runs.get(&request) {
            self.tombstones.add(request, run.attempt());
        }
        self.release(request, out);
    }

    fn release(&mut self, request: RequestKey, out: &mut StageOutput) {
        out.releases.extend(self.runs.remove(&request).map(|run| run.engine_session));
    }
}
