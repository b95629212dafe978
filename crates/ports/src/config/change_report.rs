//! What became of a change, page by page.

use crate::config::ConfigError;
use sorrellock_core::id::Revision;
use sorrellock_core::version::PageId;

/// How a page took a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Written {
    /// The revision of the store from which the change holds.
    pub revision: Revision,
    /// Whether the page held all of it already, so that nothing was written.
    pub unchanged: bool,
    /// How often it was tried again: for a change of other rows of the page, or a lost answer.
    pub retries: u32,
}

/// What became of one page of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PageReport {
    /// The page.
    pub page: PageId,
    /// The items of the change that lie in it, by name.
    pub items: Vec<String>,
    /// How it took the change, or why not.
    pub outcome: Result<Written, ConfigError>,
}

/// What became of a change, page by page. Pages are written one after the other, each by a
/// conditional write of its own; what is written stays written if a later page fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeReport {
    /// The id that the change carries in every page.
    pub change: u64,
    /// The pages, in the order of writing.
    pub pages: Vec<PageReport>,
}

impl ChangeReport {
    /// The revision from which all that was written holds; `--wait` waits for it.
    pub fn revision(&self) -> Revision {
        let written = self.pages.iter().filter_map(|page| page.outcome.as_ref().ok());
        written.map(|written| written.revision).max().unwrap_or_default()
    }

    /// Whether every page took the change.
    pub fn is_complete(&self) -> bool {
        self.pages.iter().all(|page| page.outcome.is_ok())
    }

    /// The pages that did not take it, and why.
    pub fn failures(&self) -> impl Iterator<Item = (&PageReport, &ConfigError)> {
        self.pages.iter().filter_map(|page| page.outcome.as_ref().err().map(|err| (page, err)))
    }

    /// The first failure, if any; for changes of a single item.
    pub fn into_result(self) -> Result<ChangeReport, ConfigError> {
        match self.pages.iter().find_map(|page| page.outcome.as_ref().err()) {
            Some(err) => Err(err.clone()),
            None => Ok(self),
        }
    }
}
