//! Settings of the distribution of configuration.

use crate::process::store_watch::WatchTimes;
use std::time::Duration;

/// Time within which an accepted change must be in force at all daemons.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);
/// Time for which the store holds the watch of a data centre's second watcher.
const LONGEST_WATCH: Duration = Duration::from_secs(10);

/// Settings of the distribution of configuration.
#[derive(Clone, Debug)]
pub struct SpreadSettings {
    /// Number of daemons in a data centre that watch the store.
    pub watchers: usize,
    /// Number of peers to which updates are pushed.
    pub fanout: usize,
    /// Interval at which a daemon compares its revision with that of a peer.
    pub round: Duration,
    /// The same interval until the daemon is ready.
    pub start_round: Duration,
    /// Time limit for the answer to a fetch.
    pub fetch_timeout: Duration,
    /// Time for which a starting daemon waits for peers to be discovered.
    pub join_grace: Duration,
    /// Time for which a starting daemon waits for answers of discovered peers.
    pub peer_wait: Duration,
    /// Times by which a watcher detects that the store, or a connection to it, doesn't answer.
    pub watch: WatchTimes,
    /// Minimum time between two watches, so that a burst of changes takes few calls.
    pub watch_gap: Duration,
    /// Wait after the first failed call to the store; it doubles with each further failure, up to `max_retry`.
    pub retry: Duration,
    /// Maximum wait after a failed call.
    pub max_retry: Duration,
    /// Maximum number of pages read from the store in a burst, after a pause.
    pub read_burst: u32,
    /// Pages read from the store per second after the burst.
    pub reads_per_s: u32,
    /// Whether this daemon may call the store.
    pub has_store: bool,
}

impl SpreadSettings {
    /// Default of `watchers`: with 2, one still watches while the failure of the other isn't detected yet.
    pub const WATCHERS: usize = 2;
    /// Default of `fanout`.
    pub const FANOUT: usize = 4;

    /// Returns the default settings.
    pub fn new() -> SpreadSettings {
        SpreadSettings {
            watchers: SpreadSettings::WATCHERS,
            fanout: SpreadSettings::FANOUT,
            round: Duration::from_secs(1),
            start_round: Duration::from_millis(100),
            fetch_timeout: Duration::from_millis(500),
            join_grace: Duration::from_millis(200),
            peer_wait: Duration::from_secs(2),
            watch: WatchTimes::new(IN_FORCE_WITHIN).with_longest_wait(LONGEST_WATCH),
            watch_gap: Duration::from_millis(100),
            retry: Duration::from_millis(100),
            max_retry: Duration::from_millis(500),
            read_burst: 128,
            reads_per_s: 80,
            has_store: true,
        }
    }

    /// Takes the configuration from peers only.
    pub fn without_store(mut self) -> SpreadSettings {
        self.has_store = false;
        self
    }

    /// Sets the number of daemons in a data centre that watch the store.
    pub fn with_watchers(mut self, watchers: usize) -> SpreadSettings {
        self.watchers = watchers;
        self
    }
}

impl Default for SpreadSettings {
    fn default() -> Self {
        SpreadSettings::new()
    }
}
