//! Finds the route and the workspace of a request.

use crate::version::{
    ConfigVersion, Configuration, ConfigurationMark, Route, Semantics, Service, ServiceName,
    Workspace,
};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::{Arc, OnceLock};

/// A configuration indexed for request lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    cfg: Arc<Configuration>,
    mark: OnceLock<ConfigurationMark>,
    /// Routes by host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
    /// Services whose callers of streams differ in rank.
    ranked: HashSet<ServiceName>,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAllowed {
    /// No route matches.
    NoRoute,
    /// The key is unknown or missing.
    UnknownKey,
}

/// The route of a request, and the workspace that sent it.
#[derive(Clone, Copy, Debug)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a Route,
    /// The workspace whose key the request carries; none on a public route without a known key.
    pub workspace: Option<&'a Workspace>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(cfg: Configuration) -> RouteTable {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in cfg.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(cfg.routes[*index].path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (index, workspace) in cfg.workspaces.iter().enumerate() {
            by_key.extend(workspace.keys.iter().map(|key| (key.clone(), index)));
        }
        let ranked = ranked_services(&cfg);
        RouteTable { cfg: Arc::new(cfg), mark: OnceLock::new(), by_host, by_key, ranked }
    }

    /// Returns the mark of the configuration.
    pub fn mark(&self) -> ConfigurationMark {
        *self.mark.get_or_init(|| self.cfg.mark())
    }

    /// Returns whether callers of a service's streams differ in rank, by their workspaces or routes.
    pub fn has_ranks(&self, service: &str) -> bool {
        self.ranked.contains(service)
    }

    /// Returns the services whose callers of streams differ in rank.
    pub fn ranked_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.ranked.iter()
    }

    /// Returns the rank of a request in the queue for capacity, 0 for the most urgent: by the rank of its workspace, and
    /// among equal ones by that of its route.
    pub fn capacity_rank(&self, route: &str, workspace: Option<&str>) -> Option<u8> {
        let route = self.cfg.routes.iter().find(|known| known.name == route)?;
        let by_name = |name: &str| self.cfg.workspaces.iter().find(|known| known.name == name);
        Some(capacity_rank(route, workspace.and_then(by_name)))
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.cfg.version
    }

    /// Returns the configuration.
    pub fn cfg(&self) -> &Arc<Configuration> {
        &self.cfg
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.cfg.services.iter().find(|service| service.name == name)
    }

    /// Finds the route and the workspace of a request. `path` doesn't include the query.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, NotAllowed> {
        let route = self.route(host, path).ok_or(NotAllowed::NoRoute)?;
        let workspace = key.and_then(|key| self.by_key.get(key));
        let workspace = workspace.map(|index| &self.cfg.workspaces[*index]);
        let needs_key = !route.is_public && !self.cfg.workspaces.is_empty();
        if needs_key && workspace.is_none() {
            return Err(NotAllowed::UnknownKey);
        }
        Ok(RouteMatch { route, workspace })
    }

    fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host_name(host).to_ascii_lowercase();
        let routes = self.by_host.get(&host)?;
        let routes = routes.iter().map(|index| &self.cfg.routes[*index]);
        routes.into_iter().find(|route| path.starts_with(&route.path_prefix))
    }
}

/// The last rank. Higher ones count as this one.
const MAX_RANK: u32 = 9;

/// Returns the rank of a request in the queue for capacity.
pub fn capacity_rank(route: &Route, workspace: Option<&Workspace>) -> u8 {
    let by_route = route.priority.min(MAX_RANK);
    let by_workspace = workspace.and_then(|workspace| workspace.priority);
    let rank = by_workspace.unwrap_or(by_route).min(MAX_RANK);
    (rank * (MAX_RANK + 1) + by_route) as u8
}

/// Formats a rank in the queue for capacity: that of the workspace, then that of the route.
pub fn rank_name(rank: u8) -> String {
    let ranks = MAX_RANK as u8 + 1;
    format!("{}.{}", rank / ranks, rank % ranks)
}

fn ranked_services(cfg: &Configuration) -> HashSet<ServiceName> {
    let mut ranks: HashMap<&ServiceName, BTreeSet<u8>> = HashMap::new();
    let streams =
        cfg.routes.iter().filter(|route| matches!(route.semantics, Semantics::Stream { .. }));
    // One workspace for each rank stands for all.
    let mut workspaces: Vec<&Workspace> = cfg.workspaces.iter().collect();
    workspaces.sort_by_key(|workspace| workspace.priority);
    workspaces.dedup_by_key(|workspace| workspace.priority);
    for route in streams {
        let all = workspaces.iter().map(|workspace| capacity_rank(route, Some(workspace)));
        let all: Vec<u8> =
            all.chain(workspaces.is_empty().then(|| capacity_rank(route, None))).collect();
        for (service, _) in &route.targets {
            ranks.entry(service).or_default().extend(&all);
        }
    }
    let ranked = ranks.into_iter().filter(|(_, ranks)| ranks.len() > 1);
    ranked.map(|(service, _)| service.clone()).collect()
}

/// Returns a `Host` header without its port.
fn host_name(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
