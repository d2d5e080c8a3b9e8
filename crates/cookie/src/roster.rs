//! Tracks every backend server that may still have flows, and whether it is usable.

pub mod claim;
mod foreign;
mod index;
pub mod lapse;
mod record;
mod service;
mod standing;
mod warming;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use acacia_catalog::{Catalog, route::Config, server};
use acacia_wire::collections::Map;

use crate::{silence::Detector, snapshot::Snapshot};
use foreign::Foreign;
pub use index::Election;
use index::Index;
use record::Record;
use service::{Place, Services};

pub use warming::Warmup;

/// Time limits for servers whose entries are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long an entry may be missing before its server counts as lost and gets no new flows at
    /// all. The default is 2 s: after an outage, the store has the entries back within that time.
    pub missing: Duration,
    /// How long an entry may be missing at most while entries that lapsed together are still coming back;
    /// see [`lapse`]. The default is 30 s: within that time, a store that takes 1,200 writes a second has the
    /// entries of 21,000 servers back.
    pub lapse: Duration,
    /// How long after an outage of the store entries that go missing may have lapsed by it. The default is
    /// 5 s: a server that can't renew its lease loses it after three heartbeats, mostly less than 4 s.
    pub outage: Duration,
    /// How long a draining server may be silent before its flows are reset. The default is 0.5 s. When such a
    /// server stops, it falls silent shortly before its entry is removed, and may still end its flows itself.
    pub draining_silence: Duration,
    /// How long a server that is gone remains known by its cookie: the maximum lifetime of a flow.
    pub known: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            missing: Duration::from_secs(2),
            lapse: Duration::from_secs(30),
            outage: Duration::from_secs(5),
            draining_silence: Duration::from_millis(500),
            known: Duration::from_secs(60),
        }
    }
}

/// The servers known to a balancer, including those that left within the lifetime of a flow.
///
/// It keeps the parts of the last snapshot, and computes anew only what belongs to servers that have
/// changed since. The cost of a snapshot doesn't grow with the number of servers.
#[derive(Debug, Clone, Default)]
pub struct Roster {
    limits: Limits,
    servers: BTreeMap<Arc<str>, Record>,
    config: Option<Arc<Config>>,
    /// The data centres under evacuation.
    evacuated: BTreeSet<Arc<str>>,
    warmup_limits: Warmup,
    revision: u64,
    /// The number of the catalog's last change that was applied.
    edit: u64,
    /// Servers that have restarted since the last call of [`Roster::take_restarted`].
    restarted: Vec<Arc<str>>,
    /// Servers that have gone since the last call of [`Roster::take_departed`].
    departed: Vec<Arc<str>>,
    /// Known servers that announced their departure and left.
    left: BTreeSet<Arc<str>>,
    /// Servers whose part of the snapshot is out of date.
    stale: BTreeSet<Arc<str>>,
    /// When servers next change by the passage of time alone.
    deadlines: BTreeSet<(Duration, Arc<str>)>,
    /// Servers by address.
    addresses: Map<SocketAddrV4, Vec<Arc<str>>>,
    /// The servers that were silent in the last snapshot, and since when.
    silent: Map<Arc<str>, Duration>,
    /// The data centres that can't be reached.
    lost: BTreeSet<Arc<str>>,
    foreign: Foreign,
    index: Index,
    services: Services,
    /// When the store was last known to be out of all balancers' reach.
    last_outage: Option<Duration>,
    /// Lapses that began or ended since the last call of [`Roster::take_lapses`].
    lapses: Vec<lapse::Event>,
    /// Elections since the last call of [`Roster::take_elections`].
    elections: Vec<Election>,
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
        // Whether a service has lapsed depends on what came before, so earlier deadlines are handled first.
        self.pass_deadlines(now);
        self.settle(now);
        self.revision = catalog.revision();
        self.update_config(catalog.config().map(|item| &item.value), now);
        self.update_evacuations(catalog, now);
        for (id, item) in catalog.servers_edited_since(self.edit) {
            match &item.value {
                Some(server) if self.is_foreign(id, server) => {
                    self.overwrite_entry(id, server, item.revision, now);
                }
                Some(server) => self.update_server(id, server, item.revision, now),
                None => self.remove_entry(id, now),
            }
        }
        self.edit = catalog.last_server_edit();
        self.settle(now);
    }

    fn update_config(&mut self, config: Option<&Arc<Config>>, now: Duration) {
        let is_same = match (&self.config, config) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (None, None) => true,
            _ => false,
        };
        if is_same {
            return;
        }
        let warmups = |config: Option<&Arc<Config>>| config.map(|config| config.warmups.clone());
        if warmups(self.config.as_ref()) != warmups(config) {
            self.stale.extend(self.servers.keys().cloned());
        }
        self.config = config.cloned();
        if let Some(config) = config {
            self.services.set_routes(config);
            self.name_services(config, now);
        }
    }

    fn update_evacuations(&mut self, catalog: &Catalog, now: Duration) {
        let evacuations = catalog.evacuations();
        let evacuated = evacuations.map(|(centre, _)| Arc::clone(centre)).collect();
        if self.evacuated == evacuated {
            return;
        }
        let previous = std::mem::replace(&mut self.evacuated, evacuated);
        for centre in &previous - &self.evacuated {
            self.suspect_cold(now, |server| server.data_centre == centre);
        }
        let changed = &previous ^ &self.evacuated;
        let affected = self.servers.iter();
        let affected = affected.filter(|(_, known)| changed.contains(&known.server.data_centre));
        self.stale.extend(affected.map(|(id, _)| Arc::clone(id)));
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
        let created = match server.created {
            0 => revision,
            created => created,
        };
        self.record_return(id, now);
        self.foreign.remove(id);
        self.left.remove(id);
        match self.servers.get_mut(id) {
            Some(known) if Arc::ptr_eq(&known.server, server) => known.restore(),
            Some(known) => {
                if !known.is_continued_by(server) {
                    known.created = created;
                }
                if known.server.started_ms != server.started_ms {
                    self.restarted.push(Arc::clone(id));
                }
                let old = std::mem::replace(&mut known.server, Arc::clone(server));
                known.restore();
                known.warm_at = warm_at;
                self.release_address(id, old.address);
            }
            None => {
                let known = Record::new(server, created, warm_at);
                self.servers.insert(Arc::clone(id), known);
            }
        }
        self.occupy_address(id, server.address);
        self.stale.insert(Arc::clone(id));
    }

    /// Records that a server's entry was removed.
    fn remove_entry(&mut self, id: &Arc<str>, now: Duration) {
        self.foreign.remove(id);
        let Some(known) = self.servers.get_mut(id) else {
            return;
        };
        known.missing.get_or_insert(now);
        if known.has_left() {
            self.left.insert(Arc::clone(id));
            self.departed.push(Arc::clone(id));
        }
        self.stale.insert(Arc::clone(id));
    }

    /// Records that a server has an address. Whoever had it before is affected; see
    /// [`Roster::is_replaced`].
    fn occupy_address(&mut self, id: &Arc<str>, address: SocketAddrV4) {
        let ids = self.addresses.entry(address).or_default();
        self.stale.extend(ids.iter().cloned());
        if !ids.contains(id) {
            ids.push(Arc::clone(id));
        }
    }

    fn release_address(&mut self, id: &Arc<str>, address: SocketAddrV4) {
        let Some(ids) = self.addresses.get_mut(&address) else {
            return;
        };
        ids.retain(|other| other != id);
        self.stale.extend(ids.iter().cloned());
        if ids.is_empty() {
            self.addresses.remove(&address);
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

    /// Returns the servers that have left, or that are no longer known, since the last call.
    pub fn take_departed(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.departed)
    }

    /// Returns the cookies that several servers have and for which something has changed since the last
    /// call.
    pub fn take_elections(&mut self) -> Vec<Election> {
        std::mem::take(&mut self.elections)
    }

    /// When the standing or the warm-up of some server next changes by the passage of time alone, as of
    /// the last snapshot.
    #[must_use]
    pub fn next_change(&self, now: Duration) -> Option<Duration> {
        let mut deadlines = self.deadlines.iter();
        deadlines.find(|(at, _)| *at > now).map(|(at, _)| *at)
    }

    /// Returns the routes and servers for the traffic threads.
    #[must_use]
    pub fn snapshot(&mut self, detector: &Detector, now: Duration) -> Snapshot {
        self.pass_deadlines(now);
        self.mark_silent(detector, now);
        self.settle(now);
        Snapshot {
            version: self.config.as_ref().map_or(0, |config| config.version),
            revision: self.revision,
            routes: self.services.routes(),
            pools: self.services.pools(|service| self.cold_limit(service)),
            servers: self.index.servers(),
            cookies: self.index.cookies(),
            ..Snapshot::default()
        }
    }

    /// Computes the stale parts of the snapshot anew, and which services have lapsed.
    fn settle(&mut self, now: Duration) {
        while !self.stale.is_empty() {
            let stale = std::mem::take(&mut self.stale);
            let mut order: Vec<Arc<str>> = stale.into_iter().collect();
            // Older servers come first, so that the snapshot lists servers in the order of their entries.
            order.sort_by_cached_key(|id| {
                let known = self.servers.get(id);
                known.map(|known| (known.created, Arc::clone(id)))
            });
            for id in order {
                self.refresh(&id, now);
            }
        }
        self.follow_lapses(now);
    }

    /// Marks the servers whose deadlines have passed. A deadline that has moved is only recorded: each entry
    /// that comes back moves those of all other servers that lapsed with it.
    fn pass_deadlines(&mut self, now: Duration) {
        while let Some((at, id)) = self.deadlines.first().cloned()
            && at <= now
        {
            self.deadlines.remove(&(at, Arc::clone(&id)));
            let Some(known) = self.servers.get(&id) else {
                continue;
            };
            let deadline = self.ends(known).filter(|end| *end >= at).min();
            let deadline = deadline.filter(|end| *end > at);
            if let Some(known) = self.servers.get_mut(&id) {
                known.deadline = deadline;
            }
            match deadline {
                Some(end) => drop(self.deadlines.insert((end, id))),
                None => drop(self.stale.insert(id)),
            }
        }
    }

    /// Whether a server has been gone for the lifetime of a flow.
    fn is_forgotten(&self, known: &Record, now: Duration) -> bool {
        let gone = known.missing.map(|at| now.saturating_sub(at));
        gone.is_some_and(|gone| gone >= self.limits.known)
    }

    fn forget(&mut self, id: &Arc<str>) {
        let Some(known) = self.servers.remove(id) else {
            return;
        };
        self.stale.remove(id);
        self.left.remove(id);
        self.silent.remove(id);
        self.foreign.remove(id);
        self.release_address(id, known.server.address);
        self.departed.push(Arc::clone(id));
        if let Some(at) = known.deadline {
            self.deadlines.remove(&(at, Arc::clone(id)));
        }
        if let Some(place) = &known.place {
            self.services.remove(place);
        }
        let Some(position) = known.position else {
            return;
        };
        let moved = self.index.remove(position, &known.cookies, &self.servers);
        for other in moved.shared {
            self.stale.insert(other);
        }
        if let Some(moved) = moved.moved {
            self.move_to(&moved, position);
        }
    }

    /// Records that a server has another index in the snapshot.
    fn move_to(&mut self, id: &Arc<str>, position: u32) {
        if let Some(known) = self.servers.get_mut(id) {
            known.position = Some(position);
            if let Some(place) = &mut known.place {
                self.services.remove(place);
                place.position = position;
                self.services.insert(place);
            }
        }
    }

    /// Sets the data centres that can't be reached. Their servers get no new flows. A sample doesn't show
    /// that all of them are down, so each keeps its flows until it is found silent itself.
    pub fn set_lost(&mut self, lost: BTreeSet<Arc<str>>) {
        if lost == self.lost {
            return;
        }
        let changed = &self.lost ^ &lost;
        let affected = self.servers.iter();
        let affected = affected.filter(|(_, known)| changed.contains(&known.server.data_centre));
        self.stale.extend(affected.map(|(id, _)| Arc::clone(id)));
        self.lost = lost;
    }

    /// Marks the servers that became silent, or answer again, since the last snapshot.
    fn mark_silent(&mut self, detector: &Detector, now: Duration) {
        let silent = detector.silent().into_iter();
        let since = |id: &Arc<str>| self.silent.get(id).copied().unwrap_or(now);
        let silent: Map<Arc<str>, Duration> =
            silent.map(|id| (Arc::clone(&id), since(&id))).collect();
        let began = silent.keys().filter(|id| !self.silent.contains_key(*id));
        let ended = self.silent.keys().filter(|id| !silent.contains_key(*id));
        self.stale.extend(began.chain(ended).cloned());
        self.silent = silent;
    }

    /// Computes a server's part of the snapshot anew.
    fn refresh(&mut self, id: &Arc<str>, now: Duration) {
        let Some(known) = self.servers.get(id) else {
            return;
        };
        if self.is_forgotten(known, now) {
            self.forget(id);
            return;
        }
        let is_expired = self.is_expired(known, now);
        let standing = self.standing(known, is_expired, now);
        let place = self.place(known, standing, now);
        let (deadline, before) = (self.deadline(known, now), known.deadline);
        let position = known.position;
        let has_ended = known.has_left() || known.missing.is_some() && self.is_replaced(known);
        let mut server = self.server(known, standing, now);
        let cookies = known.cookies;
        let position = position.unwrap_or_else(|| self.index.push(server.clone(), &cookies));
        let place = place.map(|place| Place { position, ..place });
        let Some(known) = self.servers.get_mut(id) else {
            return;
        };
        known.position = Some(position);
        known.deadline = deadline;
        known.is_expired = is_expired;
        known.has_ended = has_ended;
        let old = std::mem::replace(&mut known.place, place.clone());
        if old != place {
            old.iter().for_each(|old| self.services.remove(old));
            place.iter().for_each(|place| self.services.insert(place));
        }
        if before != deadline {
            before.map(|at| self.deadlines.remove(&(at, Arc::clone(id))));
            deadline.map(|at| self.deadlines.insert((at, Arc::clone(id))));
        }
        let elections = self.index.elect(&cookies, &self.servers);
        let affected = elections.iter().flat_map(|election| &election.servers);
        self.stale.extend(affected.cloned());
        self.elections.extend(elections);
        server.cookie = self.index.own_cookie(&cookies);
        self.index.set(position, server);
    }

    /// The servers that may be examined: all known servers except those that announced their
    /// departure and have left. The latter remain known by their cookies for a while, and probing
    /// them in that time would be wasted.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<server::Server>> {
        let others = self.servers.values().filter(|known| !known.has_left());
        others.map(|known| &known.server)
    }

    /// The number of [`Roster::servers`].
    #[must_use]
    pub fn count(&self) -> usize {
        self.servers.len() - self.left.len()
    }

    /// Whether a server is known and has not left after announcing its departure.
    pub fn holds(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(|known| !known.has_left())
    }

    /// Whether a server of the service, or a route to it, has been known.
    #[must_use]
    pub fn has_service(&self, name: &str) -> bool {
        self.services.get(name).is_some()
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
}
