//! Reads pages, with bounded retries.

use crate::api::{Object, ObjectStore, StoreError};
use crate::config::{ABSENT, ConfigError, Found, ReadPage};
use sorrellock_core::id::Revision;
use sorrellock_core::version::{CONFIG_PREFIX, Item, Page, PageId};
use std::thread;
use std::time::Duration;

/// How often and how long a failed call is tried again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retry {
    /// The most tries.
    pub(crate) attempts: u32,
    /// The wait after the first; it doubles with each.
    pub(crate) wait: Duration,
}

impl Retry {
    /// Longest wait between two tries, whatever the store asks for.
    const MAX_WAIT: Duration = Duration::from_secs(2);

    /// Waits before try `attempt`, counted from 1, or as long as the store asked.
    pub(crate) fn pause(&self, attempt: u32, err: Option<&StoreError>) {
        let backoff = self.wait.saturating_mul(1 << attempt.min(10));
        let wait = match err {
            Some(StoreError::RateLimited { retry_after }) => *retry_after,
            _ => rand::random_range(backoff / 2..=backoff),
        };
        thread::sleep(wait.min(Retry::MAX_WAIT));
    }
}

/// Reads pages of a store.
pub(crate) struct ConfigReader<'a, S> {
    pub(crate) store: &'a S,
    pub(crate) retry: Retry,
}

impl<S: ObjectStore> ConfigReader<'_, S> {
    /// Reads a page; one that was never written is empty. `at_least` refuses an older copy.
    pub(crate) fn page<T: Item>(&self, id: PageId, at_least: Revision) -> Found<ReadPage<T>> {
        let object = self.object(id, at_least)?;
        let Some(object) = object else {
            return Ok(ReadPage { id, revision: ABSENT, page: Page::default() });
        };
        let bad = |detail: String| ConfigError::BadPage { page: id, detail };
        let page: Page<T> =
            serde_json::from_slice(&object.value).map_err(|err| bad(err.to_string()))?;
        page.check(id).map_err(|err| bad(err.to_string()))?;
        Ok(ReadPage { id, revision: object.version, page })
    }

    /// Reads all pages that `wanted` picks, of those that exist.
    pub(crate) fn pages<T: Item>(
        &self,
        wanted: impl Fn(PageId) -> bool,
    ) -> Found<Vec<ReadPage<T>>> {
        let listing = self.with_retries(CONFIG_PREFIX, || self.store.list(CONFIG_PREFIX))?;
        let listed = listing.objects.iter();
        let ids = listed.filter_map(|meta| Some((PageId::parse(&meta.key)?, meta.version)));
        let wanted = ids.filter(|(id, _)| wanted(*id));
        wanted.map(|(id, version)| self.page(id, version)).collect()
    }

    fn object(&self, id: PageId, at_least: Revision) -> Found<Option<Object>> {
        let key = id.key();
        let mut found = None;
        for attempt in 1..=self.retry.attempts {
            found = self.with_retries(&key, || self.store.get(&key))?;
            let revision = found.as_ref().map_or(ABSENT, |object| object.version);
            if revision >= at_least {
                return Ok(found);
            }
            self.retry.pause(attempt, None);
        }
        let revision = found.map_or(ABSENT, |object| object.version);
        let detail = format!("it answers from an old copy: {revision}, where {at_least} was seen");
        Err(ConfigError::Store { page: key, err: StoreError::Invalid { detail } })
    }

    fn with_retries<T>(&self, page: &str, call: impl Fn() -> Result<T, StoreError>) -> Found<T> {
        let mut attempt = 1;
        loop {
            match call() {
                Ok(value) => return Ok(value),
                Err(err) if attempt >= self.retry.attempts => {
                    return Err(ConfigError::Store { page: page.to_owned(), err });
                }
                Err(err) => self.retry.pause(attempt, Some(&err)),
            }
            attempt += 1;
        }
    }
}
