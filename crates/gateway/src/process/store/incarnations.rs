//! Incarnations of endpoints: what tells first of a new one ends the one before everywhere in the process.

use crate::process::{Count, EndedIncarnation, Gateway};
use sorrellock_platform::{Client, read_report};
use sorrellock_routing::process::Revision;
use sorrellock_routing::process::{AnswerNews, Endpoint, EntryNews, Incarnation, StartMillis};
use spdlog::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for the report that settles which of two incarnations is the present one: a hundred round trips inside a
/// region.
const SETTLE_LIMIT: Duration = Duration::from_millis(250);
/// What told of a new incarnation, for log lines: a report, or health that tells a start.
const OWN_ANSWER: &str = "its report";

/// Whose answer it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerOf {
    /// The incarnation that was asked.
    SameIncarnation,
    /// Another incarnation, or one that was over by then: it tells nothing of the one that was asked.
    OtherIncarnation,
    /// It tells no start, while the entry does.
    Untold,
}

impl Gateway {
    /// Whether an incarnation is over, as far as any news tells.
    pub(crate) fn has_ended(&self, incarnation: &Incarnation) -> bool {
        self.incarnations.borrow().has_ended(incarnation)
    }

    /// The entry as it is to be taken, with the incarnation that it ends; nothing if it is late news, or only
    /// the endpoint can tell.
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
            EntryNews::Present => Some((endpoint, None)),
            EntryNews::Untold => {
                let started = self.incarnations.borrow().present(&incarnation.id).flatten();
                Some((Endpoint { started, ..endpoint }, None))
            }
            EntryNews::Began { ended } => Some((endpoint, Some(ended))),
            EntryNews::Late => {
                self.counters.add(Count::NewsLate);
                let started = incarnation.started.unwrap_or_default();
                info!("late entry of an endpoint", kv: {
                    endpoint = incarnation.id.as_str(), started, era = revision.era,
                    revision = revision.count, source
                });
                None
            }
            EntryNews::Contradicts => {
                let started = incarnation.started.unwrap_or_default();
                warn!("entries of an endpoint contradict each other", kv: {
                    endpoint = incarnation.id.as_str(), started, era = revision.era,
                    revision = revision.count, source
                });
                self.settle(endpoint, revision);
                None
            }
        }
    }

    /// Asks an engine whether the incarnation of an entry is the present one, and takes the entry if it is.
    /// Other services have no report: there the next entry tells.
    fn settle(self: &Rc<Self>, endpoint: Endpoint, revision: Revision) {
        if endpoint.card.is_none() {
            return;
        }
        let gateway = Rc::clone(self);
        tokio::task::spawn_local(async move {
            gateway.counters.add(Count::Reports);
            let asked = Instant::now();
            let client = Client::new(endpoint.addr);
            let Ok(report) = read_report(&client, SETTLE_LIMIT).await else { return };
            let incarnation = endpoint.incarnation();
            let news = gateway.answer_news(&incarnation.id, report.started, asked);
            let AnswerNews::Began { ended } = news else { return };
            if report.started == incarnation.started {
                gateway.take_entry(endpoint, revision, OWN_ANSWER);
            }
            gateway.on_life_found(ended, report.started);
        });
    }

    /// Takes an endpoint's own answer to a question that was put to `incarnation` at `asked`.
    pub(crate) fn on_answer_of(
        &self,
        incarnation: &Incarnation,
        addr: SocketAddr,
        started: Option<StartMillis>,
        asked: Instant,
    ) -> AnswerOf {
        if started != incarnation.started && self.has_other_endpoint(incarnation, addr, started) {
            return AnswerOf::OtherIncarnation;
        }
        match self.answer_news(&incarnation.id, started, asked) {
            AnswerNews::Present { .. } if started == incarnation.started => {
                self.note_alive(incarnation, "its report");
                AnswerOf::SameIncarnation
            }
            AnswerNews::Present { .. } => AnswerOf::OtherIncarnation,
            AnswerNews::Untold => {
                self.counters.add(Count::ReportsWithoutStart);
                warn!("report without a start", kv: { endpoint = incarnation.id.as_str() });
                AnswerOf::Untold
            }
            AnswerNews::Began { ended } => {
                self.on_life_found(ended, started);
                AnswerOf::OtherIncarnation
            }
            AnswerNews::Late => {
                self.counters.add(Count::NewsLate);
                let started = started.unwrap_or_default();
                info!("late answer of an endpoint", kv: { endpoint = incarnation.id.as_str(), started });
                AnswerOf::OtherIncarnation
            }
        }
    }

    /// Whether the list tells of another endpoint at an address, in the incarnation that answered: a report bears
    /// no id, and addresses are used again.
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

    fn answer_news(&self, id: &str, started: Option<StartMillis>, asked: Instant) -> AnswerNews {
        let now = Instant::now().into_std();
        let news = self.incarnations.borrow_mut().on_answer(id, started, asked.into_std(), now);
        if let AnswerNews::Present { now_over } = &news {
            now_over.iter().for_each(|ended| self.tell_end(ended.clone(), started));
        }
        news
    }

    /// An answer told this gateway of a new incarnation.
    fn on_life_found(&self, ended: Incarnation, successor: Option<StartMillis>) {
        let incarnation = Incarnation::new(ended.id.clone(), successor);
        self.tell_end(ended.clone(), successor);
        self.begin_incarnation(&ended, &incarnation, OWN_ANSWER);
    }

    /// Tells the other gateways at once that an incarnation is over for good.
    fn tell_end(&self, ended: Incarnation, successor: Option<StartMillis>) {
        let end = EndedIncarnation { ended, successor };
        self.beliefs.borrow_mut().note_end(end, Instant::now());
        self.suspected.notify_one();
    }

    /// Another gateway found the end of an incarnation.
    pub(crate) fn receive_end(&self, end: &EndedIncarnation, instance: &str) {
        let EndedIncarnation { ended, successor } = end;
        let now = Instant::now().into_std();
        if !self.incarnations.borrow_mut().on_end_told(ended, *successor, now) {
            return;
        }
        let present = self.incarnations.borrow().present(&ended.id);
        let incarnation = Incarnation::new(ended.id.clone(), present.unwrap_or(*successor));
        self.begin_incarnation(ended, &incarnation, instance);
    }

    /// An incarnation began of which no entry tells yet: it holds nothing.
    fn begin_incarnation(&self, ended: &Incarnation, incarnation: &Incarnation, source: &str) {
        if !self.knowledge.borrow().is_current(incarnation) {
            self.knowledge.borrow_mut().begin_incarnation(incarnation);
        }
        self.on_life_ended(ended, incarnation, source);
        self.refresh_paths();
    }

    /// Ends an incarnation everywhere: nothing that belonged to it is used for `incarnation`. Its paths break as paths are
    /// worked out next, at once: for a batch of entries that is done once, behind the last of them.
    pub(crate) fn on_life_ended(
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

    /// Another endpoint answers at the address of an incarnation: what its entry says is of the past. It guards
    /// plans: the entry of an instance that ended may be written late, after its successor's, and its
    /// layers were planned for again (22 times on a day with engines that crash behind a cut).
    pub(crate) fn on_replaced(&self, incarnation: &Incarnation) {
        if !self.incarnations.borrow_mut().on_replaced(incarnation) {
            return;
        }
        self.counters.add(Count::LivesEnded);
        info!("another endpoint has the address", kv: { endpoint = incarnation.id.as_str() });
        self.forget_incarnation(incarnation);
        self.refresh_paths();
    }

    /// Nothing of an incarnation that is over is used any more.
    fn forget_incarnation(&self, incarnation: &Incarnation) {
        self.uses.borrow_mut().remove(incarnation);
        self.probes.borrow_mut().remove(incarnation);
        self.pool.borrow_mut().remove(incarnation);
        self.engines_changed.notify_waiters();
    }
}
