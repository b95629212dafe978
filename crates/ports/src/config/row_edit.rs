//! What an operator enters in a row of the shared table.

use sorrellock_core::id::{Kind, WorkspaceId};
use sorrellock_core::version::{Column, FieldError, Row, row_name};

/// New values of some cells of one row. A row that is not there is made from the defaults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowEdit {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The kind of request.
    pub kind: Kind,
    /// The cells, and what was entered.
    pub cells: Vec<(Column, String)>,
}

impl RowEdit {
    /// An edit of a row that sets nothing yet.
    pub fn new(workspace: impl Into<WorkspaceId>, kind: impl Into<Kind>) -> RowEdit {
        RowEdit { workspace: workspace.into(), kind: kind.into(), cells: Vec::new() }
    }

    /// Sets a cell.
    pub fn with_cell(mut self, column: Column, value: impl Into<String>) -> RowEdit {
        self.cells.push((column, value.into()));
        self
    }

    /// An edit that sets every cell of a row, as an import does.
    pub fn whole(row: &Row) -> RowEdit {
        let cells = Column::ALL.iter().map(|column| (*column, row.cell(*column))).collect();
        RowEdit { workspace: row.workspace.clone(), kind: row.kind.clone(), cells }
    }

    /// The name of its row.
    pub fn name(&self) -> String {
        row_name(&self.workspace, &self.kind)
    }

    pub(crate) fn apply(&self, old: Option<&Row>) -> Result<Row, FieldError> {
        let new = || Row::new(self.workspace.clone(), self.kind.clone());
        let mut row = old.cloned().unwrap_or_else(new);
        for (column, value) in &self.cells {
            row.set_cell(*column, value)?;
        }
        Ok(row)
    }
}
