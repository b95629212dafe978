//! Incarnations of endpoints. The first evidence of a new incarnation ends the previous one everywhere in the process.

use crate::process::{Count, Gateway};
use sorrellock_platform::{Client, read_report};
use sorrellock_routing::process::Revision;
use sorrellock_routing::process::{
    AnswerUpdate, EndedIncarnation, Endpoint, EntryUpdate, Incarnation, StartMillis,
};
use spdlog::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for the report that shows which of two incarnations is the current one: a hundred round trips inside a
/// region.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Source of a new incarnation in log lines: a report, or a health answer with a start time.
const OWN_ANSWER: &str = "its report";

/// Which incarnation an answer came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerOf {
    /// The incarnation that the request was for.
    SameIncarnation,
    /// Another incarnation, or one that had ended by then: the answer says nothing about the requested one.
    OtherIncarnation,
    /// Unknown: the answer has no start time, while the entry has one.
    WithoutStart,
}

impl Gateway {
    /// Returns whether an incarnation has ended, by any entry or answer received so far.
    pub(crate) fn has_ended(&self, incarnation: &Incarnation) -> bool {
        self.incarnations.borrow().has_ended(incarnation)
    }

    /// Returns the entry to apply, with the incarnation that it ends, or `None` if the entry is outdated or only the
    /// endpoint itself can settle which incarnation is current.
    pub(crate) fn incarnation_of_entry(
        self: &Rc<Self>,
        endpoint: Endpoint,
        revision: Revision,
        source: &str,
    ) -> Option<(Endpoint, Option<Incarnation>)> {
        let incarnation = endpoint.incarnation();
        let now = Instant::now().into_std();
        let news = self.incarnations.borrow_mut().on_entry(&incarnation, revision, now);
        match news {
            EntryUpdate::Present => Some((endpoint, None)),
            EntryUpdate::NoStart => {
                let started = self.incarnations.borrow().present(&incarnation.id).flatten();
                Some((Endpoint { started, ..endpoint }, None))
            }
            EntryUpdate::Began { ended } => Some((endpoint, Some(ended))),
            EntryUpdate::Late => {
                self.counters.add(Count::NewsLate);
                let started = incarnation.started.unwrap_or_default();
                info!("late entry of an endpoint", kv: {
                    endpoint = incarnation.id.as_str(), started, era = revision.era,
                    revision = revision.count, source
                });
                None
            }
            EntryUpdate::Contradicts => {
                let started = incarnation.started.unwrap_or_default();
                warn!("entries of an endpoint contradict each other", kv: {
                    endpoint = incarnation.id.as_str(), started, era = revision.era,
                    revision = revision.count, source
                });
                self.resolve_contradiction(endpoint, revision);
                None
            }
        }
    }

    /// Requests an engine's report to find out whether the incarnation of an entry is the current one, and applies the
    /// entry if it is. Endpoints that aren't engines have no report: there the next entry decides.
    fn resolve_contradiction(self: &Rc<Self>, endpoint: Endpoint, revision: Revision) {
        if endpoint.card.is_none() {
            return;
        }
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            gateway.counters.add(Count::Reports);
            let requested_at = Instant::now();
            let client = Client::new(endpoint.addr);
            let Ok(report) = read_report(&client, SETTLE_TIMEOUT).await else { return };
            let incarnation = endpoint.incarnation();
            let news = gateway.classify_answer(&incarnation.id, report.started, requested_at);
            let AnswerUpdate::Began { ended } = news else { return };
            if report.started == incarnation.started {
                gateway.apply_current_entry(endpoint, revision, OWN_ANSWER);
            }
            gateway.on_new_incarnation_found(ended, report.started);
        });
    }

    /// Applies the start time in an endpoint's answer to a request that was sent to `incarnation` at `requested_at`.
    pub(crate) fn on_answer_of(
        &self,
        incarnation: &Incarnation,
        addr: SocketAddr,
        started: Option<StartMillis>,
        requested_at: Instant,
    ) -> AnswerOf {
        if started != incarnation.started && self.has_other_endpoint(incarnation, addr, started) {
            return AnswerOf::OtherIncarnation;
        }
        match self.classify_answer(&incarnation.id, started, requested_at) {
            AnswerUpdate::Present { .. } if started == incarnation.started => {
                self.note_alive(incarnation, "its report");
                AnswerOf::SameIncarnation
            }
            AnswerUpdate::Present { .. } => AnswerOf::OtherIncarnation,
            AnswerUpdate::NoStart => {
                self.counters.add(Count::ReportsWithoutStart);
                warn!("report without a start", kv: { endpoint = incarnation.id.as_str() });
                AnswerOf::WithoutStart
            }
            AnswerUpdate::Began { ended } => {
                self.on_new_incarnation_found(ended, started);
                AnswerOf::OtherIncarnation
            }
            AnswerUpdate::Late => {
                self.counters.add(Count::NewsLate);
                let started = started.unwrap_or_default();
                info!("late answer of an endpoint", kv: { endpoint = incarnation.id.as_str(), started });
                AnswerOf::OtherIncarnation
            }
        }
    }

    /// Returns whether another endpoint is listed at an address, in the incarnation that answered. A report carries no
    /// id, and addresses are reused.
    fn has_other_endpoint(
        &self,
        incarnation: &Incarnation,
        addr: SocketAddr,
        started: Option<StartMillis>,
    ) -> bool {
        let knowledge = self.knowledge.borrow();
        let mut endpoints = knowledge.endpoints();
        endpoints.any(|e| e.id != incarnation.id && e.addr == addr && e.started == started)
    }

    fn classify_answer(
        &self,
        id: &str,
        started: Option<StartMillis>,
        requested_at: Instant,
    ) -> AnswerUpdate {
        let now = Instant::now().into_std();
        let news =
            self.incarnations.borrow_mut().on_answer(id, started, requested_at.into_std(), now);
        if let AnswerUpdate::Present { confirmed_ended } = &news {
            confirmed_ended.iter().for_each(|ended| self.announce_end(ended.clone(), started));
        }
        news
    }

    /// Handles a new incarnation that this gateway found in an answer.
    fn on_new_incarnation_found(&self, ended: Incarnation, successor: Option<StartMillis>) {
        let incarnation = Incarnation::new(ended.id.clone(), successor);
        self.announce_end(ended.clone(), successor);
        self.begin_incarnation(&ended, &incarnation, OWN_ANSWER);
    }

    /// Announces to the other gateways at once that an incarnation has ended for good.
    fn announce_end(&self, ended: Incarnation, successor: Option<StartMillis>) {
        let end = EndedIncarnation { ended, successor };
        self.fleet_state.borrow_mut().note_end(end, Instant::now());
        self.news.notify_one();
    }

    /// Applies the end of an incarnation that another gateway found.
    pub(crate) fn receive_end(&self, end: &EndedIncarnation, instance: &str) {
        let EndedIncarnation { ended, successor } = end;
        let now = Instant::now().into_std();
        if !self.incarnations.borrow_mut().on_end_reported(ended, *successor, now) {
            return;
        }
        let present = self.incarnations.borrow().present(&ended.id);
        let incarnation = Incarnation::new(ended.id.clone(), present.unwrap_or(*successor));
        self.begin_incarnation(ended, &incarnation, instance);
    }

    /// Starts an incarnation that has no entry yet, so that it holds no layers.
    fn begin_incarnation(&self, ended: &Incarnation, incarnation: &Incarnation, source: &str) {
        if !self.knowledge.borrow().is_current(incarnation) {
            self.knowledge.borrow_mut().begin_incarnation(incarnation);
        }
        self.on_incarnation_ended(ended, incarnation, source);
        self.refresh_paths();
    }

    /// Ends an incarnation everywhere: nothing that belonged to it is used for `incarnation`. Its paths break at the next refresh
    /// of the paths, which follows at once; a batch of entries has one refresh, after the last entry.
    pub(crate) fn on_incarnation_ended(
        &self,
        ended: &Incarnation,
        incarnation: &Incarnation,
        source: &str,
    ) {
        self.counters.add(Count::LivesEnded);
        let (before, started) =
            (ended.started.unwrap_or_default(), incarnation.started.unwrap_or_default());
        warn!("endpoint started again", kv: {
            endpoint = incarnation.id.as_str(), before, started, source
        });
        self.forget_incarnation(ended);
    }

    /// Ends an incarnation at whose address another endpoint answers: its entry is outdated. This keeps plans correct: the
    /// entry of an instance that ended may be written late, after its successor's, and its layers were then planned
    /// for again (22 times in a day with engines that crash behind a network partition).
    pub(crate) fn on_replaced(&self, incarnation: &Incarnation) {
        if !self.incarnations.borrow_mut().on_replaced(incarnation) {
            return;
        }
        self.counters.add(Count::LivesEnded);
        info!("another endpoint has the address", kv: { endpoint = incarnation.id.as_str() });
        self.forget_incarnation(incarnation);
        self.refresh_paths();
    }

    /// Drops all state of an incarnation that has ended.
    fn forget_incarnation(&self, incarnation: &Incarnation) {
        self.on_endpoint_crashed(incarnation);
        self.uses.borrow_mut().remove(incarnation);
        self.probes.borrow_mut().remove(incarnation);
        self.pool.borrow_mut().remove(incarnation);
        self.engines_changed.notify_waiters();
    }
}
