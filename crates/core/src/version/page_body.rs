//! The content of a page without its history, as daemons hold it and send it to each other.

use crate::id::Revision;
use crate::version::{Item, Page, PageError, PageId, Pipeline, Row, Workspace, check_items};
use serde::{Deserialize, Serialize};

/// Approximate encoded size of a row in a message, without its two names.
const ROW_BYTES: usize = 36;
/// Approximate encoded size of a workspace in a message, without its name and the names in `may_call`.
const WORKSPACE_BYTES: usize = 68;
/// Encoded size of a name's length prefix in a message.
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

/// A page at a revision, as daemons send it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PageCopy {
    /// The page.
    pub page: PageId,
    /// The revision of the store at which the page was written.
    pub revision: Revision,
    /// The content of the page.
    pub body: PageBody,
}

impl PageBody {
    /// Parses the value of a configuration object and checks that it is valid for page `id`.
    pub fn parse(id: PageId, value: &[u8]) -> Result<PageBody, PageError> {
        match id {
            PageId::Table(_) => Ok(PageBody::Table(parse_items(id, value)?)),
            PageId::Workspaces(_) => Ok(PageBody::Workspaces(parse_items(id, value)?)),
            PageId::Pipelines => Ok(PageBody::Pipelines(parse_items(id, value)?)),
        }
    }

    /// Checks that the content is valid for page `id`; for content that did not come from the store.
    pub fn check(&self, id: PageId) -> Result<(), PageError> {
        match (id, self) {
            (PageId::Table(_), PageBody::Table(rows)) => check_items(id, rows),
            (PageId::Workspaces(_), PageBody::Workspaces(items)) => check_items(id, items),
            (PageId::Pipelines, PageBody::Pipelines(pipelines)) => check_items(id, pipelines),
            _ => Err(PageError::malformed(id, "its content belongs to another type of page")),
        }
    }

    /// Estimates the encoded size of the content in a message, in bytes.
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
