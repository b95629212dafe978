//! The difference between two versions of a configuration, which one gateway sends another in place of the whole.

use super::{CallerLimits, ConfigVersion, Configuration, Route, Service, Workspace};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// A configuration by its version and a digest of its content: version numbers may repeat after the store has lost its history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationMark {
    /// Its version.
    pub version: ConfigVersion,
    /// Digest of its content.
    pub digest: u64,
}

/// Why a change can't be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeError {
    /// It begins at another configuration.
    OtherBase(ConfigurationMark),
    /// It keeps items that the configuration doesn't have, or not in their order.
    OutOfRange {
        /// The first item that it keeps.
        from: usize,
        /// The end of the items that it keeps.
        end: usize,
        /// Number of items.
        items: usize,
    },
    /// What it leads to isn't what it says.
    OtherResult(ConfigurationMark),
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeError::OtherBase(mark) => {
                write!(f, "the change begins at version {} with another content", mark.version)
            }
            ChangeError::OutOfRange { from, end, items } => {
                write!(f, "the change keeps items {from} to {end} of {items}")
            }
            ChangeError::OtherResult(mark) => {
                write!(f, "the change leads to another content of version {}", mark.version)
            }
        }
    }
}

/// The difference between two versions of a configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigurationChange {
    before: ConfigurationMark,
    after: ConfigurationMark,
    routes: Vec<Part<Route>>,
    services: Vec<Part<Service>>,
    workspaces: Vec<Part<Workspace>>,
    limits: CallerLimits,
}

/// Consecutive items of a list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Part<T> {
    /// Items of the list before. Parts keep them in their order.
    Kept { from: usize, count: usize },
    /// A new item, or one that has changed.
    New(T),
}

/// An item that is known again by its name.
trait Named {
    fn name(&self) -> &str;
}

impl Named for Route {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Service {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Workspace {
    fn name(&self) -> &str {
        &self.name
    }
}

impl ConfigurationChange {
    /// Returns what changed between two configurations of these marks.
    pub fn new(
        (before, before_mark): (&Configuration, ConfigurationMark),
        (after, after_mark): (&Configuration, ConfigurationMark),
    ) -> ConfigurationChange {
        ConfigurationChange {
            before: before_mark,
            after: after_mark,
            routes: difference(&before.routes, &after.routes),
            services: difference(&before.services, &after.services),
            workspaces: difference(&before.workspaces, &after.workspaces),
            limits: after.limits,
        }
    }

    /// Returns the configuration that it applies to.
    pub fn before(&self) -> ConfigurationMark {
        self.before
    }

    /// Returns the configuration that it leads to.
    pub fn after(&self) -> ConfigurationMark {
        self.after
    }

    /// Returns the number of items that it holds whole.
    pub fn new_items(&self) -> usize {
        new_items(&self.routes) + new_items(&self.services) + new_items(&self.workspaces)
    }

    fn apply(&self, before: &Configuration) -> Result<Configuration, ChangeError> {
        Ok(Configuration {
            version: self.after.version,
            routes: apply(&self.routes, &before.routes)?,
            services: apply(&self.services, &before.services)?,
            limits: self.limits,
            workspaces: apply(&self.workspaces, &before.workspaces)?,
        })
    }
}

impl Configuration {
    /// Returns its version and the digest of its content.
    pub fn mark(&self) -> ConfigurationMark {
        // Serialization to memory doesn't fail.
        let content = postcard::to_stdvec(self).unwrap_or_default();
        ConfigurationMark { version: self.version, digest: xxh3_64(&content) }
    }

    /// Returns the number of its routes, services and workspaces.
    pub fn items(&self) -> usize {
        self.routes.len() + self.services.len() + self.workspaces.len()
    }

    /// Returns the configuration that changes lead to, one after the other, from this one of the mark `own`. Those before it are
    /// skipped.
    pub fn with_changes(
        &self,
        own: ConfigurationMark,
        changes: &[ConfigurationChange],
    ) -> Result<Configuration, ChangeError> {
        let (mut cfg, mut mark) = (self.clone(), own);
        let first = changes.iter().position(|change| change.before == own).unwrap_or_default();
        for change in &changes[first..] {
            if change.before != mark {
                return Err(ChangeError::OtherBase(change.before));
            }
            (cfg, mark) = (change.apply(&cfg)?, change.after);
        }
        match cfg.mark() == mark {
            true => Ok(cfg),
            false => Err(ChangeError::OtherResult(mark)),
        }
    }
}

fn difference<T: Named + Clone + PartialEq>(before: &[T], after: &[T]) -> Vec<Part<T>> {
    let by_name: HashMap<&str, usize> =
        before.iter().enumerate().map(|(index, item)| (item.name(), index)).collect();
    let mut parts: Vec<Part<T>> = Vec::new();
    let mut next = 0;
    for item in after {
        let kept = by_name.get(item.name()).copied();
        let Some(index) = kept.filter(|index| *index >= next && before[*index] == *item) else {
            parts.push(Part::New(item.clone()));
            continue;
        };
        match parts.last_mut() {
            Some(Part::Kept { count, .. }) if index == next => *count += 1,
            _ => parts.push(Part::Kept { from: index, count: 1 }),
        }
        next = index + 1;
    }
    parts
}

fn apply<T: Clone>(parts: &[Part<T>], before: &[T]) -> Result<Vec<T>, ChangeError> {
    let mut items = Vec::new();
    let mut next = 0;
    for part in parts {
        match part {
            Part::New(item) => items.push(item.clone()),
            Part::Kept { from, count } => {
                let (from, end) = (*from, from.saturating_add(*count));
                let out_of_range = ChangeError::OutOfRange { from, end, items: before.len() };
                let in_order = (from >= next).then_some(from..end).ok_or(out_of_range)?;
                items.extend_from_slice(before.get(in_order).ok_or(out_of_range)?);
                next = end;
            }
        }
    }
    Ok(items)
}

fn new_items<T>(parts: &[Part<T>]) -> usize {
    parts.iter().filter(|part| matches!(part, Part::New(_))).count()
}
