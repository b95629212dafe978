//! What a page holds: rows of the table, workspaces or pipelines.

use crate::version::{FieldError, PageId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Something that operators enter and that lies in a page.
pub trait Item:
    Clone + Debug + PartialEq + Serialize + DeserializeOwned + Send + Sync + 'static
{
    /// Its name, unique in its page, such as `treasury/default` for a row.
    fn name(&self) -> String;

    /// The page that it belongs to.
    fn page(&self) -> PageId;

    /// Refuses values out of range.
    fn check(&self) -> Result<(), FieldError>;
}
