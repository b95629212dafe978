//! The content of a page without its history: what daemons hold, and give each other.

use crate::id::Revision;
use crate::version::{Item, Page, PageError, PageId, Pipeline, Row, Workspace, check_items};
use serde::{Deserialize, Serialize};

/// Bytes that a row takes in a message besides its two names.
const ROW_BYTES: usize = 36;
/// Bytes that a workspace takes in a message besides its name and those it may call.
const WORKSPACE_BYTES: usize = 68;
/// Bytes that a name takes in a message besides its letters.
const NAME_BYTES: usize = 1;

/// The content of a page without its history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PageBody {
    /// Rows of the shared table.
    Table(Vec<Row>),
    /// Workspaces.
    Workspaces(Vec<Workspace>),
    /// All pipelines.
    Pipelines(Vec<Pipeline>),
}

/// A page at a revision, as daemons give it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PageCopy {
    /// The page.
    pub page: PageId,
    /// The revision of the store at which it was written.
    pub revision: Revision,
    /// Its content.
    pub body: PageBody,
}

impl PageBody {
    /// Reads the value of a configuration object, and refuses what may not be in force.
    pub fn parse(id: PageId, value: &[u8]) -> Result<PageBody, PageError> {
        match id {
            PageId::Table(_) => Ok(PageBody::Table(parse_items(id, value)?)),
            PageId::Workspaces(_) => Ok(PageBody::Workspaces(parse_items(id, value)?)),
            PageId::Pipelines => Ok(PageBody::Pipelines(parse_items(id, value)?)),
        }
    }

    /// Refuses what may not be in force as page `id`; for content that did not come from the store.
    pub fn check(&self, id: PageId) -> Result<(), PageError> {
        match (id, self) {
            (PageId::Table(_), PageBody::Table(rows)) => check_items(id, rows),
            (PageId::Workspaces(_), PageBody::Workspaces(items)) => check_items(id, items),
            (PageId::Pipelines, PageBody::Pipelines(pipelines)) => check_items(id, pipelines),
            _ => Err(PageError::malformed(id, "its content is that of another sort of page")),
        }
    }

    /// About how many bytes it takes in a message.
    pub fn size(&self) -> usize {
        let name = |name: &String| name.len() + NAME_BYTES;
        match self {
            PageBody::Table(rows) => {
                let row = |row: &Row| name(&row.workspace) + name(&row.kind) + ROW_BYTES;
                rows.iter().map(row).sum()
            }
            PageBody::Workspaces(items) => {
                let may_call = |item: &Workspace| -> usize { item.may_call.iter().map(name).sum() };
                items.iter().map(|item| name(&item.id) + WORKSPACE_BYTES + may_call(item)).sum()
            }
            PageBody::Pipelines(items) => {
                items.iter().map(|item| name(&item.id) + name(&item.model) + 2).sum()
            }
        }
    }
}

fn parse_items<T: Item>(id: PageId, value: &[u8]) -> Result<Vec<T>, PageError> {
    let page: Page<T> =
        serde_json::from_slice(value).map_err(|err| PageError::malformed(id, err))?;
    page.check(id)?;
    Ok(page.items.into_iter().map(|versioned| versioned.item).collect())
}
