//! The counters of a daemon, incremented on the request path and sent as metrics from a separate thread.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counts {
    ($($(#[doc = $doc:literal])+ $name:ident => $text:literal,)*) => {
        /// The counters of a daemon. The texts are their names in metrics and dumps.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Count { $($(#[doc = $doc])+ $name,)* }

        impl Count {
            /// All counters, in the order of their definition.
            pub const ALL: &[Count] = &[$(Count::$name,)*];

            /// Returns the name in metrics and dumps.
            pub fn name(self) -> &'static str {
                match self { $(Count::$name => $text,)* }
            }

            /// Returns what is counted, in one sentence.
            pub fn description(self) -> &'static str {
                match self { $(Count::$name => concat!($($doc),+).trim_ascii(),)* }
            }
        }
    };
}

counts! {
    /// Requests that callers sent.
    Requests => "requests",
    /// Requests answered in full.
    Done => "done",
    /// Requests refused without having run.
    NotRun => "not_run",
    /// Requests whose outcome is unknown.
    Unknown => "unknown",
    /// Requests that had to wait to start.
    AdmissionWaits => "admission_waits",
    /// Requests that had to wait for a grant of their limit.
    LimitWaits => "limit_waits",
    /// Grants requested from keepers.
    GrantsAsked => "grants_asked",
    /// Answers of keepers dropped because they were late or duplicates.
    GrantsLate => "grants_late",
    /// Requests refused because of a limit of their workspace.
    RefusedLimit => "refused_limit",
    /// Requests refused for lack of capacity.
    RefusedCapacity => "refused_capacity",
    /// Requests refused because they could not start before their deadline.
    RefusedDeadline => "refused_deadline",
    /// Requests that were malformed, unknown or not allowed.
    BadRequests => "bad_requests",
    /// Callers that disconnected before their answer was complete.
    CallersGone => "callers_gone",
    /// Tokens sent to callers.
    Tokens => "tokens",
    /// Tokens and answers dropped because they were late, duplicates, or for no known request.
    LateAnswers => "late_answers",
    /// Requests moved to another route.
    Reroutes => "reroutes",
    /// Problems that stages reported.
    StageTroubles => "stage_troubles",
    /// Steps sent to engines.
    Steps => "steps",
    /// Batches sent to engines.
    Batches => "batches",
    /// Steps that had already run.
    StepsRepeated => "steps_repeated",
    /// Steps that belonged to no current attempt.
    StepsStale => "steps_stale",
    /// Steps with missing positions before them.
    StepsGap => "steps_gap",
    /// Attempts of calls after the first.
    Retries => "retries",
    /// Retries refused because the retry budget was spent.
    RetriesRefused => "retries_refused",
    /// Times that the circuit breaker of an endpoint opened.
    BreakersOpened => "breakers_opened",
    /// Times that the circuit breaker of an endpoint closed again.
    BreakersClosed => "breakers_closed",
    /// Attempts that probed an endpoint whose circuit breaker had opened.
    BreakerProbes => "breaker_probes",
    /// Attempts at an endpoint whose circuit breaker was open, because there was no other endpoint.
    BreakersForced => "breakers_forced",
    /// Times that stored output was sent again.
    Replays => "replays",
    /// KV caches transferred to another stage.
    HandedOver => "handed_over",
    /// Requests freed at an engine after a timeout without messages about them.
    SessionsExpired => "sessions_expired",
    /// Times that an engine was detected as stuck.
    EnginesStuck => "engines_stuck",
    /// Calls to free or move KV caches dropped because the queue was full.
    EngineCallsDropped => "engine_calls_dropped",
    /// Stages replaced because the entry detected that they made no progress.
    StagesBlamed => "stages_blamed",
    /// Requests checked because they made no progress.
    Stalls => "stalls",
    /// Calls forwarded to plain services.
    Calls => "calls",
    /// Calls refused before they were forwarded.
    CallsRefused => "calls_refused",
    /// Messages addressed to an earlier incarnation of this process.
    Misdirected => "misdirected",
    /// Messages that could not be queued for a peer.
    SendsRefused => "sends_refused",
    /// Pages of the configuration applied.
    PagesApplied => "pages_applied",
    /// Pages of the configuration refused as invalid.
    PagesRefused => "pages_refused",
    /// Pages of the configuration found deleted from the store.
    PagesDeleted => "pages_deleted",
    /// Messages about the configuration received from peers.
    ConfigMessages => "config_messages",
    /// Messages about the configuration dropped because the agent's queue was full.
    ConfigInputsDropped => "config_inputs_dropped",
    /// Messages about the configuration dropped because they named an invalid page or revision, or too many.
    ConfigBadMessages => "config_bad_messages",
    /// Pages of the configuration sent to peers.
    ConfigPagesGiven => "config_pages_given",
    /// Calls to the store for the configuration, watches included.
    ConfigStoreCalls => "config_store_calls",
    /// Calls to the store for the configuration that failed.
    ConfigStoreFailures => "config_store_failures",
    /// Answers of the store dropped because they came from an outdated copy.
    ConfigOldCopies => "config_old_copies",
    /// Reads of the list of instances that failed.
    ListFailures => "list_failures",
    /// Membership messages processed.
    FleetMessages => "fleet_messages",
    /// Times that this daemon became the lead of a model.
    LeadsTaken => "leads_taken",
    /// Orders to engines sent.
    OrdersGiven => "orders_given",
    /// Orders to engines accepted.
    OrdersTaken => "orders_taken",
    /// Orders to engines refused.
    OrdersRefused => "orders_refused",
    /// Changes of the fleet detected.
    FleetChanges => "fleet_changes",
    /// Membership messages and requests dropped because the agent's queue was full.
    FleetInputsDropped => "fleet_inputs_dropped",
    /// Calls received before, and not forwarded again.
    StartsRepeated => "starts_repeated",
    /// Recorded calls that arrived after their record was abandoned.
    StartsFenced => "starts_fenced",
    /// Recorded calls of which it is no longer known whether they ran.
    StartsForgotten => "starts_forgotten",
    /// Claims sent to the ledger's holders.
    Claims => "claims",
    /// Answers replayed from an earlier run with the same key.
    Replayed => "replayed",
    /// Keys used for another request.
    KeyMismatches => "key_mismatches",
}

/// The values of the counters of one daemon.
#[derive(Debug)]
pub struct Counters {
    values: Vec<AtomicU64>,
}

impl Counters {
    /// Creates counters that are all 0.
    pub fn new() -> Counters {
        Counters { values: Count::ALL.iter().map(|_| AtomicU64::new(0)).collect() }
    }

    /// Increments a counter by one.
    pub fn count(&self, what: Count) {
        self.add(what, 1);
    }

    /// Increments a counter by `by`.
    pub fn add(&self, what: Count, by: u64) {
        self.values[what as usize].fetch_add(by, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    pub fn get(&self, what: Count) -> u64 {
        self.values[what as usize].load(Ordering::Relaxed)
    }

    /// Returns the name and value of every counter.
    pub fn snapshot(&self) -> Vec<(&'static str, u64)> {
        Count::ALL.iter().map(|count| (count.name(), self.get(*count))).collect()
    }
}

impl Default for Counters {
    fn default() -> Self {
        Counters::new()
    }
}
