//! Reads what is left of a refused body, so that its caller gets to read the refusal.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum number of bytes that are read and dropped.
const MAX_BYTES: usize = 64 << 20;
/// Time limit.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Reads and drops the rest of a body. Closing a connection with unread bytes resets it, and the caller may lose the answer.
pub async fn discard(body: Incoming) {
    // A caller that goes on for longer is cut off.
    let _ = timeout(TIME_LIMIT, discard_all(body)).await;
}

async fn discard_all(mut body: Incoming) {
    let mut left = MAX_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let len = frame.data_ref().map_or(0, Bytes::len);
        if len > left {
            return;
        }
        left -= len;
    }
}
