//! The retry budget of each service, shared by all gateways.

use crate::process::{Count, Gateway};
use sorrellock_routing::process::retries::{RetryBudget, RetryWindow, Share};
use tokio::time::Instant;

impl Gateway {
    /// Returns the part that this gateway has of the retry budget's slack.
    pub(crate) fn retry_share(&self, now: Instant) -> Share {
        let window = self.bounds.get().retries.window;
        self.fleet_state.borrow().sharers.share(window, now.into_std())
    }

    /// Counts a new request for a service.
    pub(crate) fn on_request(&self, service: &str) {
        let mut budgets = self.budgets.borrow_mut();
        let new = || RetryWindow::new(self.bounds.get().retries);
        let budget = budgets.entry(service.to_owned()).or_insert_with(new);
        budget.on_request(Instant::now().into_std());
    }

    /// Returns whether the budget allows another send of a request after the first.
    pub(crate) fn may_repeat(&self, service: &str) -> bool {
        let now = Instant::now();
        let share = self.retry_share(now);
        let mut budgets = self.budgets.borrow_mut();
        budgets.get_mut(service).is_some_and(|budget| budget.may_spend(now.into_std(), share))
    }

    /// Returns what this gateway has of a service's budget now.
    pub(crate) fn retry_budget(&self, service: &str) -> RetryBudget {
        let now = Instant::now();
        let share = self.retry_share(now);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.get_mut(service);
        budget.map(|budget| budget.budget(now.into_std(), share)).unwrap_or_default()
    }

    /// Takes one send of a request after the first from the budget. Returns whether the budget allowed it.
    pub(crate) fn spend_repeat(&self, service: &str) -> bool {
        let now = Instant::now();
        let share = self.retry_share(now);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.get_mut(service);
        let is_granted = budget.is_some_and(|budget| budget.try_spend(now.into_std(), share));
        self.counters.add(if is_granted { Count::Repeats } else { Count::BudgetRefusals });
        is_granted
    }
}
