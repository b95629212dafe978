//! A change of items of one page, and the page that results.

use crate::config::{ABSENT, ConfigError, Found};
use sorrellock_core::id::Revision;
use sorrellock_core::version::{
    Change, Item, MAX_PAGE_BYTES, Page, PageId, RECENT_CHANGES, Versioned,
};

/// A page as it was read.
#[derive(Clone, Debug)]
pub(crate) struct ReadPage<T> {
    pub(crate) id: PageId,
    pub(crate) revision: Revision,
    pub(crate) page: Page<T>,
}

impl<T: Item> ReadPage<T> {
    /// The items, each with the revision of its last change filled in.
    pub(crate) fn into_items(self) -> Vec<Versioned<T>> {
        let mut items = self.page.items;
        for versioned in &mut items {
            versioned.change.revision = versioned.change.revision_in(self.revision);
        }
        items
    }

    /// The last change of an item; of the page, if the item is not there.
    fn last_change(&self, name: &str) -> Change {
        let of_item = self.page.get(name).map(|versioned| &versioned.change);
        let change = of_item.or(self.page.recent.last()).cloned().unwrap_or_default();
        Change { revision: change.revision_in(self.revision), ..change }
    }

    /// Whether change `id` took effect here, and at which revision.
    pub(crate) fn landed(&self, id: u64) -> Option<Revision> {
        let change = self.page.recent.iter().find(|change| change.id == id)?;
        Some(change.revision_in(self.revision))
    }

    /// Whether every change after `revision` is remembered, so that one missing did not happen.
    pub(crate) fn remembers(&self, revision: Revision) -> bool {
        let recent = &self.page.recent;
        let oldest = recent.first().map_or(ABSENT, |change| change.revision_in(self.revision));
        recent.len() < RECENT_CHANGES || oldest <= revision
    }
}

/// What an edit makes of an item: `None` removes it.
type Apply<T> = Box<dyn Fn(Option<&Versioned<T>>) -> Found<Option<T>>>;

/// A change of one item.
pub(crate) struct Edit<T> {
    pub(crate) name: String,
    /// How errors call the item.
    pub(crate) what: String,
    apply: Apply<T>,
}

impl<T: Item> Edit<T> {
    pub(crate) fn new(
        sort: &str,
        name: impl Into<String>,
        apply: impl Fn(Option<&Versioned<T>>) -> Found<Option<T>> + 'static,
    ) -> Edit<T> {
        let name = name.into();
        Edit { what: format!("{sort} {name}"), name, apply: Box::new(apply) }
    }

    /// Adds an item that must not be there yet.
    pub(crate) fn add(sort: &'static str, item: T) -> Edit<T> {
        Edit::new(sort, item.name(), move |old| match old {
            None => Ok(Some(item.clone())),
            Some(old) => {
                let what = format!("{sort} {}", item.name());
                Err(ConfigError::Exists { what, by: old.change.clone() })
            }
        })
    }

    /// Changes an item that must be there.
    pub(crate) fn change(
        sort: &'static str,
        name: &str,
        change: impl Fn(&mut T) + 'static,
    ) -> Edit<T> {
        let what = format!("{sort} {name}");
        Edit::new(sort, name, move |old: Option<&Versioned<T>>| {
            let missing = || ConfigError::NoSuch { what: what.clone() };
            let mut item = old.ok_or_else(missing)?.item.clone();
            change(&mut item);
            Ok(Some(item))
        })
    }

    /// Removes an item that must be there.
    pub(crate) fn remove(sort: &'static str, name: &str) -> Edit<T> {
        let what = format!("{sort} {name}");
        Edit::new(sort, name, move |old| match old {
            Some(_) => Ok(None),
            None => Err(ConfigError::NoSuch { what: what.clone() }),
        })
    }
}

/// All that a change does to one page.
pub(crate) struct PageEdit<T> {
    pub(crate) id: PageId,
    pub(crate) edits: Vec<Edit<T>>,
    /// Refuse if an item was changed after this revision.
    pub(crate) if_revision: Option<Revision>,
}

impl<T: Item> PageEdit<T> {
    /// The page that results, or `None` if nothing changes.
    pub(crate) fn apply(&self, read: &ReadPage<T>, change: &Change) -> Found<Option<Page<T>>> {
        let mut page = read.page.clone();
        fill_in(&mut page, read.revision);
        let mut changed = false;
        for edit in &self.edits {
            changed |= apply_one(&mut page, edit, change)?;
        }
        if !changed {
            return Ok(None);
        }
        page.items.sort_by_cached_key(|versioned| versioned.item.name());
        page.recent.push(change.clone());
        let surplus = page.recent.len().saturating_sub(RECENT_CHANGES);
        page.recent.drain(..surplus);
        Ok(Some(page))
    }

    /// Refuses items that were changed after the revision that the operator looked at.
    pub(crate) fn check_revision(&self, read: &ReadPage<T>) -> Found<()> {
        let Some(seen) = self.if_revision else { return Ok(()) };
        for edit in &self.edits {
            let winner = read.last_change(&edit.name);
            if winner.revision > seen {
                return Err(ConfigError::Clash { what: edit.what.clone(), winner });
            }
        }
        Ok(())
    }

    /// Refuses if somebody else changed the same item between two reads.
    pub(crate) fn check_clash(&self, before: &ReadPage<T>, after: &ReadPage<T>) -> Found<()> {
        let id = |read: &ReadPage<T>, name: &str| read.page.get(name).map(|item| item.change.id);
        for edit in &self.edits {
            if id(before, &edit.name) != id(after, &edit.name) {
                let winner = after.last_change(&edit.name);
                return Err(ConfigError::Clash { what: edit.what.clone(), winner });
            }
        }
        Ok(())
    }
}

/// Encodes a page for the store.
pub(crate) fn encode<T: Item>(id: PageId, page: &Page<T>) -> Found<Vec<u8>> {
    let value = serde_json::to_vec(page).expect("a page is JSON");
    if value.len() > MAX_PAGE_BYTES {
        return Err(ConfigError::TooLarge { page: id, bytes: value.len() });
    }
    Ok(value)
}

/// Gives the changes that the page's last writer made their revision, which is known by now.
fn fill_in<T>(page: &mut Page<T>, revision: Revision) {
    let of_items = page.items.iter_mut().map(|versioned| &mut versioned.change);
    for change in page.recent.iter_mut().chain(of_items) {
        change.revision = change.revision_in(revision);
    }
}

/// Tells whether it changed anything.
fn apply_one<T: Item>(page: &mut Page<T>, edit: &Edit<T>, change: &Change) -> Found<bool> {
    let at = page.items.iter().position(|versioned| versioned.item.name() == edit.name);
    let old = at.map(|at| &page.items[at]);
    let new = (edit.apply)(old)?;
    if old.map(|old| &old.item) == new.as_ref() {
        return Ok(false);
    }
    if let Some(item) = &new {
        item.check()?;
    }
    let new = new.map(|item| Versioned { item, change: change.clone() });
    match (at, new) {
        (Some(at), Some(new)) => page.items[at] = new,
        (Some(at), None) => drop(page.items.remove(at)),
        (None, Some(new)) => page.items.push(new),
        (None, None) => {}
    }
    Ok(true)
}
