//! Applies what an answer says of its endpoint.

use crate::process::{Count, Gateway};
use sorrellock_platform::{InvalidNotice, Notices};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::notices::BackoffChange;
use spdlog::{info, warn};
use std::time::Duration;
use tokio::time::Instant;

/// What an endpoint says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum NoticeKind {
    Limit,
    Backoff,
    Leaving,
}

impl NoticeKind {
    /// Returns its name for log lines.
    fn name(self) -> &'static str {
        match self {
            NoticeKind::Limit => "limit",
            NoticeKind::Backoff => "back-off",
            NoticeKind::Leaving => "leaving",
        }
    }

    fn invalid_count(self) -> Count {
        match self {
            NoticeKind::Limit => Count::LimitsInvalid,
            NoticeKind::Backoff => Count::BackoffsInvalid,
            NoticeKind::Leaving => Count::LeavingInvalid,
        }
    }
}

impl Gateway {
    /// Applies what an answer to a request of a caller says of its endpoint. The request was sent at `sent_at`.
    pub(crate) fn on_notices(&self, endpoint: &Incarnation, notices: &Notices, sent_at: Instant) {
        if let Some(limit) = self.valid(endpoint, NoticeKind::Limit, notices.limit.as_ref()) {
            self.on_limit_answered(endpoint, limit.copied(), sent_at);
        }
        if let Some(wait) = self.valid(endpoint, NoticeKind::Backoff, notices.backoff.as_ref()) {
            self.on_backoff_answered(endpoint, wait.copied());
        }
        let leaving = self.valid(endpoint, NoticeKind::Leaving, notices.leaving.as_ref());
        if leaving == Some(Some(&true)) {
            self.on_leaving_answered(endpoint);
        }
    }

    /// Returns what an endpoint says, or that it says nothing; `None` if it can't be read.
    fn valid<'a, T>(
        &self,
        endpoint: &Incarnation,
        kind: NoticeKind,
        notice: Option<&'a Result<T, InvalidNotice>>,
    ) -> Option<Option<&'a T>> {
        match notice {
            None => Some(None),
            Some(Ok(notice)) => Some(Some(notice)),
            Some(Err(err)) => {
                self.on_invalid_notice(endpoint, kind, err);
                None
            }
        }
    }

    /// Counts a notice that can't be read, and logs it once for each endpoint. What was known before stays in force.
    fn on_invalid_notice(&self, endpoint: &Incarnation, kind: NoticeKind, err: &InvalidNotice) {
        self.counters.add(kind.invalid_count());
        if self.invalid_notices.borrow_mut().insert((endpoint.clone(), kind)) {
            let (text, why) = (format!("{} of an endpoint ignored", kind.name()), err.to_string());
            warn!("{}", text, kv: { endpoint = endpoint.id.as_str(), why = why.as_str() });
        }
    }

    fn on_backoff_answered(&self, endpoint: &Incarnation, wait: Option<Duration>) {
        if wait.is_some() {
            self.counters.add(Count::BackoffsAsked);
        }
        let now = Instant::now().into_std();
        let change = self.backoffs.borrow_mut().on_answer(endpoint, wait, now);
        match change {
            Some(BackoffChange::Begun(wait)) => info!("endpoint asked for a back-off", kv: {
                endpoint = endpoint.id.as_str(), wait_ms = wait.as_millis() as u64
            }),
            Some(BackoffChange::Ended) => {
                info!("endpoint takes requests again after its back-off", kv: {
                    endpoint = endpoint.id.as_str()
                });
                self.paths.borrow().freed().notify_waiters();
            }
            None => {}
        }
    }

    /// Applies an answer to a request or a query that says that its endpoint leaves.
    pub(crate) fn on_leaving_answered(&self, endpoint: &Incarnation) {
        let now = Instant::now().into_std();
        let is_new = self.fleet_state.borrow_mut().leaving_notices.add(endpoint, now);
        if !is_new {
            return;
        }
        self.counters.add(Count::LeavingAnswered);
        info!("endpoint said in an answer that it leaves", kv: { endpoint = endpoint.id.as_str() });
        self.refresh_paths();
        self.engines_changed.notify_waiters();
        self.news.notify_one();
    }
}
