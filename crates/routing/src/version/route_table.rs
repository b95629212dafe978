//! Finds the route and the workspace of a request.

use crate::version::{ConfigVersion, Configuration, Route, Service, Workspace};
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration indexed for request lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    cfg: Arc<Configuration>,
    /// Routes by host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
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
        RouteTable { cfg: Arc::new(cfg), by_host, by_key }
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

/// Returns a `Host` header without its port.
fn host_name(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
