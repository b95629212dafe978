//! Writes configuration straight into the stand-in of the platform.

use serde::Serialize;
use sorrellock_core::version::{Change, Page, PageId, Pipeline, Row, Workspace, page_of};
use sorrellock_fakes::FakePlatform;
use std::collections::BTreeMap;

/// Writes all pipelines.
pub fn write_pipelines(platform: &FakePlatform, pipelines: Vec<Pipeline>) {
    write_page(platform, PageId::Pipelines, pipelines);
}

/// Writes all workspaces, over those of the same pages.
pub fn write_workspaces(platform: &FakePlatform, workspaces: Vec<Workspace>) {
    for (page, items) in by_page(workspaces, |workspace| &workspace.id) {
        write_page(platform, PageId::Workspaces(page), items);
    }
}

/// Writes all rows, over those of the same pages.
pub fn write_rows(platform: &FakePlatform, rows: Vec<Row>) {
    for (page, items) in by_page(rows, |row| &row.workspace) {
        write_page(platform, PageId::Table(page), items);
    }
}

fn by_page<T>(items: Vec<T>, workspace: impl Fn(&T) -> &str) -> BTreeMap<u16, Vec<T>> {
    let mut pages: BTreeMap<u16, Vec<T>> = BTreeMap::new();
    for item in items {
        pages.entry(page_of(workspace(&item))).or_default().push(item);
    }
    pages
}

fn write_page<T: Serialize>(platform: &FakePlatform, page: PageId, items: Vec<T>) {
    let value = Page { change: Change::default(), items };
    let value = serde_json::to_vec(&value).expect("a page can be encoded");
    platform.put_direct(&page.key(), &value);
}
