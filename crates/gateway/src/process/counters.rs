//! Counters and latency histograms, and their page for the metrics address.

use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::time::Duration;

macro_rules! counts {
    ($($(#[doc = $doc:literal])+ $name:ident => $text:literal,)*) => {
        /// What a gateway counts. The texts are the names on the metrics page.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Count { $($(#[doc = $doc])+ $name,)* }

        impl Count {
            const ALL: &[Count] = &[$(Count::$name,)*];

            fn name(self) -> &'static str {
                match self { $(Count::$name => $text,)* }
            }
        }
    };
}

counts! {
    /// Requests read.
    Requests => "requests",
    /// Requests answered with an endpoint's whole answer.
    Answered => "answered",
    /// Requests refused as not run.
    NotRun => "not_run",
    /// Requests given up that may have run.
    Unknown => "unknown",
    /// Requests whose time was over.
    TimedOut => "timed_out",
    /// Answers cut off after their head was sent.
    Cut => "cut",
    /// Requests refused as they may need longer than this gateway, which was told to end, has left.
    RefusedLeaving => "refused_leaving",
    /// Requests cut by this gateway's own end.
    CutLeaving => "cut_leaving",
    /// Callers that went away before their answer was whole.
    CallersGone => "callers_gone",
    /// Requests that no route or key allows.
    NotAllowed => "not_allowed",
    /// Requests whose head or body can't be used.
    BadRequests => "bad_requests",
    /// Sends beyond the first of a request.
    Repeats => "repeats",
    /// Sends that the retry budget refused.
    BudgetRefusals => "budget_refusals",
    /// Streams that went on over another path.
    Resumed => "resumed",
    /// Streams that their first engine moved to another path.
    Repathed => "repathed",
    /// Runs of streams that ended with their engine's connection.
    RunsBroken => "runs_broken",
    /// Runs of streams that were doubted, as an engine of their path was taken to be dead.
    RunsSuspected => "runs_suspected",
    /// Runs of streams that were doubted, as no event came.
    RunsSilent => "runs_silent",
    /// Failovers that were withdrawn, as the run in doubt went on.
    FailoversWithdrawn => "failovers_withdrawn",
    /// Suspected endpoints that gave a sign of life while the suspicion held.
    SuspicionsRefuted => "suspicions_refuted",
    /// Attempts that an endpoint refused as not run.
    AttemptsNotRun => "attempts_not_run",
    /// Attempts that brought no answer.
    AttemptsFailed => "attempts_failed",
    /// Connections opened to endpoints.
    EndpointConnections => "endpoint_connections",
    /// Answers dropped as they belong to another request.
    CrossedAnswers => "crossed_answers",
    /// Calls to the platform's store.
    StoreCalls => "store_calls",
    /// Calls to the store that failed.
    StoreFailures => "store_failures",
    /// Watches of the store that were given up, as they may have waited in vain.
    WatchesDoubted => "watches_doubted",
    /// Eras of the store that began: it came back from an older copy of itself.
    StoreEras => "store_eras",
    /// Lists of the store that were made anew as an era began.
    EraLists => "era_lists",
    /// Objects of this gateway that it wrote again as an era began.
    ObjectsRewritten => "objects_rewritten",
    /// Orders given to engines.
    Orders => "orders",
    /// Orders that engines refused, or that brought no answer.
    OrderFailures => "order_failures",
    /// Incarnations of endpoints that ended as another one began.
    LivesEnded => "lives_ended",
    /// Entries and answers of incarnations that were over.
    NewsLate => "news_late",
    /// Reports without a start of engines whose entry tells one.
    ReportsWithoutStart => "reports_without_start",
    /// Reports asked of engines.
    Reports => "reports",
    /// Questions without an answer that this process sent or ended too late to be evidence.
    QuestionsHeldUp => "questions_held_up",
    /// Messages from other gateways.
    PeerMessages => "peer_messages",
    /// Messages from other gateways that can't be read.
    PeerMessagesBad => "peer_messages_bad",
    /// Entries of endpoints that can't be read at all.
    EntriesUnreadable => "entries_unreadable",
    /// Entries of endpoints that lack a field.
    EntriesIncomplete => "entries_incomplete",
    /// Entries of endpoints with a field of another type or value.
    EntriesMalformed => "entries_malformed",
    /// Entries of endpoints that don't tell their start where others do.
    EntriesWithoutStart => "entries_without_start",
    /// Objects in the store of which not even the name can be read.
    NamelessObjects => "nameless_objects",
    /// Registrations of gateways that can't be used.
    RegistrationsRefused => "registrations_refused",
    /// Objects of the lead that can't be used.
    LeadRecordsRefused => "lead_records_refused",
    /// Configurations that can't be used.
    ConfigurationsRefused => "configurations_refused",
    /// Connections refused as there were too many.
    ConnectionsRefused => "connections_refused",
}

/// Longest latency that a histogram tells apart, in microseconds.
const MOST_US: u64 = 60_000_000;

/// A histogram of latencies.
pub(crate) struct Latency {
    us: RefCell<Histogram<u64>>,
}

impl Latency {
    fn new() -> Latency {
        let us = Histogram::new_with_bounds(1, MOST_US, 2).expect("the bounds are in order");
        Latency { us: RefCell::new(us) }
    }

    /// Takes one latency.
    pub(crate) fn record(&self, latency: Duration) {
        let us = (latency.as_micros() as u64).clamp(1, MOST_US);
        self.us.borrow_mut().saturating_record(us);
    }

    fn write(&self, page: &mut String, name: &str) {
        let us = self.us.borrow();
        for (label, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
            let value = us.value_at_quantile(quantile);
            let _ = writeln!(page, "sorrellock_{name}_us{{q=\"{label}\"}} {value}");
        }
        let _ = writeln!(page, "sorrellock_{name}_us_count {}", us.len());
    }
}

/// Counters and latency histograms of a gateway.
pub(crate) struct Counters {
    counts: Vec<Cell<u64>>,
    /// From a caller's head to the first byte of its answer.
    pub(crate) first_byte: Latency,
    /// From a caller's head to the end of its answer.
    pub(crate) whole_answer: Latency,
    /// From a stalled or broken stream's last event to the next one.
    pub(crate) mend: Latency,
    /// Round trips to the store, watches aside.
    pub(crate) store_call: Latency,
    /// By how much a timer of the event loop was late.
    pub(crate) loop_lag: Latency,
}

impl Counters {
    /// Nothing counted yet.
    pub(crate) fn new() -> Counters {
        Counters {
            counts: Count::ALL.iter().map(|_| Cell::new(0)).collect(),
            first_byte: Latency::new(),
            whole_answer: Latency::new(),
            mend: Latency::new(),
            store_call: Latency::new(),
            loop_lag: Latency::new(),
        }
    }

    /// Counts one.
    pub(crate) fn add(&self, count: Count) {
        let cell = &self.counts[count as usize];
        cell.set(cell.get() + 1);
    }

    /// How many were counted.
    pub(crate) fn get(&self, count: Count) -> u64 {
        self.counts[count as usize].get()
    }

    /// The metrics page, as text.
    pub(crate) fn page(&self, gauges: &[(&str, f64)]) -> String {
        let mut page = String::with_capacity(4_096);
        for count in Count::ALL {
            let value = self.get(*count);
            let _ = writeln!(page, "sorrellock_{} {value}", count.name());
        }
        let _ = writeln!(page, "sorrellock_log_lines_dropped {}", super::dropped_lines());
        let _ = writeln!(page, "sorrellock_log_failures_dropped {}", super::dropped_failures());
        for (name, value) in gauges {
            let _ = writeln!(page, "sorrellock_{name} {value}");
        }
        self.first_byte.write(&mut page, "first_byte");
        self.whole_answer.write(&mut page, "whole_answer");
        self.mend.write(&mut page, "mend");
        self.store_call.write(&mut page, "store_call");
        self.loop_lag.write(&mut page, "loop_lag");
        page
    }
}
