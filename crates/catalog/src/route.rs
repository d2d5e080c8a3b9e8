//! The operators' configuration: which services take the flows to which addresses.

use std::{collections::BTreeMap, net::Ipv4Addr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// An address and port to which callers connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Front {
    /// The address.
    pub address: Ipv4Addr,
    /// The port.
    pub port: u16,
}

/// A service that takes a share of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// Its share, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// The service level that a route's callers expect. Values that the operators left out, or set to
/// something absurd, are `None`.
///
/// It is serialised as two numbers without field names: a large configuration saturates small
/// links, and callers' packets and probes queue behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct Objective {
    /// The time within which an answer has its full value; serialised in whole milliseconds.
    pub latency: Option<Duration>,
    /// The requests' priority; 0 is the most urgent.
    pub priority: Option<u32>,
}

impl From<Objective> for (u32, u32) {
    /// Encodes the latency in milliseconds and the priority plus one, each with 0 for `None`.
    fn from(objective: Objective) -> Self {
        let millis = objective.latency.map_or(0, |latency| latency.as_millis());
        let priority = objective.priority.map_or(0, |own| own.saturating_add(1));
        (millis.try_into().unwrap_or(u32::MAX), priority)
    }
}

impl From<(u32, u32)> for Objective {
    fn from((millis, priority): (u32, u32)) -> Self {
        Objective {
            latency: (millis > 0).then(|| Duration::from_millis(millis.into())),
            priority: priority.checked_sub(1),
        }
    }
}

/// An address and port, and the services that its flows go to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name; patches and logs refer to it.
    pub name: Arc<str>,
    /// The address and port to which callers connect.
    pub front: Front,
    /// The services that take new flows.
    pub targets: Vec<Target>,
    /// The service level that its callers expect.
    #[serde(rename = "o")]
    pub objective: Objective,
}

/// A service's limit on requests to backend servers that have just started. Services without such a
/// limit have no entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warmup {
    /// The service's name.
    pub service: Arc<str>,
    /// How long a server counts as cold after its start, in milliseconds.
    pub time_ms: u32,
    /// Requests that a cold server can handle in a thousand seconds.
    pub requests: u32,
}

/// The operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    /// The operators' version number; it increases, but not always by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// How long a flow may be idle before it may be dropped; unlimited if `None`.
    pub idle: Option<Duration>,
    /// Limits for servers that have just started, one per service.
    pub warmups: Vec<Warmup>,
}

/// The difference between one configuration and the next.
///
/// If every change of a route or two sent the whole of a large configuration, it would saturate the
/// links of the small balancers that pass it on, and callers' packets would queue behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The store's revision of the configuration to which the patch applies.
    pub base: u64,
    /// The version of the resulting configuration; see [`Config::version`].
    pub version: u64,
    /// New and changed routes.
    pub put: Vec<Route>,
    /// Names of removed routes.
    pub remove: Vec<Arc<str>>,
    /// See [`Config::idle`].
    pub idle: Option<Duration>,
    /// See [`Config::warmups`]; `None` if unchanged.
    pub warmups: Option<Vec<Warmup>>,
}

impl Patch {
    /// The patch that leads from `old`, whose revision in the store is `base`, to `new`.
    ///
    /// ```
    /// use acacia_catalog::route::{Config, Patch};
    /// let old = Config { version: 1, ..Config::default() };
    /// let new = Config { version: 3, ..old.clone() };
    /// assert_eq!(Patch::between(&old, 9, &new).apply(&old), new);
    /// ```
    #[must_use]
    pub fn between(old: &Config, base: u64, new: &Config) -> Self {
        let before: BTreeMap<&str, &Route> = by_name(old);
        let after: BTreeMap<&str, &Route> = by_name(new);
        let differs = |route: &&Route| before.get(&*route.name) != Some(route);
        let removed = |route: &&Route| !after.contains_key(&*route.name);
        Patch {
            base,
            version: new.version,
            put: new.routes.iter().filter(differs).cloned().collect(),
            remove: old
                .routes
                .iter()
                .filter(removed)
                .map(|route| Arc::clone(&route.name))
                .collect(),
            idle: new.idle,
            warmups: (old.warmups != new.warmups).then(|| new.warmups.clone()),
        }
    }

    /// Applies the patch to `old`. Existing routes keep their order; new ones are appended.
    #[must_use]
    pub fn apply(&self, old: &Config) -> Config {
        let mut put: BTreeMap<&str, &Route> = BTreeMap::new();
        put.extend(self.put.iter().map(|route| (&*route.name, route)));
        let mut routes = Vec::with_capacity(old.routes.len() + self.put.len());
        for route in &old.routes {
            if !self.remove.contains(&route.name) {
                routes.push(put.remove(&*route.name).unwrap_or(route).clone());
            }
        }
        let new = self
            .put
            .iter()
            .filter(|route| put.contains_key(&*route.name));
        routes.extend(new.cloned());
        Config {
            version: self.version,
            routes,
            idle: self.idle,
            warmups: self.warmups.as_ref().unwrap_or(&old.warmups).clone(),
        }
    }
}

fn by_name(config: &Config) -> BTreeMap<&str, &Route> {
    config
        .routes
        .iter()
        .map(|route| (&*route.name, route))
        .collect()
}
