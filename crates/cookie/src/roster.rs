//! Tracks every backend server that may still have flows, and whether it is usable.

mod warming;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use acacia_catalog::{
    Catalog,
    route::{self, Config},
    server::{self, State},
};
use acacia_load::overload;
use acacia_wire::collections::Map;

use crate::{
    cookie::{self, Cookie, VARIANTS},
    silence::Detector,
    snapshot::{Pool, Route, Server, Snapshot, Standing},
};

pub use warming::Warmup;

/// Time limits for servers whose entries are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long an entry may be missing before its server counts as lost and gets no new flows at
    /// all. The default is 2 s: after an outage, the store has the entries back within that time.
    pub missing: Duration,
    /// How long a server that is gone remains known by its cookie: the maximum lifetime of a flow.
    pub known: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            missing: Duration::from_secs(2),
            known: Duration::from_secs(60),
        }
    }
}

/// Weight factor of a server that has just started, as its first requests take longer.
const COLD_WEIGHT: f64 = 0.6;

/// A server and what this balancer has learned of its entry.
#[derive(Debug, Clone)]
struct Record {
    server: Arc<server::Server>,
    /// Revision of the store at which this balancer first saw the server. It orders servers in the
    /// same way on all balancers that follow one store.
    first_revision: u64,
    /// When its entry went missing.
    missing: Option<Duration>,
    /// End of its warm-up, according to its entry.
    warm_at: Duration,
    /// End of its warm-up if it has restarted unnoticed, as it may have.
    suspected_until: Duration,
    /// All its cookies.
    cookies: [Cookie; VARIANTS as usize],
}

impl Record {
    /// Whether it announced its departure and its entry has been removed.
    fn has_left(&self) -> bool {
        self.missing.is_some() && self.server.state == State::Draining
    }
}

/// The servers known to a balancer, including those that left within the lifetime of a flow.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    limits: Limits,
    servers: BTreeMap<Arc<str>, Record>,
    config: Option<Arc<Config>>,
    /// The data centres under evacuation.
    evacuated: BTreeSet<Arc<str>>,
    warmup_limits: Warmup,
    revision: u64,
    /// Servers that have restarted since the last call of [`Roster::take_restarted`].
    restarted: Vec<Arc<str>>,
}

impl Roster {
    /// Creates a roster without any servers.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Roster {
            limits,
            ..Roster::default()
        }
    }

    /// Updates servers, configuration and evacuations from the catalog.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_catalog::Catalog;
    /// use acacia_cookie::{Roster, silence::Detector};
    /// let mut roster = Roster::default();
    /// roster.update(&Catalog::default(), Duration::ZERO);
    /// let snapshot = roster.snapshot(&Detector::default(), Duration::ZERO);
    /// assert!(snapshot.servers.is_empty());
    /// ```
    pub fn update(&mut self, catalog: &Catalog, now: Duration) {
        self.revision = catalog.revision();
        self.config = catalog.config().map(|item| Arc::clone(&item.value));
        let evacuations = catalog.evacuations();
        let evacuated = evacuations.map(|(centre, _)| Arc::clone(centre)).collect();
        let previous = std::mem::replace(&mut self.evacuated, evacuated);
        for centre in &previous - &self.evacuated {
            self.suspect_cold(now, |server| server.data_centre == centre);
        }
        for (id, item) in catalog.servers() {
            match &item.value {
                Some(server) => self.update_server(id, server, item.revision, now),
                None => {
                    if let Some(known) = self.servers.get_mut(id) {
                        known.missing.get_or_insert(now);
                    }
                }
            }
        }
        let known = self.limits.known;
        self.servers.retain(|_, server| {
            server
                .missing
                .is_none_or(|at| now.saturating_sub(at) < known)
        });
    }

    /// Updates one server from its entry.
    fn update_server(
        &mut self,
        id: &Arc<str>,
        server: &Arc<server::Server>,
        revision: u64,
        now: Duration,
    ) {
        let warm_at = now + Duration::from_millis(server.warmup_ms.into());
        match self.servers.get_mut(id) {
            Some(known) if Arc::ptr_eq(&known.server, server) => known.missing = None,
            Some(known) => {
                if known.server.started_ms != server.started_ms {
                    self.restarted.push(Arc::clone(id));
                }
                known.server = Arc::clone(server);
                known.missing = None;
                known.warm_at = warm_at;
            }
            None => {
                let known = Record {
                    server: Arc::clone(server),
                    first_revision: revision,
                    missing: None,
                    warm_at,
                    suspected_until: Duration::ZERO,
                    cookies: std::array::from_fn(|variant| Cookie::of(id, variant as u32)),
                };
                self.servers.insert(Arc::clone(id), known);
            }
        }
    }

    /// Returns the servers that have restarted under their names since the last call.
    ///
    /// What was learned of such a server before its restart, perhaps on another VM, is no longer
    /// valid. If that state were kept, a server that was silent would get no flow until a probe
    /// succeeds, and one that was slow would get too few for as long as its old speed is
    /// remembered.
    pub fn take_restarted(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.restarted)
    }

    /// When the standing or the warm-up of some server next changes by the passage of time alone.
    #[must_use]
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let missing = self.limits.missing;
        let ends = |known: &Record| {
            let expiry = known.missing.map(|at| at + missing);
            [expiry, Some(known.warm_at), Some(known.suspected_until)]
        };
        self.servers
            .values()
            .flat_map(ends)
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    /// Returns the routes and servers for the traffic threads.
    #[must_use]
    pub fn snapshot(&self, detector: &Detector, now: Duration) -> Snapshot {
        let mut snapshot = Snapshot {
            revision: self.revision,
            ..Snapshot::default()
        };
        // Older servers come first: they keep a cookie that a newer server turns out to share.
        let mut known: Vec<&Record> = self.servers.values().collect();
        known.sort_by(|one, other| {
            (one.first_revision, &one.server.id).cmp(&(other.first_revision, &other.server.id))
        });
        let shared = shared_cookies(&known);
        for (position, known) in known.iter().enumerate() {
            for cookie in known.cookies {
                snapshot.cookies.entry(cookie).or_insert(position as u32);
            }
            let mut server = self.server(known, &shared, now);
            if detector.is_silent(&server.id) {
                server.standing = Standing::Gone;
            }
            snapshot.servers.push(server);
        }
        if let Some(config) = &self.config {
            fill_routes(&mut snapshot, config, &known);
            self.separate_cold(&mut snapshot, &known, now);
        }
        snapshot
    }

    fn server(&self, known: &Record, shared: &[Cookie], now: Duration) -> Server {
        let server = &known.server;
        let mut own = known.cookies.into_iter();
        let unique = own.find(|cookie| shared.binary_search(cookie).is_err());
        let warmup_factor = if known.warm_at > now {
            COLD_WEIGHT
        } else {
            1.0
        };
        Server {
            id: Arc::clone(&server.id),
            hash: cookie::hash(&server.id),
            // If all variants are shared, the older server gets the flow. This does not occur in
            // any realistic fleet.
            cookie: unique.unwrap_or(known.cookies[0]),
            tag: server.tag,
            address: server.address,
            service: Arc::clone(&server.service),
            data_centre: Arc::clone(&server.data_centre),
            standing: self.standing(known, now),
            slots: server.slots.max(1),
            idle: None,
            failing: false,
            weight: f64::from(server.slots.max(1)) * warmup_factor,
        }
    }

    /// Whether another server now has its address. The old server no longer exists then, and
    /// packets sent there for it are not answered.
    fn is_replaced(&self, known: &Record) -> bool {
        let address = known.server.address;
        self.servers.values().any(|other| {
            other.missing.is_none()
                && other.server.address == address
                && other.server.id != known.server.id
        })
    }

    /// The servers that may be examined: all known servers except those that announced their
    /// departure and have left. The latter remain known by their cookies for a while, and probing
    /// them in that time would be wasted.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<server::Server>> {
        let others = self.servers.values().filter(|known| !known.has_left());
        others.map(|known| &known.server)
    }

    /// Whether a server is known and has not left after announcing its departure.
    pub fn holds(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|known| !known.has_left())
    }

    /// Returns a known server by name, even if it has left.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<server::Server>> {
        self.servers.get(id).map(|known| &known.server)
    }

    /// The servers whose entries exist.
    pub fn present(&self) -> impl Iterator<Item = &Arc<server::Server>> {
        let present = self
            .servers
            .values()
            .filter(|known| known.missing.is_none());
        present.map(|known| &known.server)
    }

    fn standing(&self, known: &Record, now: Duration) -> Standing {
        let draining = known.server.state == State::Draining;
        let evacuated = self.evacuated.contains(&known.server.data_centre);
        let recently_missing = |at: Duration| now.saturating_sub(at) < self.limits.missing;
        match known.missing {
            None if draining => Standing::Draining,
            None if evacuated => Standing::Evacuated,
            None => Standing::Ready,
            Some(_) if draining => Standing::Gone,
            Some(_) if self.is_replaced(known) => Standing::Gone,
            Some(at) if recently_missing(at) && evacuated => Standing::Evacuated,
            Some(at) if recently_missing(at) => Standing::Missing,
            Some(_) => Standing::Lost,
        }
    }
}

/// Cookies that several servers have in common, sorted.
fn shared_cookies(known: &[&Record]) -> Vec<Cookie> {
    let mut all: Vec<Cookie> = known.iter().flat_map(|known| known.cookies).collect();
    all.sort_unstable();
    let mut shared: Vec<Cookie> = all
        .windows(2)
        .filter(|pair| pair[0] == pair[1])
        .map(|pair| pair[0])
        .collect();
    shared.dedup();
    shared
}

fn fill_routes(snapshot: &mut Snapshot, config: &Config, known: &[&Record]) {
    snapshot.version = config.version;
    let mut positions: Map<Arc<str>, u32> = Map::default();
    for route in &config.routes {
        let mut pools = Vec::with_capacity(route.targets.len());
        for target in &route.targets {
            let next = positions.len() as u32;
            let position = *positions.entry(Arc::clone(&target.service)).or_insert(next);
            pools.push((position, target.weight));
        }
        let name = Arc::clone(&route.name);
        let objective = objective(route);
        let route_entry = Route {
            name,
            pools,
            objective,
        };
        snapshot.routes.insert(route.front, route_entry);
    }
    let mut pools = vec![Pool::default(); positions.len()];
    for (service, position) in positions {
        let pool = &mut pools[position as usize];
        pool.open = open(snapshot, known, &service);
        let slots = |position: &u32| u32::from(snapshot.servers[*position as usize].slots);
        pool.slots = pool.open.iter().map(slots).sum();
        pool.service = service;
    }
    snapshot.pools = pools;
}

/// Latency and priority that a route's callers expect; `None` without a latency objective.
fn objective(route: &route::Route) -> Option<overload::Objective> {
    Some(overload::Objective {
        latency: route.objective.latency?,
        priority: route.objective.priority,
    })
}

/// Positions of a service's servers that accept new flows: the ready ones or, if there are none,
/// those whose entries have only just gone missing.
fn open(snapshot: &Snapshot, known: &[&Record], service: &Arc<str>) -> Vec<u32> {
    let with_standing = |standing: Standing| {
        let matches = move |position: &usize| {
            known[*position].server.service == *service
                && snapshot.servers[*position].standing == standing
        };
        (0..known.len())
            .filter(matches)
            .map(|position| position as u32)
    };
    let ready: Vec<u32> = with_standing(Standing::Ready).collect();
    if ready.is_empty() {
        return with_standing(Standing::Missing).collect();
    }
    ready
}
