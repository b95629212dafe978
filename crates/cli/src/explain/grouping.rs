//! Groups of requests by what their log lines say of them.

use super::{Cause, LogFields};
use std::collections::BTreeMap;

/// What requests are grouped by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grouping {
    /// The workspace that sent them.
    Workspace,
    /// Their rank.
    Rank,
    /// Their route.
    Route,
    /// The data centre of the gateway that took them.
    DataCentre,
}

impl Grouping {
    /// The names of the groupings.
    pub const NAMES: [&'static str; 4] = ["workspace", "rank", "route", "data-centre"];

    /// Returns the grouping with this name.
    pub fn parse(name: &str) -> Option<Grouping> {
        let all = [Grouping::Workspace, Grouping::Rank, Grouping::Route, Grouping::DataCentre];
        Grouping::NAMES.iter().position(|known| *known == name).map(|index| all[index])
    }

    /// Returns the group of a request by the fields of its first line.
    pub fn group(self, fields: &LogFields) -> String {
        let group = match self {
            Grouping::Workspace => fields.workspace.clone(),
            Grouping::Rank => fields.rank.map(|rank| rank.to_string()),
            Grouping::Route => fields.route.clone(),
            Grouping::DataCentre => fields.data_centre.clone(),
        };
        group.filter(|group| !group.is_empty()).unwrap_or_else(|| "-".to_owned())
    }
}

/// How the requests of one group were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GroupCounts {
    /// Requests that a gateway took.
    pub taken: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Answered, but not in time.
    pub late: u64,
    /// Cut, failed or without an end.
    pub failed: u64,
}

impl GroupCounts {
    pub(super) fn count(&mut self, cause: &Cause) {
        match cause {
            Cause::Refused(_) => self.refused += 1,
            Cause::Failed(_) | Cause::Cut(_) | Cause::NoEnd => self.failed += 1,
            Cause::CallerGone => {}
            _ => self.late += 1,
        }
    }
}

/// Counts by group.
pub type GroupTable = BTreeMap<String, GroupCounts>;
