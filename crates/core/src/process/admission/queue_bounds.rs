//! Memory bounds of an admission queue.

/// Bounds on the memory that waiting requests hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// Most bytes that the waiting requests of one workspace may hold.
    pub workspace_bytes: u64,
    /// Most bytes that all waiting requests may hold.
    pub total_bytes: u64,
}

impl QueueBounds {
    /// Bytes that a waiting request holds besides its body.
    pub const REQUEST_BYTES: u64 = 4 << 10;
    /// Default of `workspace_bytes`: about 2000 small requests, or a dozen of the longest.
    pub const WORKSPACE_BYTES: u64 = 8 << 20;
    /// Default of `total_bytes`.
    pub const TOTAL_BYTES: u64 = 32 << 20;

    /// Returns the default bounds.
    pub fn new() -> QueueBounds {
        QueueBounds {
            workspace_bytes: QueueBounds::WORKSPACE_BYTES,
            total_bytes: QueueBounds::TOTAL_BYTES,
        }
    }

    /// Sets the bounds to the size of this many requests without a body.
    pub fn with_requests(mut self, workspace: u64, total: u64) -> QueueBounds {
        self.workspace_bytes = workspace * QueueBounds::REQUEST_BYTES;
        self.total_bytes = total * QueueBounds::REQUEST_BYTES;
        self
    }
}

impl Default for QueueBounds {
    fn default() -> Self {
        QueueBounds::new()
    }
}
