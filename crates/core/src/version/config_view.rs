//! The configuration in force, as the path of a request reads it.

use crate::id::Revision;
use crate::version::key_index::KeyIndex;
use crate::version::row_table::RowTable;
use crate::version::{
    PageBody, PageCopy, PageError, PageId, Pipeline, Row, Workspace, key_hash, page_of,
};
use std::sync::Arc;

/// The configuration in force. A clone shares all pages with its original, and applying a page
/// copies nothing of the others, so that a new version for the readers costs one page and some
/// counting of references, however many workspaces there are.
#[derive(Clone, Debug)]
pub struct ConfigView {
    /// By [`PageId::index`].
    pages: Vec<Option<Arc<HeldPage>>>,
    by_key: KeyIndex,
}

/// A page in force.
#[derive(Debug)]
struct HeldPage {
    revision: Revision,
    items: HeldItems,
}

/// The items of a page in force, in order of what they are looked up by.
#[derive(Debug)]
enum HeldItems {
    Table(RowTable),
    Workspaces(Vec<Arc<Workspace>>),
    Pipelines(Vec<Pipeline>),
}

impl ConfigView {
    /// No configuration.
    pub fn new() -> ConfigView {
        ConfigView { pages: vec![None; PageId::COUNT], by_key: KeyIndex::new() }
    }

    /// The workspace whose callers send `key`; the first in order of name, should several.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(&key_hash(key))
    }

    /// The pipeline of a name.
    pub fn pipeline(&self, id: &str) -> Option<&Pipeline> {
        self.pipelines().iter().find(|pipeline| pipeline.id == id)
    }

    /// All pipelines, in order of name.
    pub fn pipelines(&self) -> &[Pipeline] {
        match self.items(PageId::Pipelines) {
            Some(HeldItems::Pipelines(pipelines)) => pipelines,
            _ => &[],
        }
    }

    /// The row for a workspace and kind; the workspace's default row where there is none, and the
    /// built-in one where there is none of these either.
    pub fn row(&self, workspace: &str, kind: &str) -> Arc<Row> {
        let row = self.own_row(workspace, kind);
        let row = row.or_else(|| self.own_row(workspace, crate::version::DEFAULT_KIND));
        row.cloned().unwrap_or_else(|| Arc::new(Row::new(workspace, kind)))
    }

    /// All rows.
    pub fn rows(&self) -> impl Iterator<Item = &Arc<Row>> {
        self.pages.iter().flatten().flat_map(|page| match &page.items {
            HeldItems::Table(table) => table.rows(),
            _ => &[],
        })
    }

    /// The revision in force of a page, 0 for none.
    pub fn revision(&self, page: PageId) -> Revision {
        self.pages[page.index()].as_ref().map_or(0, |page| page.revision)
    }

    /// The pages in force, with their revisions.
    pub fn revisions(&self) -> impl Iterator<Item = (PageId, Revision)> {
        let pages = self.pages.iter().enumerate();
        pages.filter_map(|(index, page)| Some((PageId::at(index), page.as_ref()?.revision)))
    }

    /// The page in force, to be given to a peer.
    pub fn copy_of(&self, page: PageId) -> Option<PageCopy> {
        let held = self.pages[page.index()].as_ref()?;
        let body = match &held.items {
            HeldItems::Table(table) => PageBody::Table(table.rows().iter().map(owned).collect()),
            HeldItems::Workspaces(items) => PageBody::Workspaces(items.iter().map(owned).collect()),
            HeldItems::Pipelines(items) => PageBody::Pipelines(items.clone()),
        };
        Some(PageCopy { page, revision: held.revision, body })
    }

    /// Reads and takes the value of a configuration object, if its revision is higher than the one
    /// in force.
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

    /// Takes a page that a peer gave, if its revision is higher than the one in force.
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
    /// Puts items in order; those that are as they were stay the same in memory.
    fn new(body: PageBody, old: Option<&HeldItems>) -> HeldItems {
        match (body, old) {
            (PageBody::Table(rows), Some(HeldItems::Table(old))) => {
                HeldItems::Table(RowTable::new(share(rows, old.rows(), place_of)))
            }
            (PageBody::Table(rows), _) => {
                HeldItems::Table(RowTable::new(share(rows, &[], place_of)))
            }
            (PageBody::Workspaces(items), Some(HeldItems::Workspaces(old))) => {
                HeldItems::Workspaces(share(items, old, id_of))
            }
            (PageBody::Workspaces(items), _) => HeldItems::Workspaces(share(items, &[], id_of)),
            (PageBody::Pipelines(mut items), _) => {
                items.sort_by(|a, b| a.id.cmp(&b.id));
                HeldItems::Pipelines(items)
            }
        }
    }
}

fn share<T: PartialEq>(
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

/// What the items of a page are in order of.
type Key<'a> = (&'a str, &'a str);

fn place_of(row: &Row) -> Key<'_> {
    (&row.workspace, &row.kind)
}

fn id_of(workspace: &Workspace) -> Key<'_> {
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
