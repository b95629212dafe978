//! Serves requests to model engines whose answer is whole, not a stream.

use crate::process::Gateway;
use crate::request::plain::{abandon_at_shutdown, read_whole, record_answered};
use crate::request::run::Run;
use crate::request::stream::{answer_not_started, begin_run};
use crate::request::{Call, abandon_call, log_failed_attempt};
use http::Response;
use sorrellock_http::{AnswerBody, Cut};
use sorrellock_routing::request::Attempts;
use std::rc::Rc;
use std::time::Duration;

/// Serves a request over a path of engines, and repeats it over another path if its answer is lost and it may run twice.
pub(crate) async fn serve_engine_call(
    gateway: Rc<Gateway>,
    call: Call,
) -> Result<Response<AnswerBody>, Cut> {
    let mut attempts = Attempts::new(call.route.semantics, call.route.max_attempts);
    let mut avoid = Vec::new();
    loop {
        let run = match begin_run(&gateway, &call, &mut attempts, &mut avoid).await {
            Ok(run) => run,
            Err(not_started) => {
                return Ok(answer_not_started(&gateway, &call, &attempts, not_started));
            }
        };
        let Run { exchange, place } = run;
        let first = place.live.path.first();
        let reading = read_whole(&gateway, &call, exchange, call.deadline);
        let answered = tokio::select! {
            biased;
            answered = reading => answered,
            () = gateway.ending() => Err(abandon_at_shutdown(&call)),
        };
        let failed = match answered {
            Ok(answer) => return Ok(record_answered(&call, &first.incarnation, answer)),
            Err(failed) => failed,
        };
        log_failed_attempt(&gateway, &call, &first.incarnation, &failed);
        attempts.abandon();
        if !call.route.semantics.may_repeat() || call.time_left().is_zero() {
            let outcome = attempts.abandoned_outcome(call.time_left().is_zero());
            return Ok(abandon_call(&call, outcome, Duration::ZERO, &failed.why));
        }
        avoid.push(Rc::clone(&place.live));
    }
}
