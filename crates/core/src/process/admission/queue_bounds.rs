//! Bounds of an admission queue.

/// Bounds of an admission queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueBounds {
    /// The most that the waiting requests of one workspace hold, in bytes.
    pub workspace_bytes: u64,
    /// The most that all waiting requests hold, in bytes.
    pub total_bytes: u64,
}

impl QueueBounds {
    /// What a waiting request holds besides its body, in bytes.
    pub const REQUEST_BYTES: u64 = 4 << 10;
    /// Default of `workspace_bytes`: two thousand small requests, or a dozen of the longest.
    pub const WORKSPACE_BYTES: u64 = 8 << 20;
    /// Default of `total_bytes`.
    pub const TOTAL_BYTES: u64 = 32 << 20;

    /// The defaults.
    pub fn new() -> QueueBounds {
        QueueBounds {
            workspace_bytes: QueueBounds::WORKSPACE_BYTES,
            total_bytes: QueueBounds::TOTAL_BYTES,
        }
    }

    /// Bounds as many requests without a body.
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
