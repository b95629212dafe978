//! Queries to endpoints, repeated where this process ran too late to tell whether an endpoint is silent.

use crate::process::{Count, Gateway};
use sorrellock_platform::{CallError, Client};
use sorrellock_routing::process::PeerSilence;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of queries before the endpoint is left to the other gateways and the lead, which query it too.
const MAX_QUERIES: u32 = 6;

/// Why a query got no answer.
pub(crate) enum Unanswered {
    /// The endpoint failed, or its silence is evidence that it did.
    Failed(CallError),
    /// This process ran too late to tell.
    Inconclusive,
}

impl Gateway {
    /// Sends a query over `client`, with the timeout `limit`, until it is answered, the endpoint fails it, or the
    /// silence is evidence.
    pub(crate) async fn query<T>(
        &self,
        client: &Client,
        limit: Duration,
        send_query: impl AsyncFn(Duration) -> Result<T, CallError>,
    ) -> Result<T, Unanswered> {
        let mut silence = PeerSilence::new(limit);
        // A kept connection may be silent or just closed although the endpoint is alive. The next query goes over
        // another connection and decides, so the first one gets half the timeout.
        let has_kept = client.has_idle();
        for nth in 0..MAX_QUERIES {
            self.counters.add(Count::Reports);
            let asked = Instant::now();
            let is_on_kept = has_kept && nth == 0;
            match send_query(if is_on_kept { limit / 2 } else { limit }).await {
                Ok(answer) => return Ok(answer),
                Err(CallError::NoAnswer { .. }) if nth == 0 => continue,
                Err(err) if is_on_kept && err.silence().is_some() => continue,
                Err(err) if self.is_evidence(&mut silence, &err, asked) => {
                    return Err(Unanswered::Failed(err));
                }
                Err(_) => self.counters.add(Count::QuestionsHeldUp),
            }
        }
        Err(Unanswered::Inconclusive)
    }

    /// Returns whether a query that was sent at `asked` and failed is evidence against the endpoint, together with the
    /// silence on those before it.
    pub(crate) fn is_evidence(
        &self,
        silence: &mut PeerSilence,
        err: &CallError,
        asked: Instant,
    ) -> bool {
        let Some(had) = err.silence() else { return true };
        silence.on_no_answer(asked.elapsed(), had);
        silence.is_evidence()
    }
}
