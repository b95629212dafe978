//! Estimates the tokens and the time that a stream takes.

use crate::process::Gateway;
use crate::request::Call;
use std::time::Duration;

/// Share of the expected answer that a request's reservation counts: the KV cache grows with the answer, and on average
/// holds half of it.
const MEAN_ANSWER_SHARE: f64 = 0.7;

/// Returns the KV cache that a request is expected to use, in tokens, averaged over its run.
pub(crate) fn expected_tokens(call: &Call) -> f64 {
    let Some(tokens) = call.head.tokens else { return 1.0 };
    f64::from(tokens.prompt) + expected_answer_tokens(call) * MEAN_ANSWER_SHARE
}

/// Returns the expected length of the answer in tokens.
fn expected_answer_tokens(call: &Call) -> f64 {
    let Some(tokens) = call.head.tokens else { return 1.0 };
    let max_tokens = f64::from(tokens.max_output);
    call.head.length_hint.map_or(max_tokens, |hint| f64::from(hint).min(max_tokens))
}

/// Returns how long a stream usually takes; zero if this gateway has completed none of its service.
pub(crate) fn usual_duration(gateway: &Gateway, call: &Call) -> Duration {
    let paces = gateway.stream_paces.borrow();
    paces.get(&call.service).map_or(Duration::ZERO, |pace| pace.usual(expected_answer_tokens(call)))
}

/// Records the duration of a completed stream. A stream resumed by its caller is left out: it took only the time of the
/// remaining events.
pub(crate) fn record_duration(gateway: &Gateway, call: &Call) {
    if call.head.last_event.is_some() {
        return;
    }
    let mut paces = gateway.stream_paces.borrow_mut();
    let pace = paces.entry(call.service.clone()).or_default();
    pace.on_answered(expected_answer_tokens(call), call.arrived.elapsed());
}
