//! Takes capacity that requests of all gateways compete for.

use crate::process::{
    CapacityAnswer, CapacityAsk, Gateway, LivePath, MAX_WAIT_MS, NoPlace, PathReservation,
};
use crate::request::Call;
use crate::request::estimate::expected_tokens;
use crate::request::run::may_take_path;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::request::Attempts;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Share of the target that a request may wait for capacity: the rest is left for reading its prompt and the first step.
const MAX_CAPACITY_WAIT_SHARE: f64 = 0.25;

/// Interval at which a gateway that decides alone looks for capacity.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Returns how long a request may wait for capacity from its arrival on; `None` where the configuration names no target.
pub(super) fn max_capacity_wait(call: &Call) -> Option<Duration> {
    call.capacity_rank?;
    let target = call.route.target_latency;
    (!target.is_zero()).then(|| target.mul_f64(MAX_CAPACITY_WAIT_SHARE))
}

/// Reserves capacity on a path: without asking while there is plenty, else as the gateway that gives it out decides.
/// Returns `None` if this gateway has to decide alone.
pub(super) async fn take_shared_place(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &Attempts,
    avoid: &[Rc<LivePath>],
    until: Instant,
) -> Option<Result<PathReservation, NoPlace>> {
    let rank = call.capacity_rank?;
    if !gateway.has_capacity_keeper() {
        return None;
    }
    // What may crash engines is sent apart from others, in turn.
    if gateway.is_crash_suspect(call) || gateway.awaits_suspect(call) {
        return None;
    }
    let may_take = |live: &Rc<LivePath>| may_take_path(gateway, call, attempts, avoid, live);
    let (tokens, now) = (expected_tokens(call), Instant::now());
    let own = &gateway.settings.data_centre;
    let best = gateway.paths.borrow().best(&call.service, tokens, own, may_take, now)?;
    if gateway.take_plenty(tokens, &best) {
        return Some(Ok(PathReservation::new(&gateway.paths, &best.live, tokens, now)));
    }
    let ask = CapacityAsk {
        gateway: gateway.incarnation,
        service: call.service.clone(),
        data_centre: own.clone(),
        workspace: call.workspace.clone(),
        route: call.route.name.clone(),
        rank,
        is_resumed: call.sends.repeat_cause(false).is_some() || call.head.last_event.is_some(),
        request: call.run_request.content.short(),
        tokens,
        bytes: call.body.len() as u64,
        max_wait_ms: until.saturating_duration_since(now).as_millis().min(MAX_WAIT_MS.into())
            as u32,
        excluded: excluded_heads(gateway, call, may_take),
    };
    match gateway.ask_capacity(ask).await {
        (CapacityAnswer::Granted { .. }, Some(place)) => Some(Ok(place)),
        (CapacityAnswer::Granted { head, .. }, None) => {
            let now = Instant::now();
            let live = gateway.paths.borrow().open_path(&call.service, &head, now)?;
            Some(Ok(PathReservation::new(&gateway.paths, &live, tokens, now)))
        }
        (CapacityAnswer::Refused { retry_after_ms }, _) => {
            let retry_after = Duration::from_millis(retry_after_ms.into());
            Some(Err(NoPlace::Refused { retry_after }))
        }
        (CapacityAnswer::Unknown, _) => {
            Some(wait_for_own_part(gateway, call, tokens, may_take, until).await)
        }
    }
}

/// Reserves capacity on a path by this gateway's own view, within the part that it may take while nobody gives it out.
async fn wait_for_own_part(
    gateway: &Rc<Gateway>,
    call: &Call,
    tokens: f64,
    may_take: impl Fn(&Rc<LivePath>) -> bool,
    until: Instant,
) -> Result<PathReservation, NoPlace> {
    let freed = gateway.paths.borrow().freed();
    loop {
        let now = Instant::now();
        let own = &gateway.settings.data_centre;
        let best = gateway.paths.borrow().best(&call.service, tokens, own, &may_take, now);
        let best = best.ok_or(NoPlace::NoPath)?;
        if gateway.take_alone(tokens, &best) {
            return Ok(PathReservation::new(&gateway.paths, &best.live, tokens, now));
        }
        if now >= until {
            return Err(NoPlace::Full);
        }
        // Both freed capacity and the time are reasons to go on.
        let _ = timeout_at(until.min(now + RETRY_INTERVAL), freed.notified()).await;
    }
}

/// Returns the first engines of the paths that the request may not take.
fn excluded_heads(
    gateway: &Gateway,
    call: &Call,
    may_take: impl Fn(&Rc<LivePath>) -> bool,
) -> Vec<Incarnation> {
    let paths = gateway.paths.borrow();
    let excluded = paths.paths(&call.service).iter().filter(|live| !may_take(live));
    excluded.map(|live| live.path.first().incarnation.clone()).collect()
}
