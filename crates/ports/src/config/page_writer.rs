//! Writes a change into one page: a conditional put, rebased on other rows' changes, and settled
//! by reading back where its answer was lost.

use crate::api::{ObjectStore, Precondition, StoreError};
use crate::config::{
    ABSENT, ConfigError, ConfigReader, Found, PageEdit, ReadPage, Retry, Written, encode,
};
use sorrellock_core::id::Revision;
use sorrellock_core::version::{Change, Item};

/// Writes a change into one page.
pub(crate) struct PageWriter<'a, S> {
    pub(crate) store: &'a S,
    pub(crate) retry: Retry,
    pub(crate) change: &'a Change,
}

/// How a put ended.
enum Put {
    /// It took effect, at this revision.
    Done(Revision),
    /// It had no effect.
    Failed(StoreError),
    /// It may have had, or may come to have.
    Unsure(StoreError),
}

impl<S: ObjectStore> PageWriter<'_, S> {
    /// Writes the edit into a page that was read as `first`.
    pub(crate) fn write<T: Item>(&self, edit: &PageEdit<T>, first: &ReadPage<T>) -> Found<Written> {
        let mut current = first.clone();
        let mut unsure = false;
        let mut last = None;
        for retries in 0..self.retry.attempts {
            let Some(page) = edit.apply(&current, self.change)? else {
                return Ok(Written { revision: current.revision, unchanged: true, retries });
            };
            let value = encode(edit.id, &page)?;
            let err = match self.put(&current, &value) {
                Put::Done(revision) => {
                    return Ok(Written { revision, unchanged: false, retries });
                }
                Put::Failed(err) => err,
                Put::Unsure(err) => {
                    unsure = true;
                    err
                }
            };
            self.retry.pause(retries, Some(&err));
            last = Some(err);
            let put_on = current.revision;
            current = self.read_back(edit, &current, last.as_ref(), unsure)?;
            if let Some(revision) = current.landed(self.change.id) {
                return Ok(Written { revision, unchanged: false, retries });
            }
            if unsure && current.revision != put_on {
                if !current.remembers(put_on) {
                    return Err(self.unsettled(edit, "its page was changed too often since"));
                }
                // The put was on a version that is past, and is not among the changes since.
                unsure = false;
            }
            edit.check_clash(first, &current)?;
            edit.check_revision(&current)?;
        }
        Err(self.gave_up(edit, unsure, last))
    }

    fn put<T>(&self, on: &ReadPage<T>, value: &[u8]) -> Put {
        let when = match on.revision {
            ABSENT => Precondition::Absent,
            revision => Precondition::Version(revision),
        };
        match self.store.put(&on.id.key(), value, when) {
            Ok(revision) => Put::Done(revision),
            Err(err @ (StoreError::NoAnswer { .. } | StoreError::Invalid { .. })) => {
                Put::Unsure(err)
            }
            Err(err) => Put::Failed(err),
        }
    }

    /// Reads the page again, at the version that a conflict told of or a later one.
    fn read_back<T: Item>(
        &self,
        edit: &PageEdit<T>,
        current: &ReadPage<T>,
        err: Option<&StoreError>,
        unsure: bool,
    ) -> Found<ReadPage<T>> {
        let at_least = match err {
            Some(StoreError::Conflict { found }) => current.revision.max(*found),
            _ => current.revision,
        };
        let reader = ConfigReader { store: self.store, retry: self.retry };
        reader.page(edit.id, at_least).map_err(|err| match unsure {
            true => self.unsettled(edit, &err.to_string()),
            false => err,
        })
    }

    fn unsettled<T>(&self, edit: &PageEdit<T>, detail: &str) -> ConfigError {
        let (page, change) = (edit.id, self.change.id);
        ConfigError::Unsettled { page, change, detail: detail.to_owned() }
    }

    fn gave_up<T>(
        &self,
        edit: &PageEdit<T>,
        unsure: bool,
        last: Option<StoreError>,
    ) -> ConfigError {
        match last {
            Some(err) if unsure => self.unsettled(edit, &err.to_string()),
            None | Some(StoreError::Conflict { .. }) => {
                ConfigError::Busy { page: edit.id, attempts: self.retry.attempts }
            }
            Some(err) => ConfigError::Store { page: edit.id.key(), err },
        }
    }
}
