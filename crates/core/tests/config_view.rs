//! Compares the view of the configuration with a naive one that searches all pages at each lookup.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sorrellock_core::id::Revision;
use sorrellock_core::version::{
    Change, ConfigView, DEFAULT_KIND, Item, Page, PageBody, PageCopy, PageId, Pipeline, Row,
    Workspace, key_hash,
};
use std::collections::BTreeMap;

const SEED: u64 = 0x5669_6577;
const NAMES: [&str; 6] = ["treasury", "pharmacy", "desk", "w-1", "w", "w.1"];
const KINDS: [&str; 3] = [DEFAULT_KIND, "match", "match-2"];
const KEYS: [&str; 4] = ["k0", "k1", "k2", "k3"];

/// A write to a page; `target` selects the type of page.
#[derive(Clone, Debug)]
struct Write {
    workspace: u8,
    target: u8,
    revision: u8,
    value: u8,
    of_peer: bool,
}

impl Arbitrary for Write {
    fn arbitrary(g: &mut Gen) -> Write {
        Write {
            workspace: u8::arbitrary(g) % NAMES.len() as u8,
            target: u8::arbitrary(g) % 8,
            revision: u8::arbitrary(g),
            value: u8::arbitrary(g),
            of_peer: bool::arbitrary(g),
        }
    }
}

impl Write {
    fn name(&self) -> &'static str {
        NAMES[usize::from(self.workspace)]
    }

    fn body(&self) -> (PageId, PageBody) {
        let chosen = |bit: usize| self.value >> bit & 1 == 1;
        match self.target {
            0..=3 => {
                let kinds = KINDS.iter().enumerate().filter(|(bit, _)| chosen(*bit));
                let row = |(_, kind): (usize, &&str)| {
                    let mut row = Row::new(self.name(), *kind);
                    row.weight = f64::from(self.value) + 1.0;
                    row
                };
                (Row::new(self.name(), "").page(), PageBody::Table(kinds.map(row).collect()))
            }
            4..=6 => {
                let key = KEYS[usize::from(self.value) % KEYS.len()];
                let workspace = Workspace::new(self.name(), key, vec!["lexis".into()]);
                let page = workspace.page();
                let items = if chosen(7) { Vec::new() } else { vec![workspace] };
                (page, PageBody::Workspaces(items))
            }
            _ => {
                let pipeline = |id: &str| Pipeline::new(id, "m", 1);
                let ids = NAMES.iter().enumerate().filter(|(bit, _)| chosen(*bit));
                let items = ids.map(|(_, id)| pipeline(id)).collect();
                (PageId::Pipelines, PageBody::Pipelines(items))
            }
        }
    }
}

fn json(body: &PageBody) -> Vec<u8> {
    let change = Change::default();
    let value = match body.clone() {
        PageBody::Table(items) => serde_json::to_vec(&Page::new(change, items)),
        PageBody::Workspaces(items) => serde_json::to_vec(&Page::new(change, items)),
        PageBody::Pipelines(items) => serde_json::to_vec(&Page::new(change, items)),
    };
    value.unwrap()
}

/// A naive view: keeps the highest revision of each page and searches all pages at each lookup.
#[derive(Default)]
struct Naive {
    pages: BTreeMap<PageId, (Revision, PageBody)>,
}

impl Naive {
    fn apply(&mut self, page: PageId, revision: Revision, body: PageBody) {
        if self.pages.get(&page).is_none_or(|(in_force, _)| *in_force < revision) {
            self.pages.insert(page, (revision, body));
        }
    }

    fn row(&self, workspace: &str, kind: &str) -> Row {
        let rows = self.pages.values().flat_map(|(_, body)| match body {
            PageBody::Table(rows) => rows.clone(),
            _ => Vec::new(),
        });
        let of_workspace: Vec<Row> = rows.filter(|row| row.workspace == workspace).collect();
        let find = |kind: &str| of_workspace.iter().find(|row| row.kind == kind).cloned();
        find(kind).or_else(|| find(DEFAULT_KIND)).unwrap_or_else(|| Row::new(workspace, kind))
    }

    fn workspace(&self, key: &str) -> Option<Workspace> {
        let items = self.pages.values().flat_map(|(_, body)| match body {
            PageBody::Workspaces(items) => items.clone(),
            _ => Vec::new(),
        });
        let with_key = items.filter(|item| item.key_hash == key_hash(key));
        with_key.min_by_key(|item| item.id.clone())
    }

    fn pipeline(&self, id: &str) -> Option<Pipeline> {
        let (_, body) = self.pages.get(&PageId::Pipelines)?;
        let PageBody::Pipelines(items) = body else { return None };
        items.iter().find(|item| item.id == id).cloned()
    }
}

fn matches_naive(writes: Vec<Write>) -> bool {
    let (mut view, mut naive) = (ConfigView::new(), Naive::default());
    let mut readers = Vec::new();
    for write in writes {
        let (page, body) = write.body();
        let revision = Revision::from(write.revision) + 1;
        // A clone held by a reader doesn't change while later pages are applied.
        readers.push((view.clone(), view.revisions().collect::<Vec<_>>()));

        let taken = match write.of_peer {
            true => view.apply_copy(PageCopy { page, revision, body: body.clone() }),
            false => view.apply_value(page, revision, &json(&body)),
        };
        naive.apply(page, revision, body);

        let at = naive.pages.iter().map(|(page, (revision, _))| (*page, *revision));
        let newer = taken.is_ok();
        assert_eq!(view.revisions().collect::<Vec<_>>(), at.collect::<Vec<_>>(), "{newer}");
        check(&view, &naive);
    }
    readers.iter().all(|(reader, at)| reader.revisions().collect::<Vec<_>>() == *at)
}

fn check(view: &ConfigView, naive: &Naive) {
    for name in NAMES {
        for kind in KINDS.iter().chain(&["other"]) {
            assert_eq!(*view.row(name, kind), naive.row(name, kind));
        }
        assert_eq!(view.pipeline(name).cloned(), naive.pipeline(name));
    }
    for key in KEYS {
        assert_eq!(view.workspace(key).map(|found| Workspace::clone(found)), naive.workspace(key));
    }
    for (page, (revision, _)) in &naive.pages {
        let copy = view.copy_of(*page).unwrap();
        let mut again = ConfigView::new();
        again.apply_copy(copy.clone()).unwrap();
        assert_eq!((copy.revision, again.copy_of(*page).unwrap()), (*revision, copy));
    }
}

#[test]
fn the_view_is_as_if_built_anew() {
    println!("seed {SEED:#x}");
    let long = std::env::var_os("SORRELLOCK_FUZZ_LONG").is_some();

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(if long { 20_000 } else { 500 })
        .quickcheck(matches_naive as fn(Vec<Write>) -> bool);
}

#[test]
fn page_numbers_and_keys_name_each_page_once() {
    for index in 0..PageId::COUNT {
        let page = PageId::at(index);

        assert_eq!((page.index(), PageId::parse(&page.key())), (index, Some(page)));
    }
    for foreign in ["config/table/7", "config/table/999", "config/other/001", "table/001", ""] {
        assert_eq!(PageId::parse(foreign), None, "{foreign}");
    }
}
