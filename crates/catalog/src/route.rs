//! Where callers' flows may go.

use std::{collections::BTreeMap, net::Ipv4Addr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// An address and port that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Front {
    /// The address.
    pub address: Ipv4Addr,
    /// The port.
    pub port: u16,
}

/// A service that takes a part of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// Its part, in proportion to the weights of the route's other targets.
    pub weight: u32,
}

/// What a route's callers expect of their requests. What the operators left out or stated absurdly
/// is not there.
///
/// It travels as two numbers, without the names of its fields: a large configuration fills small links, and
/// callers' packets and probes wait behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(from = "(u32, u32)", into = "(u32, u32)")]
pub struct Objective {
    /// Within which time an answer is worth all to them; whole milliseconds travel.
    pub latency: Option<Duration>,
    /// How urgent they are: 0 is the most urgent.
    pub priority: Option<u32>,
}

impl From<Objective> for (u32, u32) {
    /// Milliseconds, 0 for none, and the priority plus one, 0 for none.
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

/// A front and the services behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// What callers use.
    pub front: Front,
    /// Where new flows go.
    pub targets: Vec<Target>,
    /// What its callers expect.
    #[serde(rename = "o")]
    pub objective: Objective,
}

/// What the operators say of a service's backend servers that have just started. Only services with
/// a limit are listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Warmup {
    /// The service's name.
    pub service: Arc<str>,
    /// How long a server stays cold after its start, in milliseconds.
    pub time_ms: u32,
    /// Requests that a cold server bears in a thousand seconds.
    pub requests: u32,
}

/// The operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Config {
    /// The operators' own number of it; rises in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// How long a flow may be idle before it may be forgotten; unlimited if none.
    pub idle: Option<Duration>,
    /// Limits of servers that have just started, by service.
    pub warmups: Vec<Warmup>,
}

/// What leads from one configuration to the next.
///
/// Sent whole for each change of a route or two, a large configuration would fill the links of the small
/// balancers that pass it on, and callers' packets would wait behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Patch {
    /// The store's revision of the configuration that it applies to.
    pub base: u64,
    /// The operators' number of the configuration that it leads to.
    pub version: u64,
    /// Routes that are new or changed.
    pub put: Vec<Route>,
    /// Names of routes that are no more.
    pub remove: Vec<Arc<str>>,
    /// See [`Config::idle`].
    pub idle: Option<Duration>,
    /// See [`Config::warmups`]; none where they are as before.
    pub warmups: Option<Vec<Warmup>>,
}

impl Patch {
    /// What leads from `old`, which stands at the store's revision `base`, to `new`.
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
        let gone = |route: &&Route| !after.contains_key(&*route.name);
        Patch {
            base,
            version: new.version,
            put: new.routes.iter().filter(differs).cloned().collect(),
            remove: old
                .routes
                .iter()
                .filter(gone)
                .map(|route| Arc::clone(&route.name))
                .collect(),
            idle: new.idle,
            warmups: (old.warmups != new.warmups).then(|| new.warmups.clone()),
        }
    }

    /// The configuration that `old` becomes. Routes keep their places; new ones come last.
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
