//! Whether an endpoint may be sent a request now, by what it said of itself.

use crate::process::{Count, Gateway};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::notices::{SendBlock, Trial};
use spdlog::info;
use std::rc::Rc;
use tokio::time::Instant;

/// The first request to an endpoint after its back-off. If it is dropped without an answer, another one may follow.
pub(crate) struct BackoffTrial {
    gateway: Rc<Gateway>,
    endpoint: Incarnation,
    trial: Trial,
}

impl Drop for BackoffTrial {
    fn drop(&mut self) {
        self.gateway.backoffs.borrow_mut().on_trial_over(&self.endpoint, self.trial);
    }
}

impl Gateway {
    /// Returns why an endpoint gets no request now; `None` if it may be sent one.
    pub(crate) fn send_block(&self, endpoint: &Incarnation) -> Option<SendBlock> {
        let limited = self.denied_for(endpoint).map(SendBlock::Limited);
        let now = Instant::now().into_std();
        let backing_off = self.backoffs.borrow().blocked_for(endpoint, now);
        SendBlock::longer(limited, backing_off.map(SendBlock::BackingOff))
    }

    /// Returns the block that ends first among the first engines of a service's paths; `None` if one may be sent a request
    /// now.
    pub(crate) fn service_block(&self, service: &str) -> Option<SendBlock> {
        let firsts = self.paths.borrow().first_engines(service, Instant::now());
        SendBlock::first_to_end(firsts.iter().map(|first| self.send_block(first)))
    }

    /// Admits a request right before its bytes are written. What it returns is kept until the answer has been applied.
    pub(crate) fn admit_after_backoff(
        self: &Rc<Self>,
        endpoint: &Incarnation,
    ) -> Result<Option<BackoffTrial>, SendBlock> {
        let now = Instant::now().into_std();
        let admitted = self.backoffs.borrow_mut().admit(endpoint, now);
        let trial = admitted.map_err(|wait| {
            self.counters.add(Count::BackoffSends);
            SendBlock::BackingOff(wait)
        })?;
        let (gateway, endpoint) = (Rc::clone(self), endpoint.clone());
        Ok(trial.map(|trial| BackoffTrial { gateway, endpoint, trial }))
    }

    /// Ends the back-offs of an endpoint. Returns whether there were any.
    pub(crate) fn clear_backoff(&self, id: &str) -> bool {
        let is_cleared = self.backoffs.borrow_mut().clear(id);
        if is_cleared {
            info!("back-off of an endpoint cleared", kv: { endpoint = id });
            self.paths.borrow().freed().notify_waiters();
        }
        is_cleared
    }
}
