//! Keeps the best paths of a service up to date as its engines change.

use crate::process::{
    DataCentre, Holder, PipelinePath, cheapest_path, path_with_first, paths_by_head,
};
use std::collections::BTreeMap;

/// A path with its redundancy inside its data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct RankedPath {
    /// The path.
    pub path: PipelinePath,
    /// Fraction of the path's layers that another engine of the same data centre also holds.
    pub redundancy: f64,
}

/// The best paths of one service: inside each data centre, one for each first engine; if there are none at all,
/// one across several data centres.
///
/// A data centre is searched again only when its own engines change, so that the cost of one change does not grow
/// with the number of data centres.
#[derive(Debug, Default)]
pub struct BestPaths {
    layers: u32,
    local: BTreeMap<DataCentre, LocalPaths>,
    searches: u64,
}

/// The engines and paths of one data centre.
#[derive(Debug, Default)]
struct LocalPaths {
    holders: Vec<Holder>,
    paths: Vec<RankedPath>,
}

impl BestPaths {
    /// Replaces the engines of the service, which must come in a stable order, and returns the best paths over
    /// all `layers`.
    pub fn update(&mut self, holders: &[Holder], layers: u32) -> Vec<RankedPath> {
        if self.layers != layers {
            self.layers = layers;
            self.local.clear();
        }
        let mut by_data_centre: BTreeMap<&DataCentre, Vec<&Holder>> = BTreeMap::new();
        for holder in holders {
            by_data_centre.entry(&holder.data_centre).or_default().push(holder);
        }
        self.local.retain(|name, _| by_data_centre.contains_key(name));
        for (name, holders) in by_data_centre {
            self.update_local(name, &holders);
        }
        let mut paths: Vec<RankedPath> =
            self.local.values().flat_map(|local| &local.paths).cloned().collect();
        if paths.is_empty() {
            let across = cheapest_path(holders, layers);
            paths.extend(across.map(|path| ranked(path, holders, layers)));
        }
        paths
    }

    /// Returns the cheapest path in the data centre of the path `of` that begins with the same part.
    pub fn with_first(&self, of: &PipelinePath) -> Option<PipelinePath> {
        let local = self.local.get(&of.data_centre)?;
        path_with_first(&local.holders, self.layers, of.first())
    }

    /// Returns how often a data centre was searched.
    pub fn searches(&self) -> u64 {
        self.searches
    }

    fn update_local(&mut self, name: &DataCentre, holders: &[&Holder]) {
        let known = self.local.get(name);
        if known.is_some_and(|local| local.holders.iter().eq(holders.iter().copied())) {
            return;
        }
        self.searches += 1;
        let holders: Vec<Holder> = holders.iter().copied().cloned().collect();
        let paths = paths_by_head(&holders, self.layers).into_iter();
        let paths = paths.map(|path| ranked(path, &holders, self.layers)).collect();
        self.local.insert(name.clone(), LocalPaths { holders, paths });
    }
}

fn ranked(path: PipelinePath, holders: &[Holder], layers: u32) -> RankedPath {
    let redundancy = redundancy(&path, holders, layers);
    RankedPath { path, redundancy }
}

/// Returns the fraction of a path's layers that another engine of its data centre also holds.
fn redundancy(path: &PipelinePath, holders: &[Holder], layers: u32) -> f64 {
    let is_local = |holder: &&Holder| holder.data_centre == path.data_centre;
    let local: Vec<&Holder> = holders.iter().filter(is_local).collect();
    let others = path.parts.iter().map(|part| {
        let has_other = |layer: &u32| {
            local.iter().any(|holder| {
                holder.layers.contains(*layer) && holder.incarnation != part.incarnation
            })
        };
        (part.layers.from..part.layers.to).filter(has_other).count()
    });
    others.sum::<usize>() as f64 / f64::from(layers.max(1))
}
