//! Reads the limits that endpoints name, and shares them with the other gateways.

use crate::process::{Count, Gateway};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::limits::{LimitChange, LimitReport, RateLimit};
use spdlog::info;
use tokio::time::Instant;

impl Gateway {
    /// Applies what an answer says of an endpoint's limit. The request was sent at `sent_at`.
    pub(crate) fn on_limit_answered(
        &self,
        endpoint: &Incarnation,
        limit: Option<RateLimit>,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        let change =
            self.limits.borrow_mut().on_answer(endpoint, limit, sent_at.into_std(), now.into_std());
        if let Some(change) = change {
            self.report_limit(endpoint, change, "its answer");
            self.news.notify_one();
        }
    }

    /// Applies the limits that another gateway reports.
    pub(crate) fn receive_limits(&self, reports: &[LimitReport], instance: &str) {
        let now = Instant::now().into_std();
        for report in reports {
            let change = self.limits.borrow_mut().on_report(report, now);
            if let Some(change) = change {
                self.report_limit(&report.endpoint, change, instance);
            }
        }
    }

    fn report_limit(&self, endpoint: &Incarnation, change: LimitChange, source: &str) {
        let endpoint = endpoint.id.as_str();
        match change {
            LimitChange::Named(limit) => {
                self.counters.add(Count::LimitsNamed);
                info!("endpoint named a limit", kv: { endpoint, limit = limit.per_s(), source });
            }
            LimitChange::Withdrawn => {
                info!("endpoint withdrew its limit", kv: { endpoint, source });
            }
        }
    }
}
