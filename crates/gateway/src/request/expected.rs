//! What a stream is expected to take: tokens and time.

use crate::process::Gateway;
use crate::request::Call;
use std::time::Duration;

/// Share of the hinted answer that a request's place counts: KV cache grows with the answer, and
/// on average half of it is there.
const ANSWER_SHARE: f64 = 0.7;

/// KV cache that a request is expected to take, in tokens, on average over its run.
pub(crate) fn expected_tokens(call: &Call) -> f64 {
    let Some(tokens) = call.head.tokens else { return 1.0 };
    f64::from(tokens.prompt) + expected_answer(call) * ANSWER_SHARE
}

/// Tokens that the answer is expected to have.
fn expected_answer(call: &Call) -> f64 {
    let Some(tokens) = call.head.tokens else { return 1.0 };
    let most = f64::from(tokens.most_output);
    call.head.length_hint.map_or(most, |hint| f64::from(hint).min(most))
}

/// How long a stream usually takes; zero where this gateway has seen none of its service.
pub(crate) fn usual_time(gateway: &Gateway, call: &Call) -> Duration {
    let paces = gateway.stream_paces.borrow();
    paces.get(&call.service).map_or(Duration::ZERO, |pace| pace.usual(expected_answer(call)))
}

/// A stream came whole. One that its caller resumed took only the time of the rest, and tells nothing of
/// whole ones.
pub(crate) fn note_time(gateway: &Gateway, call: &Call) {
    if call.head.last_event.is_some() {
        return;
    }
    let mut paces = gateway.stream_paces.borrow_mut();
    let pace = paces.entry(call.service.clone()).or_default();
    pace.on_answered(expected_answer(call), call.arrived.elapsed());
}
