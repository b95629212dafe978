//! The items of a page: rows of the table, workspaces or pipelines.

use crate::version::{FieldError, PageId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// An item of the configuration that operators edit and that is stored in a page.
pub trait Item:
    Clone + Debug + PartialEq + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// Returns the item's name, unique in its page, such as `treasury/default` for a row.
    fn name(&self) -> String;

    /// Returns the page that the item belongs to.
    fn page(&self) -> PageId;

    /// Checks that all fields are well-formed and in range.
    fn check(&self) -> Result<(), FieldError>;
}
