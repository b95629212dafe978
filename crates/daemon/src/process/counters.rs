//! Counters of a daemon: counted on the request path, sent as metrics from a thread of their own.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counts {
    ($($(#[doc = $doc:literal])+ $name:ident => $text:literal,)*) => {
        /// What a daemon counts. The texts are the names in metrics and dumps.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Count { $($(#[doc = $doc])+ $name,)* }

        impl Count {
            /// All of them, in the order of their definition.
            pub const ALL: &[Count] = &[$(Count::$name,)*];

            /// The name in metrics and dumps.
            pub fn name(self) -> &'static str {
                match self { $(Count::$name => $text,)* }
            }

            /// What it counts, in a plain sentence.
            pub fn meaning(self) -> &'static str {
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
    /// Requests refused as not run.
    NotRun => "not_run",
    /// Requests whose end is not known.
    Unknown => "unknown",
    /// Requests that had to wait to start.
    AdmissionWaits => "admission_waits",
    /// Requests that had to wait for a grant of their limit.
    LimitWaits => "limit_waits",
    /// Grants asked of keepers.
    GrantsAsked => "grants_asked",
    /// Answers of keepers dropped: they came late, or twice.
    GrantsLate => "grants_late",
    /// Requests refused for a limit of their workspace.
    RefusedLimit => "refused_limit",
    /// Requests refused for want of room.
    RefusedCapacity => "refused_capacity",
    /// Requests refused as they could not start before their deadline.
    RefusedDeadline => "refused_deadline",
    /// Requests that were malformed, unknown or not allowed.
    BadRequests => "bad_requests",
    /// Callers that went away before their answer was complete.
    CallersGone => "callers_gone",
    /// Tokens handed to callers.
    Tokens => "tokens",
    /// Tokens and answers dropped: they came late, twice, or for nobody.
    LateAnswers => "late_answers",
    /// Requests moved to another route.
    Reroutes => "reroutes",
    /// Troubles that stages reported.
    StageTroubles => "stage_troubles",
    /// Steps given to engines.
    Steps => "steps",
    /// Batches given to engines.
    Batches => "batches",
    /// Steps that repeated what had run.
    StepsRepeated => "steps_repeated",
    /// Steps that belonged to no attempt in force.
    StepsStale => "steps_stale",
    /// Steps before which positions were missing.
    StepsGap => "steps_gap",
    /// Attempts of calls after the first.
    Retries => "retries",
    /// Retries that no budget paid for.
    RetriesRefused => "retries_refused",
    /// Breakers of endpoints that opened.
    BreakersOpened => "breakers_opened",
    /// Breakers of endpoints that closed again.
    BreakersClosed => "breakers_closed",
    /// Attempts that probed an endpoint whose breaker had opened.
    BreakerProbes => "breaker_probes",
    /// Attempts at an endpoint whose breaker was open, as there was no other.
    BreakersForced => "breakers_forced",
    /// Times that kept output was sent again.
    Replays => "replays",
    /// KV caches handed over to another stage.
    HandedOver => "handed_over",
    /// Requests freed at an engine as nothing was heard of them.
    SessionsExpired => "sessions_expired",
    /// Times that an engine was found hanging.
    EnginesStuck => "engines_stuck",
    /// Calls to free or move KV caches that were dropped, as too many waited.
    EngineCallsDropped => "engine_calls_dropped",
    /// Stages replaced as they made no progress, by the entry's own judgement.
    StagesBlamed => "stages_blamed",
    /// Requests without progress that were looked into.
    Stalls => "stalls",
    /// Calls passed on to plain services.
    Calls => "calls",
    /// Calls refused before they were passed on.
    CallsRefused => "calls_refused",
    /// Messages for an earlier incarnation of this process.
    Misdirected => "misdirected",
    /// Messages that could not be queued to a peer.
    SendsRefused => "sends_refused",
    /// Pages of the configuration applied.
    PagesApplied => "pages_applied",
    /// Pages of the configuration refused as bad.
    PagesRefused => "pages_refused",
    /// Pages of the configuration found deleted from the store.
    PagesDeleted => "pages_deleted",
    /// Messages of peers on the configuration.
    ConfigMessages => "config_messages",
    /// Messages on the configuration for which the agent had no room.
    ConfigInputsDropped => "config_inputs_dropped",
    /// Messages on the configuration that named what there can't be.
    ConfigBadMessages => "config_bad_messages",
    /// Pages given to peers.
    ConfigPagesGiven => "config_pages_given",
    /// Calls to the store for the configuration, watches included.
    ConfigStoreCalls => "config_store_calls",
    /// Calls to the store for the configuration that failed.
    ConfigStoreFailures => "config_store_failures",
    /// Answers of the store dropped as they came from an old copy.
    ConfigOldCopies => "config_old_copies",
    /// Reads of the list of instances that failed.
    ListFailures => "list_failures",
    /// Messages of membership taken.
    FleetMessages => "fleet_messages",
    /// Times that this daemon became the lead of a model.
    LeadsTaken => "leads_taken",
    /// Orders to engines given.
    OrdersGiven => "orders_given",
    /// Orders to engines taken.
    OrdersTaken => "orders_taken",
    /// Orders to engines refused.
    OrdersRefused => "orders_refused",
    /// Changes of the fleet noticed.
    FleetChanges => "fleet_changes",
    /// Messages of membership dropped, as too many waited.
    FleetInputsDropped => "fleet_inputs_dropped",
    /// Calls that had come before, and were not passed on again.
    StartsRepeated => "starts_repeated",
    /// Recorded calls that came after their record was given up.
    StartsFenced => "starts_fenced",
    /// Recorded calls of which it is no longer known whether they ran.
    StartsForgotten => "starts_forgotten",
    /// Claims sent to the ledger's holders.
    Claims => "claims",
    /// Answers of an earlier run with the same key.
    Replayed => "replayed",
    /// Keys used for another request.
    KeyMismatches => "key_mismatches",
}

/// The counters of one daemon.
#[derive(Debug)]
pub struct Counters {
    values: Vec<AtomicU64>,
}

impl Counters {
    /// All at 0.
    pub fn new() -> Counters {
        Counters { values: Count::ALL.iter().map(|_| AtomicU64::new(0)).collect() }
    }

    /// Counts one.
    pub fn count(&self, what: Count) {
        self.add(what, 1);
    }

    /// Counts several.
    pub fn add(&self, what: Count, by: u64) {
        self.values[what as usize].fetch_add(by, Ordering::Relaxed);
    }

    /// The value of one.
    pub fn get(&self, what: Count) -> u64 {
        self.values[what as usize].load(Ordering::Relaxed)
    }

    /// All by name.
    pub fn snapshot(&self) -> Vec<(&'static str, u64)> {
        Count::ALL.iter().map(|count| (count.name(), self.get(*count))).collect()
    }
}

impl Default for Counters {
    fn default() -> Self {
        Counters::new()
    }
}
