//! A time limit that counts only once what had come by then is read.

use std::pin::pin;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

/// Turns of the event loop after the limit. In each the driver is polled and the tasks that it wakes run:
/// one that reads a connection, then the one that waits for it. A body in pieces takes one for each.
const LAST_TURNS: u32 = 4;

/// The limit is over, and nothing more was there to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LimitOver;

/// Lets what had come by now be read, as after a pause of the process.
pub async fn drain_event_loop() {
    for _ in 0..LAST_TURNS {
        yield_now().await;
    }
}

/// Waits for a future until `limit` is over. After a pause of the process, the limit and what came meanwhile
/// are found in the same turn of the event loop: the future has some more turns then.
pub(crate) async fn drained_timeout<F: Future>(
    limit: Duration,
    work: F,
) -> Result<F::Output, LimitOver> {
    drained_timeout_at(Instant::now() + limit, work).await
}

/// The same until `until`.
pub(crate) async fn drained_timeout_at<F: Future>(
    until: Instant,
    work: F,
) -> Result<F::Output, LimitOver> {
    let mut work = pin!(work);
    if let Ok(output) = timeout_at(until, &mut work).await {
        return Ok(output);
    }
    for _ in 0..LAST_TURNS {
        yield_now().await;
        // Its limit is over: this polls the work once.
        if let Ok(output) = timeout_at(until, &mut work).await {
            return Ok(output);
        }
    }
    Err(LimitOver)
}
