//! Messages that a stage sends: forwarded steps, requests and reports.

use crate::id::Position;
use crate::request::stage::run::{RunState, StageRun};
use crate::request::{
    Chosen, Handover, KvExport, PipelineMessage, StageCount, StageOutput, StageTrouble, Step,
};
use std::time::Instant;

/// Maximum number of handover requests to a leaving stage; after the first, one is sent each time that
/// the entry misses progress.
const MAX_HANDOVER_REQUESTS: u32 = 3;

/// Handles a repeated `Open` of the current attempt, which the entry sends when it misses progress:
/// forwards it, and repeats reports and requests that may have been lost.
pub(super) fn reopen(run: &mut StageRun, now: Instant, out: &mut StageOutput) {
    run.last_contact = now;
    match run.state {
        RunState::Lost => {
            out.trouble(run, run.open.stage, StageTrouble::EngineFailed, "its KV cache is lost");
        }
        RunState::AwaitingKv | RunState::Importing => {
            request_handover(run, out);
            out.messages.extend(run.open_for_next());
        }
        _ => out.messages.extend(run.open_for_next()),
    }
}

/// Forwards the attempt to the next stage, and replays kept output into it if it starts without state.
pub(super) fn forward_open(run: &StageRun, out: &mut StageOutput) {
    if run.state == RunState::Lost {
        let why = "its KV cache is lost";
        out.trouble(run, run.open.stage, StageTrouble::EngineFailed, why);
    }
    out.messages.extend(run.open_for_next());
    if run.next_is_fresh() && run.session.done() > 0 {
        replay(run, 0, out);
    }
}

pub(super) fn request_handover(run: &mut StageRun, out: &mut StageOutput) {
    let Some(leaving) = run.open.handed_by() else { return };
    run.handover_requests += 1;
    if run.handover_requests > MAX_HANDOVER_REQUESTS {
        return handover_failed(run, "its KV cache does not come", out);
    }
    if run.state == RunState::Importing {
        return;
    }
    let message = PipelineMessage::AskHandover {
        request: run.open.request,
        attempt: run.since,
        since: leaving.since,
        endpoint: leaving.hop.endpoint.clone(),
        to: run.hop().daemon,
    };
    out.send(leaving.hop.daemon, message);
}

pub(super) fn replay(run: &StageRun, from: Position, out: &mut StageOutput) {
    out.counts.push(StageCount::Replay);
    if run.is_last() {
        return send_chosen(run, from, out);
    }
    match run.session.replay(from) {
        Some(kept) => forward_step(run, kept, out),
        None if from >= run.session.done() => {}
        None => out.trouble(run, run.open.stage, StageTrouble::ReplaySpent, "kept no longer"),
    }
}

/// Resends the output from `position` on, in case it was lost: a step repeated what has already run.
pub(super) fn resend_output(run: &StageRun, position: Position, out: &mut StageOutput) {
    if position >= run.session.done() {
        return;
    }
    if run.is_last() {
        return send_chosen(run, position, out);
    }
    if let Some(kept) = run.session.replay(position).or_else(|| run.session.newest()) {
        forward_step(run, kept, out);
    }
}

pub(super) fn forward_step(run: &StageRun, output: Step, out: &mut StageOutput) {
    if let Some(next) = run.next_hop() {
        out.send(next.daemon, PipelineMessage::Step(run.outgoing(output)));
    }
}

pub(super) fn send_chosen(run: &StageRun, from: Position, out: &mut StageOutput) {
    let chosen = run.chosen_from(from);
    let feedback = chosen.last().and_then(|newest| run.feedback(newest));
    for token in chosen {
        out.send(run.open.entry, PipelineMessage::Token(token));
    }
    out.messages.extend(feedback);
}

pub(super) fn choose(run: &mut StageRun, ran: &Step, chosen: Chosen, out: &mut StageOutput) {
    let token = run.choose(ran.end() - 1, chosen);
    if run.state != RunState::Live {
        return;
    }
    let feedback = run.feedback(&token);
    out.send(run.open.entry, PipelineMessage::Token(token));
    out.messages.extend(feedback);
}

/// Asks the previous stage, or the entry if this is the first stage, to send again.
pub(super) fn request_resend(run: &StageRun, from: Position, out: &mut StageOutput) {
    let (request, attempt) = (run.open.request, run.attempt());
    let stage = run.open.stage.saturating_sub(1);
    out.send(run.previous_peer(), PipelineMessage::Resend { request, attempt, stage, from });
}

pub(super) fn mark_ready(run: &mut StageRun, out: &mut StageOutput) {
    if run.state == RunState::Live && run.session.is_ready() && !run.queued {
        run.queued = true;
        out.ready.push((run.open.priority, run.open.request));
    }
}

pub(super) fn export_when_idle(run: &mut StageRun, out: &mut StageOutput) {
    let RunState::HandingOver { .. } = run.state else { return };
    if !run.session.is_running() {
        let (request, session) = (run.open.request, run.engine_session.clone());
        out.exports.push(KvExport { request, session, truncate: run.session.take_truncate() });
    }
}

pub(super) fn import_done(run: &mut StageRun, handover: Handover, out: &mut StageOutput) {
    run.take_over(handover);
    close_leaving(run, out);
    resend_output(run, run.session.done().saturating_sub(1), out);
    request_resend(run, run.session.next(), out);
}

/// Closes the leaving stage, whose KV cache has been imported.
fn close_leaving(run: &StageRun, out: &mut StageOutput) {
    let Some(leaving) = run.open.handed_by() else { return };
    let (request, endpoint) = (run.open.request, leaving.hop.endpoint.clone());
    let message = PipelineMessage::Close { request, endpoint, attempt: run.since - 1 };
    out.send(leaving.hop.daemon, message);
}

pub(super) fn handover_failed(run: &StageRun, why: &str, out: &mut StageOutput) {
    out.trouble(run, run.open.stage, StageTrouble::HandoverFailed, why);
}

pub(super) fn mark_lost(run: &mut StageRun, why: &str, out: &mut StageOutput) {
    if let RunState::HandingOver { to, attempt } = run.state {
        let request = run.open.request;
        out.send(to, PipelineMessage::Handover { request, attempt, handover: None });
    }
    run.state = RunState::Lost;
    out.trouble(run, run.open.stage, StageTrouble::EngineFailed, why);
}
