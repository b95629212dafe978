//! Forecasts when other engines run the layers that a path has lost.

use crate::version::ModelShape;
use std::time::Duration;

/// Time from detecting the death of an engine until the new layers of other engines are known, without loading
/// them: a plan, an order, and a report that lags by 0.2 s, which take 0.24 to 0.31 s in total.
const REACTION_TIME: Duration = Duration::from_millis(300);
/// Number of engines that share the lost layers: those before and behind them in the chain.
const LOADING_ENGINES: f64 = 2.0;
/// How long a stream may be silent for a repair: callers leave after two seconds, and the engines that take over
/// the layers first read the whole stream through them.
const MAX_SILENCE: Duration = Duration::from_millis(1_200);

/// Returns how long it takes until other engines run `missing` layers, from detecting the death.
pub fn repair_time(shape: &ModelShape, missing: u32) -> Duration {
    let share = f64::from(missing) / f64::from(shape.layers.max(1));
    REACTION_TIME + shape.load_time.mul_f64(share / LOADING_ENGINES)
}

/// Returns how long it will take until other engines run `missing` layers that have been missing for `elapsed`. A repair
/// that takes longer than usual is expected to take half as long again.
pub fn repair_left(shape: &ModelShape, missing: u32, elapsed: Duration) -> Duration {
    let left = repair_time(shape, missing).saturating_sub(elapsed);
    left.max(elapsed / 2).max(REACTION_TIME)
}

/// Returns whether a stream that has been silent for `silent` should wait for the repair of `missing` layers of
/// its path rather than resume elsewhere at once.
///
/// Guards against the death of one of many engines of a chain at high load: without waiting, 300 streams at once
/// resumed in other data centres, where each read its whole prompt again, used an attempt and the retry budget of
/// all gateways, and two in five were cut off for lack of budget. A few layers are loaded before callers leave.
/// If another path takes the stream at once, that is faster.
pub fn is_repair_worth_waiting(shape: &ModelShape, missing: u32, silent: Duration) -> bool {
    silent + repair_time(shape, missing) < MAX_SILENCE
}

/// Returns whether a stream has waited too long for a repair.
pub fn is_repair_overdue(silent: Duration) -> bool {
    silent >= MAX_SILENCE
}
