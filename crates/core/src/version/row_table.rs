//! The rows of one page, indexed by the hash of workspace and kind.

use crate::version::Row;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The rows of one page, sorted by workspace and kind. A lookup searches the hashes, which are contiguous in memory,
/// and reads only the rows whose hash matches.
#[derive(Debug)]
pub(crate) struct RowTable {
    rows: Vec<Arc<Row>>,
    /// Hash and index of each row, sorted.
    by_hash: Vec<(u64, u32)>,
}

impl RowTable {
    /// Creates a table of rows that are sorted by workspace and kind.
    pub(crate) fn new(rows: Vec<Arc<Row>>) -> RowTable {
        let hash = |row: &Arc<Row>| hash_of(&row.workspace, &row.kind);
        let mut by_hash: Vec<_> =
            (0..).zip(&rows).map(|(number, row)| (hash(row), number)).collect();
        by_hash.sort_unstable();
        RowTable { rows, by_hash }
    }

    pub(crate) fn rows(&self) -> &[Arc<Row>] {
        &self.rows
    }

    pub(crate) fn get(&self, workspace: &str, kind: &str) -> Option<&Arc<Row>> {
        let hash = hash_of(workspace, kind);
        let first = self.by_hash.partition_point(|(other, _)| *other < hash);
        let same = self.by_hash[first..].iter().take_while(|(other, _)| *other == hash);
        let mut rows = same.map(|(_, number)| &self.rows[*number as usize]);
        rows.find(|row| row.workspace == workspace && row.kind == kind)
    }
}

fn hash_of(workspace: &str, kind: &str) -> u64 {
    xxh3_64_with_seed(kind.as_bytes(), xxh3_64(workspace.as_bytes()))
}
