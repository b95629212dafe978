//! Counters and latency histograms, and the metrics page that shows them.

use hdrhistogram::Histogram;
use sorrellock_platform::StoreCalls;
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::time::Duration;

macro_rules! counts {
    ($($(#[doc = $doc:literal])+ $name:ident => $text:literal,)*) => {
        /// Counters of a gateway. The texts are their names on the metrics page.
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
    /// Requests received.
    Requests => "requests",
    /// Requests answered with an endpoint's whole answer.
    Answered => "answered",
    /// Requests refused as not run.
    NotRun => "not_run",
    /// Requests abandoned that may have run.
    Unknown => "unknown",
    /// Requests that timed out.
    TimedOut => "timed_out",
    /// Answers cut off after their head was sent.
    Cut => "cut",
    /// Requests refused because they may take longer than this gateway has left before it ends.
    RefusedLeaving => "refused_leaving",
    /// Requests cut off by the end of this gateway.
    CutLeaving => "cut_leaving",
    /// Callers that disconnected before their answer was complete.
    CallersGone => "callers_gone",
    /// Requests that no route or key allows.
    NotAllowed => "not_allowed",
    /// Requests with an invalid head or body.
    BadRequests => "bad_requests",
    /// Sends of a request after the first.
    Repeats => "repeats",
    /// Sends that the retry budget refused.
    BudgetRefusals => "budget_refusals",
    /// Requests sent again after an endpoint refused them as not run.
    RepeatsRefused => "repeats_refused",
    /// Requests sent again after an attempt failed, or a run was abandoned before its first event.
    RepeatsFailed => "repeats_failed",
    /// Requests sent again while an attempt without an answer is open.
    RepeatsOverdue => "repeats_overdue",
    /// Streams sent again to go on after the events that they have delivered.
    RepeatsResumed => "repeats_resumed",
    /// Streams that continued over another path after they lost their run.
    Resumed => "resumed",
    /// Streams that their first engine moved to another path.
    Repathed => "repathed",
    /// Runs of streams that ended with their engine's connection.
    RunsBroken => "runs_broken",
    /// Runs of streams that were suspected because an engine of their path was considered dead.
    RunsSuspected => "runs_suspected",
    /// Runs of streams that were suspected because no event arrived.
    RunsSilent => "runs_silent",
    /// Failovers that were withdrawn because the suspected run continued.
    FailoversWithdrawn => "failovers_withdrawn",
    /// Suspected endpoints that showed a sign of life during the suspicion.
    SuspicionsRefuted => "suspicions_refuted",
    /// Requests for scarce capacity to the gateway that gives it out, which may be this one.
    CapacityAsks => "capacity_asks",
    /// Such requests to another gateway that got no answer.
    CapacityUnanswered => "capacity_unanswered",
    /// Capacity that this gateway gave out.
    CapacityGrants => "capacity_grants",
    /// Requests for capacity that this gateway refused.
    CapacityRefusals => "capacity_refusals",
    /// Requests for capacity of callers that returned as this gateway had told them.
    CapacityReturns => "capacity_returns",
    /// Requests for capacity that can't be read.
    CapacityAsksInvalid => "capacity_asks_invalid",
    /// Attempts that an endpoint refused as not run.
    AttemptsNotRun => "attempts_not_run",
    /// Attempts that got no answer.
    AttemptsFailed => "attempts_failed",
    /// Connections opened to endpoints.
    EndpointConnections => "endpoint_connections",
    /// Answers dropped because they belong to another request.
    CrossedAnswers => "crossed_answers",
    /// Sends given up as an endpoint of the request's path had become one that gets no new work.
    SendsToClosed => "sends_to_closed",
    /// Answers dropped because their status is none of an answer, or contradicts their headers.
    InvalidAnswers => "invalid_answers",
    /// Answers dropped because their status says that the request has not run, without evidence.
    UnprovenRefusals => "unproven_refusals",
    /// Calls to the store that failed.
    StoreFailures => "store_failures",
    /// Watches of the store that were abandoned because they might no longer deliver updates.
    WatchesDoubted => "watches_doubted",
    /// Eras of the store that began, each with a restore from an older copy of its data.
    StoreEras => "store_eras",
    /// Lists from the store repeated because an era began.
    EraLists => "era_lists",
    /// Objects of this gateway written again because an era began.
    ObjectsRewritten => "objects_rewritten",
    /// Orders sent to engines.
    Orders => "orders",
    /// Orders that engines refused, or that got no answer.
    OrderFailures => "order_failures",
    /// Incarnations of endpoints that ended because a later one began.
    LivesEnded => "lives_ended",
    /// Entries and answers of incarnations that had already ended.
    NewsLate => "news_late",
    /// Reports without a start time, of engines whose entry has one.
    ReportsWithoutStart => "reports_without_start",
    /// Reports requested from engines.
    Reports => "reports",
    /// Queries without an answer that aren't evidence, because this process sent or ended them too late.
    QuestionsHeldUp => "questions_held_up",
    /// Messages from other gateways.
    PeerMessages => "peer_messages",
    /// Messages sent to other gateways.
    PeerMessagesSent => "peer_messages_sent",
    /// Bytes of these messages.
    PeerBytesSent => "peer_bytes_sent",
    /// Summaries of the fleet that a relay sent again, as the last one didn't arrive.
    SummariesSentAgain => "summaries_sent_again",
    /// Answers to other gateways that lack configurations or endpoints.
    Handovers => "handovers",
    /// Bytes of these answers.
    HandoverBytes => "handover_bytes",
    /// Those of them with a whole configuration.
    HandoversOfConfigurations => "handovers_of_configurations",
    /// Whole answers that were requested as the changes didn't fit, as after the removal of an endpoint.
    HandoversAgain => "handovers_again",
    /// Changes of a configuration from another gateway that don't lead to what they say.
    ConfigurationChangesBad => "configuration_changes_bad",
    /// Messages from other gateways that can't be decoded.
    PeerMessagesBad => "peer_messages_bad",
    /// Entries of endpoints that can't be read at all.
    EntriesUnreadable => "entries_unreadable",
    /// Entries of endpoints that lack a field.
    EntriesIncomplete => "entries_incomplete",
    /// Entries of endpoints with a field of another type or value.
    EntriesMalformed => "entries_malformed",
    /// Entries of endpoints without a start time where others have one.
    EntriesWithoutStart => "entries_without_start",
    /// Objects in the store whose name can't be read.
    NamelessObjects => "nameless_objects",
    /// Invalid registrations of gateways.
    RegistrationsRefused => "registrations_refused",
    /// Invalid objects of the lead.
    LeadRecordsRefused => "lead_records_refused",
    /// Invalid configurations.
    ConfigurationsRefused => "configurations_refused",
    /// Runs of this gateway on endpoints that ended, which may have crashed them.
    RunsCrashed => "runs_crashed",
    /// Parts of prompts that can't be read.
    PromptPartsInvalid => "prompt_parts_invalid",
    /// Parts of prompts beyond those that are read of a request.
    PromptPartsOmitted => "prompt_parts_omitted",
    /// Requests that are held back because endpoints ended under them, each counted once.
    RequestsHeld => "requests_held",
    /// Requests that were held back and released.
    RequestsReleased => "requests_released",
    /// Arrivals of held requests that were refused.
    HeldRefusals => "held_refusals",
    /// Sends of held requests that were prevented after their admission.
    HeldSends => "held_sends_prevented",
    /// Held requests that this gateway sent once to see whether they do no more harm.
    HeldTrials => "held_trials",
    /// Reads of held requests from another gateway that failed.
    HeldFetchFailures => "held_fetch_failures",
    /// Invalid records of held requests.
    HeldRecordsRefused => "held_records_refused",
    /// Changes of limits that endpoints name.
    LimitsNamed => "limits_named",
    /// Limits in answers that can't be read.
    LimitsInvalid => "limits_invalid",
    /// Requests sent to endpoints that name a limit.
    LimitedSends => "limited_sends",
    /// Permits to send to an endpoint that names a limit that were denied.
    PermitsDenied => "permits_denied",
    /// Requests for a permit without an answer.
    PermitFailures => "permit_failures",
    /// Answers of endpoints that ask for no requests for a while.
    BackoffsAsked => "backoffs_asked",
    /// Such answers whose time can't be read.
    BackoffsInvalid => "backoffs_invalid",
    /// Sends that were prevented after an endpoint was chosen, as it had asked for none meanwhile.
    BackoffSends => "backoff_sends_prevented",
    /// Endpoints that said in an answer that they leave.
    LeavingAnswered => "leaving_answered",
    /// Answers of which it can't be read whether their endpoint leaves.
    LeavingInvalid => "leaving_invalid",
    /// Fields in endpoints' answers that nothing reads.
    UnknownAnswerFields => "unknown_answer_fields",
    /// Messages to the other gateways that were too long or could not be encoded.
    PeerMessagesUnsent => "peer_messages_unsent",
    /// Whole views of the engines read from another gateway.
    ViewsRead => "views_read",
    /// Whole views that could not be read.
    ViewReadFailures => "view_read_failures",
    /// Connections refused because too many were open.
    ConnectionsRefused => "connections_refused",
    /// Connections to endpoints that were not opened because too many were open.
    EndpointConnectionsRefused => "endpoint_connections_refused",
}

/// Longest latency that a histogram records, in microseconds; longer ones count as this.
const MAX_US: u64 = 60_000_000;

/// A histogram of latencies.
pub(crate) struct Latency {
    us: RefCell<Histogram<u64>>,
}

impl Latency {
    fn new() -> Latency {
        let us = Histogram::new_with_bounds(1, MAX_US, 2).expect("the bounds are in order");
        Latency { us: RefCell::new(us) }
    }

    /// Records one latency.
    pub(crate) fn record(&self, latency: Duration) {
        let us = (latency.as_micros() as u64).clamp(1, MAX_US);
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
    /// Time from a request's head to the first byte of its answer.
    pub(crate) first_byte: Latency,
    /// Time from a request's head to the end of its answer.
    pub(crate) whole_answer: Latency,
    /// Time from the last event of a stalled or broken stream to the next one.
    pub(crate) repair_time: Latency,
    /// Round trip times of calls to the store, except watches.
    pub(crate) store_call: Latency,
    /// Lag of the event loop: how late its timers fire.
    pub(crate) loop_lag: Latency,
}

impl Counters {
    /// Returns counters at zero and empty histograms.
    pub(crate) fn new() -> Counters {
        Counters {
            counts: Count::ALL.iter().map(|_| Cell::new(0)).collect(),
            first_byte: Latency::new(),
            whole_answer: Latency::new(),
            repair_time: Latency::new(),
            store_call: Latency::new(),
            loop_lag: Latency::new(),
        }
    }

    /// Increments a counter.
    pub(crate) fn add(&self, count: Count) {
        let cell = &self.counts[count as usize];
        cell.set(cell.get() + 1);
    }

    /// Adds to a counter.
    pub(crate) fn add_many(&self, count: Count, number: usize) {
        let cell = &self.counts[count as usize];
        cell.set(cell.get() + number as u64);
    }

    /// Returns the value of a counter.
    pub(crate) fn get(&self, count: Count) -> u64 {
        self.counts[count as usize].get()
    }

    /// Formats the metrics page.
    pub(crate) fn page(&self, store_calls: &StoreCalls, gauges: &[(&str, f64)]) -> String {
        let mut page = String::with_capacity(4_096);
        for count in Count::ALL {
            let value = self.get(*count);
            let _ = writeln!(page, "sorrellock_{} {value}", count.name());
        }
        let _ = writeln!(page, "sorrellock_store_calls {}", store_calls.total());
        for (kind, call, count) in store_calls.by_sort().filter(|(.., count)| *count > 0) {
            let (kind, call) = (kind.name(), call.name());
            let _ = writeln!(
                page,
                "sorrellock_store_calls_by_sort{{kind=\"{kind}\",call=\"{call}\"}} {count}"
            );
        }
        let _ = writeln!(page, "sorrellock_log_lines_dropped {}", super::dropped_lines());
        let _ = writeln!(page, "sorrellock_log_failures_dropped {}", super::dropped_failures());
        for (name, value) in gauges {
            let _ = writeln!(page, "sorrellock_{name} {value}");
        }
        self.first_byte.write(&mut page, "first_byte");
        self.whole_answer.write(&mut page, "whole_answer");
        self.repair_time.write(&mut page, "mend");
        self.store_call.write(&mut page, "store_call");
        self.loop_lag.write(&mut page, "loop_lag");
        page
    }
}
