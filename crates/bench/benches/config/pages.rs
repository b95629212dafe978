//! Size of pages, and time to read, apply and look up, by number of workspaces.

use crate::figure;
use sorrellock_core::version::{Change, ConfigView, Item, Page, PageBody, PageId, Row, Workspace};
use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

/// Numbers of workspaces; the last is the target.
const SIZES: [usize; 3] = [2_000, 6_000, 18_000];
/// Rows of each workspace.
const KINDS: [&str; 3] = ["default", "match", "draft"];
/// Times that each small thing is done.
const ROUNDS: usize = 200;
/// Lookups measured.
const LOOKUPS: usize = 200_000;
/// Times that the naive index is built.
const NAIVE_ROUNDS: usize = 5;

/// All pages of `count` workspaces, as the store holds them.
pub(crate) fn values(count: usize) -> Vec<(PageId, Vec<u8>)> {
    let names: Vec<String> = (0..count).map(name).collect();
    let workspaces = names.iter().map(|name| {
        Workspace::new(name.as_str(), &key(name), vec!["lexis".into(), "ledger".into()])
    });
    let rows =
        names.iter().flat_map(|name| KINDS.iter().map(|kind| Row::new(name.as_str(), *kind)));
    let mut values = encode(rows);
    values.extend(encode(workspaces));
    values
}

pub(crate) fn name(number: usize) -> String {
    format!("workspace-{number}")
}

fn key(name: &str) -> String {
    format!("key-of-{name}")
}

fn encode<T: Item>(items: impl Iterator<Item = T>) -> Vec<(PageId, Vec<u8>)> {
    let mut pages: BTreeMap<PageId, Vec<T>> = BTreeMap::new();
    for item in items {
        pages.entry(item.page()).or_default().push(item);
    }
    let change = Change { id: u64::MAX, by: "operator".into(), at_ms: 1 << 40, revision: 1 << 24 };
    let value = |items| serde_json::to_vec(&Page::new(change.clone(), items)).unwrap();
    pages.into_iter().map(|(id, items)| (id, value(items))).collect()
}

pub(crate) fn measure() {
    let before = resident_mb();
    let mut views = Vec::new();
    for count in SIZES {
        views.push(measure_size(count));
    }
    drop(views);
    figure("bench_rss_before_mb", before, "MB");
}

fn measure_size(count: usize) -> ConfigView {
    let values = values(count);
    let tables: Vec<&(PageId, Vec<u8>)> =
        values.iter().filter(|(id, _)| matches!(id, PageId::Table(_))).collect();
    let sizes = || tables.iter().map(|(_, value)| value.len());
    figure(&format!("page_bytes.max.{count}"), sizes().max().unwrap() as f64, "B");
    let mean = sizes().sum::<usize>() as f64 / tables.len() as f64;
    figure(&format!("page_bytes.mean.{count}"), mean, "B");
    let (id, value) = tables[0];
    let copy = PageBody::parse(*id, value).unwrap();
    let bytes = postcard::to_allocvec(&copy).unwrap().len();
    figure(&format!("copy_bytes.{count}"), bytes as f64, "B");
    let rss = resident_mb();
    let mut view = ConfigView::new();
    let start = Instant::now();
    for (id, value) in &values {
        view.apply_value(*id, 1, value).unwrap();
    }
    figure(&format!("load_ms.{count}"), start.elapsed().as_secs_f64() * 1e3, "ms");
    figure(&format!("view_mb.{count}"), resident_mb() - rss, "MB");
    measure_apply(count, &mut view, *id, value);
    measure_lookups(count, &view);
    view
}

/// One page changes, while readers hold the view before it.
fn measure_apply(count: usize, view: &mut ConfigView, id: PageId, value: &[u8]) {
    let rows = parse(id, value).len();
    let start = Instant::now();
    for _ in 0..ROUNDS {
        black_box(PageBody::parse(id, value).unwrap());
    }
    let parse_us = start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    figure(&format!("parse_us.{count}"), parse_us, "us");
    figure(&format!("parse_us_per_row.{count}"), parse_us / rows as f64, "us");
    let mut reader = Arc::new(view.clone());
    let start = Instant::now();
    for round in 0..ROUNDS {
        view.apply_value(id, 2 + round as u64, value).unwrap();
        reader = black_box(Arc::new(view.clone()));
    }
    drop(reader);
    let apply_us = start.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64;
    figure(&format!("apply_us.{count}"), apply_us, "us");
    let all: Vec<Arc<Row>> = view.rows().cloned().collect();
    let start = Instant::now();
    for _ in 0..NAIVE_ROUNDS {
        black_box(parse(id, value));
        black_box(naive_index(&all));
    }
    let naive_us = start.elapsed().as_secs_f64() * 1e6 / NAIVE_ROUNDS as f64;
    figure(&format!("apply_us.naive.{count}"), naive_us, "us");
}

fn measure_lookups(count: usize, view: &ConfigView) {
    let names: Vec<String> = (0..count).map(name).collect();
    let start = Instant::now();
    for number in 0..LOOKUPS {
        let name = &names[number * 7919 % count];
        black_box(view.row(name, KINDS[number % KINDS.len()]));
    }
    let row_ns = start.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64;
    figure(&format!("lookup_row_ns.{count}"), row_ns, "ns");
    let keys: Vec<String> = names.iter().map(|name| key(name)).collect();
    let start = Instant::now();
    for number in 0..LOOKUPS {
        assert!(view.workspace(&keys[number * 7919 % count]).is_some());
    }
    let key_ns = start.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64;
    figure(&format!("lookup_key_ns.{count}"), key_ns, "ns");
}

fn parse(id: PageId, value: &[u8]) -> Vec<Row> {
    match PageBody::parse(id, value).unwrap() {
        PageBody::Table(rows) => rows,
        _ => Vec::new(),
    }
}

/// The index of all rows, built anew with each change.
fn naive_index(rows: &[Arc<Row>]) -> HashMap<String, HashMap<String, Arc<Row>>> {
    let mut index: HashMap<String, HashMap<String, Arc<Row>>> = HashMap::new();
    for row in rows {
        let kinds = index.entry(row.workspace.clone()).or_default();
        kinds.insert(row.kind.clone(), row.clone());
    }
    index
}

/// Resident memory of this process; 0 where the system does not tell.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<f64>().ok());
    kb.unwrap_or_default() / 1024.0
}
