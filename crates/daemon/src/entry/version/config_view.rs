//! The configuration in force, as the path of a request reads it.

use sorrellock_core::id::{Kind, Revision, ServiceId, WorkspaceId};
use sorrellock_core::version::{
    DEFAULT_KIND, Item, Page, PageError, PageId, Pipeline, Row, Workspace, key_hash,
};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// The configuration in force.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    revisions: BTreeMap<PageId, Revision>,
    workspace_pages: HashMap<u16, Vec<Arc<Workspace>>>,
    table_pages: HashMap<u16, Vec<Arc<Row>>>,
    pipelines: HashMap<ServiceId, Pipeline>,
    by_key: HashMap<String, Arc<Workspace>>,
    rows: HashMap<WorkspaceId, HashMap<Kind, Arc<Row>>>,
}

impl ConfigView {
    /// The workspace whose callers send `key`.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(&key_hash(key))
    }

    /// The pipeline of a name.
    pub fn pipeline(&self, id: &str) -> Option<&Pipeline> {
        self.pipelines.get(id)
    }

    /// The row for a workspace and kind; the workspace's default row where there is none, and the
    /// built-in one where there is none of these either.
    pub fn row(&self, workspace: &str, kind: &str) -> Arc<Row> {
        let rows = self.rows.get(workspace);
        let row = rows.and_then(|rows| rows.get(kind).or_else(|| rows.get(DEFAULT_KIND)));
        row.cloned().unwrap_or_else(|| Arc::new(Row::new(workspace, DEFAULT_KIND)))
    }

    /// The revision in force of each page.
    pub fn revisions(&self) -> &BTreeMap<PageId, Revision> {
        &self.revisions
    }

    /// Takes a page, if its revision is higher than the one in force.
    pub fn apply(
        &mut self,
        page: PageId,
        revision: Revision,
        value: &[u8],
    ) -> Result<(), PageError> {
        if let Some(in_force) = self.revisions.get(&page).filter(|found| **found >= revision) {
            return Err(PageError::NotNewer { in_force: *in_force });
        }
        match page {
            PageId::Table(number) => {
                let rows = read(page, value)?.into_iter().map(Arc::new).collect();
                self.table_pages.insert(number, rows);
                self.index_rows();
            }
            PageId::Workspaces(number) => {
                let workspaces = read(page, value)?.into_iter().map(Arc::new).collect();
                self.workspace_pages.insert(number, workspaces);
                self.index_workspaces();
            }
            PageId::Pipelines => {
                let pipelines: Vec<Pipeline> = read(page, value)?;
                self.pipelines = pipelines.into_iter().map(|p| (p.id.clone(), p)).collect();
            }
        }
        self.revisions.insert(page, revision);
        Ok(())
    }

    fn index_rows(&mut self) {
        self.rows.clear();
        for row in self.table_pages.values().flatten() {
            let kinds = self.rows.entry(row.workspace.clone()).or_default();
            kinds.insert(row.kind.clone(), row.clone());
        }
    }

    fn index_workspaces(&mut self) {
        let all = self.workspace_pages.values().flatten();
        self.by_key =
            all.map(|workspace| (workspace.key_hash.clone(), workspace.clone())).collect();
    }
}

fn read<T: Item>(id: PageId, value: &[u8]) -> Result<Vec<T>, PageError> {
    let page: Page<T> =
        serde_json::from_slice(value).map_err(|err| PageError::malformed(id, err))?;
    page.check(id)?;
    Ok(page.items.into_iter().map(|versioned| versioned.item).collect())
}
