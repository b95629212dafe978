//! Pages: the configuration is cut into objects that stay far below the store's largest value.

use crate::id::Revision;
use crate::version::{Item, PageError};
use serde::{Deserialize, Serialize};
use std::collections::HashSet;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// How many pages hold the rows of the shared table, and as many the workspaces.
/// 18,000 workspaces give about 70 a page.
pub const PAGES: u16 = 256;
/// Prefix of all configuration in the store.
pub const CONFIG_PREFIX: &str = "config/";
/// Largest page taken, in bytes of JSON; the store takes no larger value.
pub const MAX_PAGE_BYTES: usize = 1 << 20;
/// Changes that a page remembers; a lost answer is settled by its change's id among them.
pub const RECENT_CHANGES: usize = 32;

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
    /// How many pages there can be.
    pub const COUNT: usize = 2 * PAGES as usize + 1;

    /// Its number among all pages, below [`PageId::COUNT`].
    pub fn index(self) -> usize {
        match self {
            PageId::Table(page) => usize::from(page),
            PageId::Workspaces(page) => usize::from(PAGES) + usize::from(page),
            PageId::Pipelines => 2 * usize::from(PAGES),
        }
    }

    /// The page of a number below [`PageId::COUNT`].
    pub fn at(index: usize) -> PageId {
        let pages = usize::from(PAGES);
        match index {
            _ if index < pages => PageId::Table(index as u16),
            _ if index < 2 * pages => PageId::Workspaces((index - pages) as u16),
            _ => PageId::Pipelines,
        }
    }

    /// Whether there is such a page; a message can name one that there is not.
    pub fn exists(self) -> bool {
        match self {
            PageId::Table(page) | PageId::Workspaces(page) => page < PAGES,
            PageId::Pipelines => true,
        }
    }

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
        let number = number.parse().ok().filter(|number| *number < PAGES)?;
        let page = match sort {
            "table" => PageId::Table(number),
            "workspaces" => PageId::Workspaces(number),
            _ => return None,
        };
        // Only one spelling is a page: `table/7` is none.
        (page.key() == key).then_some(page)
    }
}

impl fmt::Display for PageId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.key())
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
    /// The revision of the store at which it took effect; 0 in the page that it wrote itself, as
    /// its writer can't know it: there it is the revision of the page.
    pub revision: Revision,
}

impl Change {
    /// The revision at which it took effect, as read from a page at `page_revision`.
    pub fn revision_in(&self, page_revision: Revision) -> Revision {
        if self.revision == 0 { page_revision } else { self.revision }
    }
}

/// An item with its last change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The item.
    pub item: T,
    /// Its last change.
    pub change: Change,
}

/// The value of a configuration object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Page<T> {
    /// The last changes of the page, newest last, at most [`RECENT_CHANGES`].
    pub recent: Vec<Change>,
    /// Its content, in order of name.
    pub items: Vec<Versioned<T>>,
}

impl<T> Default for Page<T> {
    fn default() -> Self {
        Page { recent: Vec::new(), items: Vec::new() }
    }
}

impl<T: Item> Page<T> {
    /// A page of items that one change wrote.
    pub fn new(change: Change, items: Vec<T>) -> Page<T> {
        let versioned = |item| Versioned { item, change: change.clone() };
        let mut items: Vec<_> = items.into_iter().map(versioned).collect();
        items.sort_by_cached_key(|versioned| versioned.item.name());
        Page { recent: vec![change], items }
    }

    /// The item of a name.
    pub fn get(&self, name: &str) -> Option<&Versioned<T>> {
        self.items.iter().find(|versioned| versioned.item.name() == name)
    }

    /// Refuses what may not be in force as page `id`.
    pub fn check(&self, id: PageId) -> Result<(), PageError> {
        check_items(id, self.items.iter().map(|versioned| &versioned.item))
    }
}

/// Takes items that may be in force as page `id`: each is sound, belongs there, and is alone under
/// its name.
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
            return Err(PageError::malformed(id, format!("`{}` stands twice", item.name())));
        }
    }
    Ok(())
}
