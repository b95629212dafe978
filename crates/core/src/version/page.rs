//! Pages: the configuration is cut into objects that stay far below the store's largest value.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// How many pages hold the rows of the shared table, and as many the workspaces.
/// 18,000 workspaces give about 280 a page.
pub const PAGES: u16 = 64;
/// Prefix of all configuration in the store.
pub const CONFIG_PREFIX: &str = "config/";

/// Which page holds what belongs to a workspace.
pub fn page_of(workspace: &str) -> u16 {
    (xxh3_64(workspace.as_bytes()) % u64::from(PAGES)) as u16
}

/// Names one object of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PageId {
    /// A page of rows of the shared table.
    Table(u16),
    /// A page of workspaces.
    Workspaces(u16),
    /// All pipelines.
    Pipelines,
}

impl PageId {
    /// Its key in the store.
    pub fn key(&self) -> String {
        match self {
            PageId::Table(page) => format!("{CONFIG_PREFIX}table/{page:03}"),
            PageId::Workspaces(page) => format!("{CONFIG_PREFIX}workspaces/{page:03}"),
            PageId::Pipelines => format!("{CONFIG_PREFIX}pipelines"),
        }
    }

    /// The page that lies under a key, if it is one.
    pub fn parse(key: &str) -> Option<PageId> {
        let rest = key.strip_prefix(CONFIG_PREFIX)?;
        if rest == "pipelines" {
            return Some(PageId::Pipelines);
        }
        let (sort, number) = rest.split_once('/')?;
        let page = number.parse().ok().filter(|page| *page < PAGES)?;
        match sort {
            "table" => Some(PageId::Table(page)),
            "workspaces" => Some(PageId::Workspaces(page)),
            _ => None,
        }
    }
}

/// Who changed something, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Drawn anew for each change; settles a lost answer by reading back.
    pub id: u64,
    /// The operator.
    pub by: String,
    /// Milliseconds since the Unix epoch, for people only.
    pub at_ms: u64,
}

/// The value of a configuration object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page<T> {
    /// The last change of the page.
    pub change: Change,
    /// Its content.
    pub items: Vec<T>,
}
