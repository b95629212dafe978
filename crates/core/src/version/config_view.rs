//! The configuration in force, as it is read while a request is handled.

use crate::id::Revision;
use crate::version::key_index::KeyIndex;
use crate::version::row_table::RowTable;
use crate::version::{
    PageBody, PageCopy, PageError, PageId, Pipeline, Row, Workspace, key_hash, page_of,
};
use std::sync::Arc;

/// The configuration in force. A clone shares all pages with the original, and applying a page copies none of the
/// others. Publishing a new version to readers therefore costs one page and some reference counting, however many
/// workspaces there are.
#[derive(Clone, Debug)]
pub struct ConfigView {
    /// Indexed by [`PageId::index`].
    pages: Vec<Option<Arc<HeldPage>>>,
    by_key: KeyIndex,
}

/// A page in force.
#[derive(Debug)]
struct HeldPage {
    revision: Revision,
    items: HeldItems,
}

/// The items of a page in force, sorted by their lookup key.
#[derive(Debug)]
enum HeldItems {
    Table(RowTable),
    Workspaces(Vec<Arc<Workspace>>),
    Pipelines(Vec<Pipeline>),
}

impl ConfigView {
    /// Creates an empty configuration.
    pub fn new() -> ConfigView {
        ConfigView { pages: vec![None; PageId::COUNT], by_key: KeyIndex::new() }
    }

    /// Finds the workspace whose callers send `key`. If several have this key, returns the first by name.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(&key_hash(key))
    }

    /// Finds a pipeline by its name.
    pub fn pipeline(&self, id: &str) -> Option<&Pipeline> {
        self.pipelines().iter().find(|pipeline| pipeline.id == id)
    }

    /// Returns all pipelines, sorted by name.
    pub fn pipelines(&self) -> &[Pipeline] {
        match self.items(PageId::Pipelines) {
            Some(HeldItems::Pipelines(pipelines)) => pipelines,
            _ => &[],
        }
    }

    /// Returns the row for a workspace and kind. Falls back to the workspace's default row, then to the built-in
    /// defaults.
    pub fn row(&self, workspace: &str, kind: &str) -> Arc<Row> {
        let row = self.own_row(workspace, kind);
        let row = row.or_else(|| self.own_row(workspace, crate::version::DEFAULT_KIND));
        row.cloned().unwrap_or_else(|| Arc::new(Row::new(workspace, kind)))
    }

    /// Iterates over all rows.
    pub fn rows(&self) -> impl Iterator<Item = &Arc<Row>> {
        self.pages.iter().flatten().flat_map(|page| match &page.items {
            HeldItems::Table(table) => table.rows(),
            _ => &[],
        })
    }

    /// Returns the revision of a page in force, or 0 if the page isn't in force.
    pub fn revision(&self, page: PageId) -> Revision {
        self.pages[page.index()].as_ref().map_or(0, |page| page.revision)
    }

    /// Iterates over the pages in force, with their revisions.
    pub fn revisions(&self) -> impl Iterator<Item = (PageId, Revision)> {
        let pages = self.pages.iter().enumerate();
        pages.filter_map(|(index, page)| Some((PageId::at(index), page.as_ref()?.revision)))
    }

    /// Copies the page in force, to be sent to a peer.
    pub fn copy_of(&self, page: PageId) -> Option<PageCopy> {
        let held = self.pages[page.index()].as_ref()?;
        let body = match &held.items {
            HeldItems::Table(table) => PageBody::Table(table.rows().iter().map(owned).collect()),
            HeldItems::Workspaces(items) => PageBody::Workspaces(items.iter().map(owned).collect()),
            HeldItems::Pipelines(items) => PageBody::Pipelines(items.clone()),
        };
        Some(PageCopy { page, revision: held.revision, body })
    }

    /// Parses and applies the value of a configuration object if its revision is higher than the one in force.
    pub fn apply_value(
        &mut self,
        page: PageId,
        revision: Revision,
        value: &[u8],
    ) -> Result<(), PageError> {
        self.check_newer(page, revision)?;
        let body = PageBody::parse(page, value)?;
        self.put(page, revision, body);
        Ok(())
    }

    /// Applies a page that a peer sent if its revision is higher than the one in force.
    pub fn apply_copy(&mut self, copy: PageCopy) -> Result<(), PageError> {
        let PageCopy { page, revision, body } = copy;
        self.check_newer(page, revision)?;
        body.check(page)?;
        self.put(page, revision, body);
        Ok(())
    }

    fn check_newer(&self, page: PageId, revision: Revision) -> Result<(), PageError> {
        let in_force = self.revision(page);
        if revision > in_force { Ok(()) } else { Err(PageError::NotNewer { in_force }) }
    }

    fn put(&mut self, page: PageId, revision: Revision, body: PageBody) {
        let old = self.pages[page.index()].take();
        let items = HeldItems::new(body, old.as_ref().map(|old| &old.items));
        if let HeldItems::Workspaces(new) = &items {
            self.by_key.replace(workspaces_of(old.as_deref()), new);
        }
        self.pages[page.index()] = Some(Arc::new(HeldPage { revision, items }));
    }

    fn items(&self, page: PageId) -> Option<&HeldItems> {
        self.pages[page.index()].as_ref().map(|page| &page.items)
    }

    fn own_row(&self, workspace: &str, kind: &str) -> Option<&Arc<Row>> {
        match self.items(PageId::Table(page_of(workspace)))? {
            HeldItems::Table(table) => table.get(workspace, kind),
            _ => None,
        }
    }
}

impl Default for ConfigView {
    fn default() -> Self {
        ConfigView::new()
    }
}

impl HeldItems {
    /// Sorts the items. Items that are equal to those in `old` share memory with them.
    fn new(body: PageBody, old: Option<&HeldItems>) -> HeldItems {
        match (body, old) {
            (PageBody::Table(rows), Some(HeldItems::Table(old))) => {
                HeldItems::Table(RowTable::new(reuse_unchanged(rows, old.rows(), row_key)))
            }
            (PageBody::Table(rows), _) => {
                HeldItems::Table(RowTable::new(reuse_unchanged(rows, &[], row_key)))
            }
            (PageBody::Workspaces(items), Some(HeldItems::Workspaces(old))) => {
                HeldItems::Workspaces(reuse_unchanged(items, old, workspace_key))
            }
            (PageBody::Workspaces(items), _) => {
                HeldItems::Workspaces(reuse_unchanged(items, &[], workspace_key))
            }
            (PageBody::Pipelines(mut items), _) => {
                items.sort_by(|a, b| a.id.cmp(&b.id));
                HeldItems::Pipelines(items)
            }
        }
    }
}

/// Sorts items by `key` and replaces those that are equal to an item in `old` by a reference to that item.
fn reuse_unchanged<T: PartialEq>(
    mut items: Vec<T>,
    old: &[Arc<T>],
    key: impl Fn(&T) -> Key<'_>,
) -> Vec<Arc<T>> {
    items.sort_by(|a, b| key(a).cmp(&key(b)));
    let shared = |item: T| {
        let found = old.binary_search_by(|old| key(old).cmp(&key(&item))).ok();
        let found = found.map(|at| &old[at]).filter(|old| ***old == item);
        found.cloned().unwrap_or_else(|| Arc::new(item))
    };
    items.into_iter().map(shared).collect()
}

/// The sort key of the items of a page.
type Key<'a> = (&'a str, &'a str);

fn row_key(row: &Row) -> Key<'_> {
    (&row.workspace, &row.kind)
}

fn workspace_key(workspace: &Workspace) -> Key<'_> {
    (&workspace.id, "")
}

fn workspaces_of(page: Option<&HeldPage>) -> &[Arc<Workspace>] {
    match page.map(|page| &page.items) {
        Some(HeldItems::Workspaces(items)) => items,
        _ => &[],
    }
}

fn owned<T: Clone>(item: &Arc<T>) -> T {
    T::clone(item)
}
