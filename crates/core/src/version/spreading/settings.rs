//! Settings of the spread of configuration.

use crate::process::store_watch::WatchTimes;
use std::time::Duration;

/// An accepted change is in force everywhere within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);
/// How long the store holds the watch of a place's second watcher.
const LONGEST_WATCH: Duration = Duration::from_secs(10);

/// Settings of the spread of configuration.
#[derive(Clone, Debug)]
pub struct SpreadSettings {
    /// How many daemons of a place watch the store.
    pub watchers: usize,
    /// To how many peers news are sent on.
    pub fanout: usize,
    /// How often a daemon compares itself with a peer.
    pub round: Duration,
    /// How often it does until it is ready.
    pub start_round: Duration,
    /// How long an answer to a fetch may take.
    pub fetch_timeout: Duration,
    /// How long a daemon waits for peers to turn up at its start.
    pub join_grace: Duration,
    /// How long a daemon waits for the answer of peers that turned up.
    pub peer_wait: Duration,
    /// How a watcher notices that the store, or a connection to it, is silent.
    pub watch: WatchTimes,
    /// The least time between two watches, so that a burst of changes takes few.
    pub watch_gap: Duration,
    /// The wait after a failed call to the store; it doubles with each, up to `max_retry`.
    pub retry: Duration,
    /// Longest wait after a failed call.
    pub max_retry: Duration,
    /// Pages read from the store at once, after a rest.
    pub read_burst: u32,
    /// Pages read from the store a second, beyond that.
    pub reads_per_s: u32,
    /// Whether there is a store that this daemon may ask.
    pub has_store: bool,
}

impl SpreadSettings {
    /// Default of `watchers`: one may die unnoticed.
    pub const WATCHERS: usize = 2;
    /// Default of `fanout`.
    pub const FANOUT: usize = 4;

    /// The defaults.
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

    /// Takes the configuration from peers alone.
    pub fn without_store(mut self) -> SpreadSettings {
        self.has_store = false;
        self
    }

    /// Lets this many daemons of a place watch the store.
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
