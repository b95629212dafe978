//! What a stage sends on, asks for and tells.

use crate::id::Position;
use crate::request::stage::run::{RunState, StageRun};
use crate::request::{
    Chosen, Handover, KvExport, PipelineMessage, StageCount, StageOutput, StageTrouble, Step,
};
use std::time::Instant;

/// A leaving stage is asked for its KV cache this often, each time that the entry misses progress.
const MAX_HANDOVER_ASKS: u32 = 3;

/// The same attempt was opened again, as the entry misses progress: passes it on, and tells what
/// it may not have heard.
pub(super) fn open_again(run: &mut StageRun, now: Instant, out: &mut StageOutput) {
    run.touched = now;
    match run.state {
        RunState::Lost => {
            out.trouble(run, run.open.stage, StageTrouble::EngineFailed, "its KV cache is lost");
        }
        RunState::AwaitingKv | RunState::Importing => {
            ask_handover(run, out);
            out.messages.extend(run.open_for_next());
        }
        _ => out.messages.extend(run.open_for_next()),
    }
}

/// Passes the attempt on to the next stage, and replays into it if it starts from nothing.
pub(super) fn pass_on(run: &StageRun, out: &mut StageOutput) {
    if run.state == RunState::Lost {
        let why = "its KV cache is lost";
        out.trouble(run, run.open.stage, StageTrouble::EngineFailed, why);
    }
    out.messages.extend(run.open_for_next());
    if run.next_is_fresh() && run.session.done() > 0 {
        replay(run, 0, out);
    }
}

pub(super) fn ask_handover(run: &mut StageRun, out: &mut StageOutput) {
    let Some(leaving) = run.open.handed_by() else { return };
    run.asked += 1;
    if run.asked > MAX_HANDOVER_ASKS {
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
        Some(kept) => send_on(run, kept, out),
        None if from >= run.session.done() => {}
        None => out.trouble(run, run.open.stage, StageTrouble::ReplaySpent, "kept no longer"),
    }
}

/// A step repeated what ran up to `position`: sends the output there on, in case it was lost.
pub(super) fn ripple(run: &StageRun, position: Position, out: &mut StageOutput) {
    if position >= run.session.done() {
        return;
    }
    if run.is_last() {
        return send_chosen(run, position, out);
    }
    if let Some(kept) = run.session.replay(position).or_else(|| run.session.newest()) {
        send_on(run, kept, out);
    }
}

pub(super) fn send_on(run: &StageRun, output: Step, out: &mut StageOutput) {
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

/// Asks the stage before to send again; the first stage has the entry before it.
pub(super) fn ask_again(run: &StageRun, from: Position, out: &mut StageOutput) {
    let (request, attempt) = (run.open.request, run.attempt());
    let stage = run.open.stage.saturating_sub(1);
    out.send(run.before(), PipelineMessage::Resend { request, attempt, stage, from });
}

pub(super) fn make_ready(run: &mut StageRun, out: &mut StageOutput) {
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
    free_leaving(run, out);
    ripple(run, run.session.done().saturating_sub(1), out);
    ask_again(run, run.session.next(), out);
}

/// The leaving stage is no longer needed: its KV cache is here.
fn free_leaving(run: &StageRun, out: &mut StageOutput) {
    let Some(leaving) = run.open.handed_by() else { return };
    let (request, endpoint) = (run.open.request, leaving.hop.endpoint.clone());
    let message = PipelineMessage::Close { request, endpoint, attempt: run.since - 1 };
    out.send(leaving.hop.daemon, message);
}

pub(super) fn handover_failed(run: &StageRun, why: &str, out: &mut StageOutput) {
    out.trouble(run, run.open.stage, StageTrouble::HandoverFailed, why);
}

pub(super) fn lose(run: &mut StageRun, why: &str, out: &mut StageOutput) {
    if let RunState::HandingOver { to, attempt } = run.state {
        let request = run.open.request;
        out.send(to, PipelineMessage::Handover { request, attempt, handover: None });
    }
    run.state = RunState::Lost;
    out.trouble(run, run.open.stage, StageTrouble::EngineFailed, why);
}
