//! Writes configuration straight into the stand-in of the platform.

use sorrellock_core::version::{Change, Item, Page, PageId, Pipeline, Row, Workspace};
use sorrellock_fakes::FakePlatform;
use std::collections::BTreeMap;

/// Writes all pipelines.
pub fn write_pipelines(platform: &FakePlatform, pipelines: Vec<Pipeline>) {
    write_pages(platform, pipelines);
}

/// Writes all workspaces, over those of the same pages.
pub fn write_workspaces(platform: &FakePlatform, workspaces: Vec<Workspace>) {
    write_pages(platform, workspaces);
}

/// Writes all rows, over those of the same pages.
pub fn write_rows(platform: &FakePlatform, rows: Vec<Row>) {
    write_pages(platform, rows);
}

fn write_pages<T: Item>(platform: &FakePlatform, items: Vec<T>) {
    let mut pages: BTreeMap<PageId, Vec<T>> = BTreeMap::new();
    for item in items {
        pages.entry(item.page()).or_default().push(item);
    }
    for (id, items) in pages {
        let value = serde_json::to_vec(&Page::new(Change::default(), items));
        platform.put_direct(&id.key(), &value.expect("a page can be encoded"));
    }
}
