//! The configuration as operators read and change it.

use crate::api::ObjectStore;
use crate::config::{
    ChangeReport, ConfigError, ConfigReader, Edit, Found, PageEdit, PageReport, PageWriter,
    ReadPage, Retry, RowEdit,
};
use sorrellock_core::id::{Revision, ServiceId};
use sorrellock_core::version::{
    Change, Item, PageId, Pipeline, Row, Versioned, Workspace, page_of, row_name,
};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const WORKSPACE: &str = "workspace";
const PIPELINE: &str = "pipeline";
const ROW: &str = "row";

/// The configuration as operators read and change it. Calls block, and try a failed call to the
/// store again a few times.
///
/// Whatever is read comes with its last [`Change`]: who, when, the change's id, and the revision
/// of the store from which it holds. That revision is what `if_revision` is compared with.
pub struct ConfigStore<S> {
    store: S,
    by: String,
    retry: Retry,
}

impl<S: ObjectStore> ConfigStore<S> {
    /// The most tries of one page, and of one read.
    pub const ATTEMPTS: u32 = 8;
    /// The wait before a second try; it doubles with each.
    pub const RETRY_WAIT: Duration = Duration::from_millis(20);

    /// The configuration in `store`, changed in the name of `by`.
    pub fn new(store: S, by: impl Into<String>) -> ConfigStore<S> {
        let retry = Retry { attempts: Self::ATTEMPTS, wait: Self::RETRY_WAIT };
        ConfigStore { store, by: by.into(), retry }
    }

    /// Tries this often, and waits this long before the second try.
    pub fn with_retries(mut self, attempts: u32, wait: Duration) -> ConfigStore<S> {
        self.retry = Retry { attempts: attempts.max(1), wait };
        self
    }

    /// All rows of the shared table, in order of workspace and kind; an export.
    pub fn rows(&self) -> Result<Vec<Versioned<Row>>, ConfigError> {
        self.items(|id| matches!(id, PageId::Table(_)))
    }

    /// The rows of one workspace.
    pub fn rows_of(&self, workspace: &str) -> Result<Vec<Versioned<Row>>, ConfigError> {
        let page = self.read(PageId::Table(page_of(workspace)))?;
        let rows = page.into_items().into_iter();
        Ok(rows.filter(|row: &Versioned<Row>| row.item.workspace == workspace).collect())
    }

    /// One row, with who changed it last.
    pub fn row(&self, workspace: &str, kind: &str) -> Result<Versioned<Row>, ConfigError> {
        let rows = self.rows_of(workspace)?;
        let missing = || no_such(ROW, &row_name(workspace, kind));
        rows.into_iter().find(|row| row.item.kind == kind).ok_or_else(missing)
    }

    /// All workspaces, in order of name.
    pub fn workspaces(&self) -> Result<Vec<Versioned<Workspace>>, ConfigError> {
        self.items(|id| matches!(id, PageId::Workspaces(_)))
    }

    /// One workspace.
    pub fn workspace(&self, id: &str) -> Result<Versioned<Workspace>, ConfigError> {
        let page = self.read(PageId::Workspaces(page_of(id)))?;
        page.into_items().into_iter().find(is_named(id)).ok_or_else(|| no_such(WORKSPACE, id))
    }

    /// All pipelines, in order of name.
    pub fn pipelines(&self) -> Result<Vec<Versioned<Pipeline>>, ConfigError> {
        Ok(self.read(PageId::Pipelines)?.into_items())
    }

    /// One pipeline.
    pub fn pipeline(&self, id: &str) -> Result<Versioned<Pipeline>, ConfigError> {
        self.pipelines()?.into_iter().find(is_named(id)).ok_or_else(|| no_such(PIPELINE, id))
    }

    /// Sets cells of one row or of many. A row that is not there is made from the defaults, if its
    /// workspace exists. With `if_revision` a row that was changed after that revision is refused.
    ///
    /// An error means that nothing was written anywhere. Otherwise look into the report: each page
    /// is written by itself, and may be refused though others were written.
    pub fn set(
        &self,
        edits: &[RowEdit],
        if_revision: Option<Revision>,
    ) -> Result<ChangeReport, ConfigError> {
        self.check_workspaces(edits)?;
        let edit = |edit: &RowEdit| {
            let page = PageId::Table(page_of(&edit.workspace));
            let (name, edit) = (edit.name(), edit.clone());
            let apply =
                move |old: Option<&Versioned<Row>>| Ok(Some(edit.apply(old.map(|old| &old.item))?));
            (page, Edit::new(ROW, name, apply))
        };
        self.change(edits.iter().map(edit).collect(), if_revision)
    }

    /// Takes in whole rows, as [`rows`](Self::rows) gives them: each is made or overwritten, those
    /// that are the same already are left alone, and none is removed. See [`set`](Self::set).
    pub fn import(
        &self,
        rows: &[Row],
        if_revision: Option<Revision>,
    ) -> Result<ChangeReport, ConfigError> {
        let edits: Vec<RowEdit> = rows.iter().map(RowEdit::whole).collect();
        self.set(&edits, if_revision)
    }

    /// Removes a row; the workspace's default row, or the built-in one, stands in from then on.
    pub fn remove_row(
        &self,
        workspace: &str,
        kind: &str,
        if_revision: Option<Revision>,
    ) -> Result<ChangeReport, ConfigError> {
        let page = PageId::Table(page_of(workspace));
        let edit = Edit::<Row>::remove(ROW, &row_name(workspace, kind));
        self.change(vec![(page, edit)], if_revision)?.into_result()
    }

    /// Adds a workspace. One whose key another workspace has is refused: this reads all workspaces.
    pub fn add_workspace(&self, workspace: Workspace) -> Result<ChangeReport, ConfigError> {
        workspace.check()?;
        self.check_key(&workspace.id, &workspace.key_hash)?;
        self.change_one(Edit::add(WORKSPACE, workspace.clone()), workspace.page(), None)
    }

    /// Gives a workspace another key, by its hash (see [`key_hash`](sorrellock_core::version::key_hash)).
    pub fn set_key(
        &self,
        id: &str,
        key_hash: &str,
        if_revision: Option<Revision>,
    ) -> Result<ChangeReport, ConfigError> {
        self.check_key(id, key_hash)?;
        let key_hash = key_hash.to_owned();
        let set = move |workspace: &mut Workspace| workspace.key_hash = key_hash.clone();
        let page = PageId::Workspaces(page_of(id));
        self.change_one(Edit::change(WORKSPACE, id, set), page, if_revision)
    }

    /// Sets the pipelines and services that a workspace may call.
    pub fn set_may_call(
        &self,
        id: &str,
        may_call: Vec<ServiceId>,
        if_revision: Option<Revision>,
    ) -> Result<ChangeReport, ConfigError> {
        let set = move |workspace: &mut Workspace| workspace.may_call = may_call.clone();
        let page = PageId::Workspaces(page_of(id));
        self.change_one(Edit::change(WORKSPACE, id, set), page, if_revision)
    }

    /// Removes a workspace, so that its callers are refused, and then its rows.
    pub fn remove_workspace(
        &self,
        id: &str,
        if_revision: Option<Revision>,
    ) -> Result<ChangeReport, ConfigError> {
        let page = PageId::Workspaces(page_of(id));
        let edit = Edit::<Workspace>::remove(WORKSPACE, id);
        let mut report = self.change_one(edit, page, if_revision)?;
        let rows = match self.rows_of(id) {
            Ok(rows) => rows,
            Err(err) => {
                let page = PageId::Table(page_of(id));
                report.pages.push(PageReport { page, items: Vec::new(), outcome: Err(err) });
                return Ok(report);
            }
        };
        let page = PageId::Table(page_of(id));
        let edit = |row: &Versioned<Row>| (page, Edit::<Row>::remove(ROW, &row.item.name()));
        let edits: Vec<_> = rows.iter().map(edit).collect();
        let of_rows = self.change_as(report.change, edits, None);
        match of_rows {
            Ok(of_rows) => report.pages.extend(of_rows.pages),
            Err(err) => {
                let items = rows.iter().map(|row| row.item.name()).collect();
                report.pages.push(PageReport { page, items, outcome: Err(err) });
            }
        }
        Ok(report)
    }

    /// Adds a pipeline.
    pub fn add_pipeline(&self, pipeline: Pipeline) -> Result<ChangeReport, ConfigError> {
        self.change_one(Edit::add(PIPELINE, pipeline), PageId::Pipelines, None)
    }

    /// Removes a pipeline.
    pub fn remove_pipeline(
        &self,
        id: &str,
        if_revision: Option<Revision>,
    ) -> Result<ChangeReport, ConfigError> {
        let edit = Edit::<Pipeline>::remove(PIPELINE, id);
        self.change_one(edit, PageId::Pipelines, if_revision)
    }

    fn reader(&self) -> ConfigReader<'_, S> {
        ConfigReader { store: &self.store, retry: self.retry }
    }

    fn read<T: Item>(&self, id: PageId) -> Found<ReadPage<T>> {
        self.reader().page(id, 0)
    }

    fn items<T: Item>(&self, wanted: impl Fn(PageId) -> bool) -> Found<Vec<Versioned<T>>> {
        let pages = self.reader().pages(wanted)?;
        let mut items: Vec<Versioned<T>> =
            pages.into_iter().flat_map(ReadPage::into_items).collect();
        items.sort_by_cached_key(|versioned| versioned.item.name());
        Ok(items)
    }

    /// Refuses rows of workspaces that don't exist.
    fn check_workspaces(&self, edits: &[RowEdit]) -> Found<()> {
        let mut by_page: BTreeMap<u16, Vec<&str>> = BTreeMap::new();
        for edit in edits {
            by_page.entry(page_of(&edit.workspace)).or_default().push(&edit.workspace);
        }
        for (page, names) in by_page {
            let page = self.read::<Workspace>(PageId::Workspaces(page))?.page;
            let missing = names.into_iter().find(|name| page.get(name).is_none());
            if let Some(name) = missing {
                return Err(no_such(WORKSPACE, name));
            }
        }
        Ok(())
    }

    /// Refuses a key that another workspace has. Two that are added at the same moment can still
    /// get the same; then the key is that of the first in order of name.
    fn check_key(&self, id: &str, key_hash: &str) -> Found<()> {
        let all = self.workspaces()?;
        let other = all.into_iter().find(|other| other.item.key_hash == key_hash);
        match other {
            Some(other) if other.item.id != id => {
                Err(ConfigError::KeyTaken { workspace: other.item.id })
            }
            _ => Ok(()),
        }
    }

    fn change_one<T: Item>(
        &self,
        edit: Edit<T>,
        page: PageId,
        if_revision: Option<Revision>,
    ) -> Found<ChangeReport> {
        self.change(vec![(page, edit)], if_revision)?.into_result()
    }

    fn change<T: Item>(
        &self,
        edits: Vec<(PageId, Edit<T>)>,
        if_revision: Option<Revision>,
    ) -> Found<ChangeReport> {
        self.change_as(rand::random(), edits, if_revision)
    }

    /// Checks all pages before it writes the first.
    fn change_as<T: Item>(
        &self,
        id: u64,
        edits: Vec<(PageId, Edit<T>)>,
        if_revision: Option<Revision>,
    ) -> Found<ChangeReport> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let change = Change { id, by: self.by.clone(), at_ms: now.as_millis() as u64, revision: 0 };
        let mut planned = Vec::new();
        for edit in by_page(edits, if_revision) {
            let first = self.read(edit.id)?;
            edit.check_revision(&first)?;
            edit.apply(&first, &change)?;
            planned.push((edit, first));
        }
        let writer = PageWriter { store: &self.store, retry: self.retry, change: &change };
        let write = |(edit, first): (PageEdit<T>, ReadPage<T>)| PageReport {
            page: edit.id,
            items: edit.edits.iter().map(|edit| edit.name.clone()).collect(),
            outcome: writer.write(&edit, &first),
        };
        Ok(ChangeReport { change: id, pages: planned.into_iter().map(write).collect() })
    }
}

fn by_page<T>(
    edits: Vec<(PageId, Edit<T>)>,
    if_revision: Option<Revision>,
) -> impl Iterator<Item = PageEdit<T>> {
    let mut pages: BTreeMap<PageId, Vec<Edit<T>>> = BTreeMap::new();
    for (page, edit) in edits {
        pages.entry(page).or_default().push(edit);
    }
    pages.into_iter().map(move |(id, edits)| PageEdit { id, edits, if_revision })
}

fn is_named<T: Item>(name: &str) -> impl Fn(&Versioned<T>) -> bool {
    move |versioned| versioned.item.name() == name
}

fn no_such(sort: &str, name: &str) -> ConfigError {
    ConfigError::NoSuch { what: format!("{sort} {name}") }
}
