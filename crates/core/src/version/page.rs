//! Pages: the configuration is split into objects that stay far below the store's limit on value size.

use crate::id::Revision;
use crate::version::{Item, PageError};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Number of pages for the rows of the shared table, and also the number of pages for workspaces.
/// With 18,000 workspaces, a page holds about 70 of them.
pub const PAGES: u16 = 256;
/// Key prefix of all configuration in the store.
pub const CONFIG_PREFIX: &str = "config/";
/// Maximum size of a page in bytes of JSON; the store accepts no larger value.
pub const MAX_PAGE_BYTES: usize = 1 << 20;
/// Number of recent changes kept in a page. A writer whose answer was lost looks for its change's id among them.
pub const RECENT_CHANGES: usize = 32;

/// Returns the number of the page that holds a workspace and its rows.
pub fn page_of(workspace: &str) -> u16 {
    (xxh3_64(workspace.as_bytes()) % u64::from(PAGES)) as u16
}

/// Identifies one object of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum PageId {
    /// A page with rows of the shared table.
    Table(u16),
    /// A page with workspaces.
    Workspaces(u16),
    /// The page with all pipelines.
    Pipelines,
}

impl PageId {
    /// Number of pages.
    pub const COUNT: usize = 2 * PAGES as usize + 1;

    /// Returns the page's number among all pages, below [`PageId::COUNT`].
    pub fn index(self) -> usize {
        match self {
            PageId::Table(page) => usize::from(page),
            PageId::Workspaces(page) => usize::from(PAGES) + usize::from(page),
            PageId::Pipelines => 2 * usize::from(PAGES),
        }
    }

    /// Returns the page with a number below [`PageId::COUNT`].
    pub fn at(index: usize) -> PageId {
        let pages = usize::from(PAGES);
        match index {
            _ if index < pages => PageId::Table(index as u16),
            _ if index < 2 * pages => PageId::Workspaces((index - pages) as u16),
            _ => PageId::Pipelines,
        }
    }

    /// Whether the page number is valid; a message from a peer can contain an invalid one.
    pub fn exists(self) -> bool {
        match self {
            PageId::Table(page) | PageId::Workspaces(page) => page < PAGES,
            PageId::Pipelines => true,
        }
    }

    /// Returns the page's key in the store.
    pub fn key(&self) -> String {
        match self {
            PageId::Table(page) => format!("{CONFIG_PREFIX}table/{page:03}"),
            PageId::Workspaces(page) => format!("{CONFIG_PREFIX}workspaces/{page:03}"),
            PageId::Pipelines => format!("{CONFIG_PREFIX}pipelines"),
        }
    }

    /// Parses a key of the store. Returns `None` if it isn't the key of a page.
    pub fn parse(key: &str) -> Option<PageId> {
        let rest = key.strip_prefix(CONFIG_PREFIX)?;
        if rest == "pipelines" {
            return Some(PageId::Pipelines);
        }
        let (page_type, number) = rest.split_once('/')?;
        let number = number.parse().ok().filter(|number| *number < PAGES)?;
        let page = match page_type {
            "table" => PageId::Table(number),
            "workspaces" => PageId::Workspaces(number),
            _ => return None,
        };
        // Accepts the canonical spelling only: `table/007`, not `table/7`.
        (page.key() == key).then_some(page)
    }
}

impl fmt::Display for PageId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.key())
    }
}

/// Author and time of a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Random id of the change. After a lost answer, the writer reads the page back and looks for it.
    pub id: u64,
    /// The operator who made the change.
    pub by: String,
    /// Milliseconds since the Unix epoch; for display only.
    pub at_ms: u64,
    /// The revision of the store at which the change took effect. It is 0 in the page that the change itself wrote,
    /// as the writer can't know the revision in advance; there, the revision of the page applies.
    pub revision: Revision,
}

impl Change {
    /// Returns the revision at which the change took effect, for a page read at `page_revision`.
    pub fn revision_in(&self, page_revision: Revision) -> Revision {
        if self.revision == 0 { page_revision } else { self.revision }
    }
}

/// An item and its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The item.
    pub item: T,
    /// The last change of the item.
    pub change: Change,
}

/// The value of a configuration object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page<T> {
    /// The latest changes of the page, newest last, at most [`RECENT_CHANGES`].
    pub recent: Vec<Change>,
    /// The items, sorted by name.
    pub items: Vec<Versioned<T>>,
}

impl<T> Default for Page<T> {
    fn default() -> Self {
        Page { recent: Vec::new(), items: Vec::new() }
    }
}

impl<T: Item> Page<T> {
    /// Creates a page whose items were all written by one change.
    pub fn new(change: Change, items: Vec<T>) -> Page<T> {
        let versioned = |item| Versioned { item, change: change.clone() };
        let mut items: Vec<_> = items.into_iter().map(versioned).collect();
        items.sort_by_cached_key(|versioned| versioned.item.name());
        Page { recent: vec![change], items }
    }

    /// Finds an item by its name.
    pub fn get(&self, name: &str) -> Option<&Versioned<T>> {
        self.items.iter().find(|versioned| versioned.item.name() == name)
    }

    /// Checks that the content is valid for page `id`.
    pub fn check(&self, id: PageId) -> Result<(), PageError> {
        check_items(id, self.items.iter().map(|versioned| &versioned.item))
    }
}

/// Checks the items of page `id`: each must be valid, belong to this page and have a unique name.
pub(crate) fn check_items<'a, T: Item>(
    id: PageId,
    items: impl IntoIterator<Item = &'a T>,
) -> Result<(), PageError> {
    let mut names = HashSet::new();
    for item in items {
        item.check().map_err(|err| PageError::malformed(id, err))?;
        if item.page() != id {
            let detail = format!("`{}` belongs to page {}", item.name(), item.page());
            return Err(PageError::malformed(id, detail));
        }
        if !names.insert(item.name()) {
            return Err(PageError::malformed(id, format!("`{}` occurs twice", item.name())));
        }
    }
    Ok(())
}
