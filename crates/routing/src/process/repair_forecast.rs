//! When engines run layers again that a path has lost.

use crate::version::ModelShape;
use std::time::Duration;

/// From the death of an engine being known to other engines' layers being known, less their loads:
/// a plan, an order, and a report that lags by 0.2 s. Measured: 0.24 to 0.31 s.
const REACTION: Duration = Duration::from_millis(300);
/// Engines that share the lost layers: those before and behind them in the chain.
const TAKERS: f64 = 2.0;
/// How long a stream may be silent for a repair: callers leave after two seconds, and the engines that
/// took the layers first read the whole stream through them.
const PATIENCE: Duration = Duration::from_millis(1_200);

/// How long it takes until other engines run `missing` layers, from the death being known.
pub fn repair_time(shape: &ModelShape, missing: u32) -> Duration {
    let share = f64::from(missing) / f64::from(shape.layers.max(1));
    REACTION + shape.load_time.mul_f64(share / TAKERS)
}

/// Whether a stream that has been silent for `silent` should wait for `missing` layers of its path,
/// rather than go on elsewhere at once.
///
/// It answers the death of one of many engines of a chain at high load: 300 streams at once went on in
/// other data centres, where each read its whole prompt anew, spent an attempt and the retry budget of
/// all gateways, and two in five were cut for want of budget. A few layers are loaded in less time than
/// callers bear. Where another path takes the stream at once, that is sooner.
pub fn is_repair_worth_waiting(shape: &ModelShape, missing: u32, silent: Duration) -> bool {
    silent + repair_time(shape, missing) < PATIENCE
}

/// Whether a stream that waits for a repair has waited long enough.
pub fn is_repair_overdue(silent: Duration) -> bool {
    silent >= PATIENCE
}
