//! Questions to endpoints, asked again where this process itself was too late to judge their silence.

use crate::process::{Count, Gateway};
use sorrellock_platform::{CallError, Client};
use sorrellock_routing::process::PeerSilence;
use std::time::Duration;
use tokio::time::Instant;

/// How often an endpoint is asked before it is left to other gateways, which ask too, as does the lead.
const MOST_ASKED: u32 = 6;

/// Why a question brought nothing.
pub(crate) enum Unanswered {
    /// The endpoint failed, or its silence is evidence that it did.
    Failed(CallError),
    /// This process was too late to tell.
    Inconclusive,
}

impl Gateway {
    /// Asks a question over `client`, which is given up after `limit`, until it is answered, the endpoint fails it, or the
    /// silence is evidence.
    pub(crate) async fn ask<T>(
        &self,
        client: &Client,
        limit: Duration,
        question: impl AsyncFn(Duration) -> Result<T, CallError>,
    ) -> Result<T, Unanswered> {
        let mut silence = PeerSilence::new(limit);
        // A kept connection may be silent, or closed just now, though the endpoint lives. The next question decides, over another
        // one, and comes the sooner.
        let has_kept = client.has_idle();
        for nth in 0..MOST_ASKED {
            self.counters.add(Count::Reports);
            let asked = Instant::now();
            let is_on_kept = has_kept && nth == 0;
            match question(if is_on_kept { limit / 2 } else { limit }).await {
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

    /// Whether a question that was asked at `asked` and failed is evidence against the endpoint, with the
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
