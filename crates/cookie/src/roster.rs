//! Every backend server that may still have flows, and what it is good for.

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
use acacia_load::overload::LatencyObjective;
use acacia_wire::collections::Map;

use crate::{
    cookie::{self, Cookie, VARIANTS},
    silence::Detector,
    snapshot::{Pool, Route, Server, Snapshot, Standing},
};

pub use warming::Warming;

/// The times by which a server whose entry is missing is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long a missing entry may come back before the server is taken as gone. 2 s: within that
    /// time the store has them back after an outage.
    pub missing: Duration,
    /// How long a server that is gone stays known by its cookie: the longest life of a flow.
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

/// Weight of a server that has just started against one that is warm, as its first requests take longer.
const COLD: f64 = 0.6;

#[derive(Debug, Clone)]
struct Known {
    server: Arc<server::Server>,
    /// Position in the order in which balancers came to know servers, the same on all that follow
    /// one store: its revision.
    since: u64,
    /// When its entry went missing.
    missing: Option<Duration>,
    /// Until when it is slow after its start, by its entry.
    warm: Duration,
    /// Until when it may be, as it may have started again without a word.
    suspect: Duration,
    /// All its cookies.
    cookies: [Cookie; VARIANTS as usize],
}

impl Known {
    /// Whether it announced its departure and its entry is gone.
    fn has_left(&self) -> bool {
        self.missing.is_some() && self.server.state == State::Draining
    }
}

/// The servers known to a balancer, those that left within the life of a flow included.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    limits: Limits,
    servers: BTreeMap<Arc<str>, Known>,
    config: Option<Arc<Config>>,
    /// The data centres under evacuation.
    evacuated: BTreeSet<Arc<str>>,
    warming: Warming,
    revision: u64,
    restarted: Vec<Arc<str>>,
}

impl Roster {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Roster {
            limits,
            ..Roster::default()
        }
    }

    /// Takes in what the catalog holds now.
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
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        for centre in &before - &self.evacuated {
            self.suspect_cold(now, |server| server.data_centre == centre);
        }
        for (id, item) in catalog.servers() {
            match &item.value {
                Some(server) => self.take(id, server, item.revision, now),
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

    fn take(&mut self, id: &Arc<str>, server: &Arc<server::Server>, revision: u64, now: Duration) {
        let warm = now + Duration::from_millis(server.warmup_ms.into());
        match self.servers.get_mut(id) {
            Some(known) if Arc::ptr_eq(&known.server, server) => known.missing = None,
            Some(known) => {
                if known.server.started_ms != server.started_ms {
                    self.restarted.push(Arc::clone(id));
                }
                known.server = Arc::clone(server);
                known.missing = None;
                known.warm = warm;
            }
            None => {
                let known = Known {
                    server: Arc::clone(server),
                    since: revision,
                    missing: None,
                    warm,
                    suspect: Duration::ZERO,
                    cookies: std::array::from_fn(|variant| Cookie::of(id, variant as u32)),
                };
                self.servers.insert(Arc::clone(id), known);
            }
        }
    }

    /// The servers that have started again under their names since the last time.
    ///
    /// What was learned of such a server no longer holds: it was silent or slow in its former life,
    /// perhaps on another VM. Without this it would get no flow until a probe finds it, and too few
    /// for as long as its old speed is remembered.
    pub fn take_restarted(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.restarted)
    }

    /// When the standing of some server changes by time alone, if nothing else happens before.
    #[must_use]
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let missing = self.limits.missing;
        let ends = |known: &Known| {
            let back = known.missing.map(|at| at + missing);
            [back, Some(known.warm), Some(known.suspect)]
        };
        self.servers
            .values()
            .flat_map(ends)
            .flatten()
            .filter(|at| *at > now)
            .min()
    }

    /// Routes and servers as traffic threads need them.
    #[must_use]
    pub fn snapshot(&self, detector: &Detector, now: Duration) -> Snapshot {
        let mut snapshot = Snapshot {
            revision: self.revision,
            ..Snapshot::default()
        };
        // Older ones first: they keep the cookies that younger ones turn out to share.
        let mut known: Vec<&Known> = self.servers.values().collect();
        known.sort_by(|one, other| {
            (one.since, &one.server.id).cmp(&(other.since, &other.server.id))
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

    fn server(&self, known: &Known, shared: &[Cookie], now: Duration) -> Server {
        let server = &known.server;
        let mut own = known.cookies.into_iter();
        let alone = own.find(|cookie| shared.binary_search(cookie).is_err());
        let warmth = if known.warm > now { COLD } else { 1.0 };
        Server {
            id: Arc::clone(&server.id),
            hash: cookie::hash(&server.id),
            // With all variants shared, which no fleet will see, the older server gets the flow.
            cookie: alone.unwrap_or(known.cookies[0]),
            tag: server.tag,
            address: server.address,
            service: Arc::clone(&server.service),
            data_centre: Arc::clone(&server.data_centre),
            standing: self.standing(known, now),
            slots: server.slots.max(1),
            idle: None,
            failing: false,
            weight: f64::from(server.slots.max(1)) * warmth,
        }
    }

    /// Whether another server has its address: it lives no more, and nothing that is sent there for
    /// it is answered.
    fn is_replaced(&self, known: &Known) -> bool {
        let address = known.server.address;
        self.servers.values().any(|other| {
            other.missing.is_none()
                && other.server.address == address
                && other.server.id != known.server.id
        })
    }

    /// The servers of which it may be in question whether they live: all that are known but for
    /// those that announced their departure and have left. Probes of the latter, for as long as they
    /// are known by their cookies, would cost and tell nothing.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<server::Server>> {
        let others = self.servers.values().filter(|known| !known.has_left());
        others.map(|known| &known.server)
    }

    /// Whether a server is known and has not left in order.
    pub fn holds(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|known| !known.has_left())
    }

    /// A server that is known by its name.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Arc<server::Server>> {
        self.servers.get(id).map(|known| &known.server)
    }

    /// The servers whose entries stand.
    pub fn present(&self) -> impl Iterator<Item = &Arc<server::Server>> {
        let present = self
            .servers
            .values()
            .filter(|known| known.missing.is_none());
        present.map(|known| &known.server)
    }

    fn standing(&self, known: &Known, now: Duration) -> Standing {
        let draining = known.server.state == State::Draining;
        let evacuated = self.evacuated.contains(&known.server.data_centre);
        let is_back_soon = |at: Duration| now.saturating_sub(at) < self.limits.missing;
        match known.missing {
            None if draining => Standing::Draining,
            None if evacuated => Standing::Evacuated,
            None => Standing::Ready,
            Some(_) if draining => Standing::Gone,
            Some(_) if self.is_replaced(known) => Standing::Gone,
            Some(at) if is_back_soon(at) && evacuated => Standing::Evacuated,
            Some(at) if is_back_soon(at) => Standing::Missing,
            Some(_) => Standing::Lost,
        }
    }
}

/// Cookies that two servers have, in order.
fn shared_cookies(known: &[&Known]) -> Vec<Cookie> {
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

fn fill_routes(snapshot: &mut Snapshot, config: &Config, known: &[&Known]) {
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
        let demand = demand(route);
        let seen = Route {
            name,
            pools,
            demand,
        };
        snapshot.routes.insert(route.front, seen);
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

/// What a route's callers expect.
fn demand(route: &route::Route) -> Option<LatencyObjective> {
    Some(LatencyObjective {
        latency: route.objective.latency?,
        priority: route.objective.priority,
    })
}

/// The servers of a service that take new flows: the ready ones, or where there is none, those whose
/// entries have just gone missing.
fn open(snapshot: &Snapshot, known: &[&Known], service: &Arc<str>) -> Vec<u32> {
    let with = |standing: Standing| {
        let fits = move |position: &usize| {
            known[*position].server.service == *service
                && snapshot.servers[*position].standing == standing
        };
        (0..known.len())
            .filter(fits)
            .map(|position| position as u32)
    };
    let ready: Vec<u32> = with(Standing::Ready).collect();
    if ready.is_empty() {
        return with(Standing::Missing).collect();
    }
    ready
}
