//! The latest changes of the configuration, for gateways that have an earlier version.

use crate::version::{ConfigurationChange, ConfigurationMark, RouteTable};
use std::collections::VecDeque;

/// Number of changes that are kept.
const MAX_CHANGES: usize = 32;

/// Changes that lead to the configuration in force, the oldest first. Together they hold fewer items than half of the configuration.
#[derive(Debug, Default)]
pub(super) struct RecentChanges(VecDeque<ConfigurationChange>);

impl RecentChanges {
    /// Records that a configuration replaced another one.
    pub(super) fn on_change(&mut self, before: &RouteTable, after: &RouteTable) {
        let change =
            ConfigurationChange::new((before.cfg(), before.mark()), (after.cfg(), after.mark()));
        self.0.push_back(change);
        let most = after.cfg().items() / 2;
        while self.0.len() > MAX_CHANGES || self.new_items() > most {
            self.0.pop_front();
        }
    }

    /// Returns the changes from a configuration to the one in force; `None` if they aren't known or as long as the whole.
    pub(super) fn since(&self, mark: ConfigurationMark) -> Option<Vec<ConfigurationChange>> {
        let first = self.0.iter().position(|change| change.before() == mark)?;
        Some(self.0.range(first..).cloned().collect())
    }

    fn new_items(&self) -> usize {
        self.0.iter().map(ConfigurationChange::new_items).sum()
    }
}
