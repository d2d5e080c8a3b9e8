//! The servers that take new flows, by service, and the routes that lead to them.

use std::sync::Arc;

use acacia_catalog::route::{self, Config, Front};
use acacia_load::overload;
use acacia_wire::collections::Map;

use super::lapse::{Lapse, Load};
use crate::{
    cold,
    ring::Rings,
    snapshot::{Pool, Route},
};

/// Where a server stands among the servers of its service.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Place {
    pub(super) service: Arc<str>,
    pub(super) data_centre: Arc<str>,
    pub(super) hash: u64,
    /// Its index in the snapshot.
    pub(super) position: u32,
    pub(super) slots: u16,
    /// Whether its entry exists.
    pub(super) is_ready: bool,
    /// Whether new flows to it are limited, as it has just started.
    pub(super) is_cold: bool,
}

/// Servers of one service that take new flows: those whose entries exist, or all, including those whose
/// entries have only just gone missing.
#[derive(Debug, Clone, Default)]
struct Class {
    warm: Rings,
    cold: Rings,
    slots: u32,
    /// Slots of the warm servers by data centre.
    warm_slots: Slots,
}

impl Class {
    fn is_empty(&self) -> bool {
        self.warm.is_empty() && self.cold.is_empty()
    }

    fn warm_slots_of(&mut self, data_centre: &Arc<str>) -> &mut u32 {
        let found = self.warm_slots.iter();
        let found = found
            .map(|(name, _)| name)
            .position(|name| name == data_centre);
        let place = found.unwrap_or_else(|| {
            self.warm_slots.push((Arc::clone(data_centre), 0));
            self.warm_slots.len() - 1
        });
        &mut self.warm_slots[place].1
    }

    fn insert(&mut self, place: &Place) {
        self.slots += u32::from(place.slots);
        if !place.is_cold {
            *self.warm_slots_of(&place.data_centre) += u32::from(place.slots);
        }
        let rings = self.rings(place);
        rings.insert(&place.data_centre, place.hash, place.position);
    }

    fn remove(&mut self, place: &Place) {
        self.slots = self.slots.saturating_sub(u32::from(place.slots));
        if !place.is_cold {
            let slots = self.warm_slots_of(&place.data_centre);
            *slots = slots.saturating_sub(u32::from(place.slots));
        }
        let rings = self.rings(place);
        rings.remove(&place.data_centre, place.hash, place.position);
    }

    fn load(&self) -> Load {
        Load {
            servers: self.warm.len() + self.cold.len(),
            slots: self.slots,
        }
    }

    fn rings(&mut self, place: &Place) -> &mut Rings {
        if place.is_cold {
            &mut self.cold
        } else {
            &mut self.warm
        }
    }
}

#[derive(Debug, Clone, Default)]
pub(super) struct Service {
    pub(super) name: Arc<str>,
    pub(super) lapse: Option<Lapse>,
    ready: Class,
    all: Class,
}

impl Service {
    /// The classes that a server belongs to.
    fn classes(&mut self, place: &Place) -> impl Iterator<Item = &mut Class> {
        let ready = place.is_ready.then_some(&mut self.ready);
        ready.into_iter().chain([&mut self.all])
    }

    /// The servers whose entries exist.
    pub(super) fn ready(&self) -> Load {
        self.ready.load()
    }

    /// The servers whose entries have only just gone missing.
    pub(super) fn missing(&self) -> Load {
        self.all.load() - self.ready.load()
    }

    /// The ready servers or, if there are none or the service has lapsed, also those whose entries have
    /// only just gone missing.
    fn pool(&self, cold_limit: Option<cold::Limit>) -> Pool {
        let lapsed = self.lapse.is_some();
        let class = match lapsed || self.ready.is_empty() {
            true => &self.all,
            false => &self.ready,
        };
        Pool {
            service: Arc::clone(&self.name),
            open: class.warm.clone(),
            cold: class.cold.clone(),
            slots: class.slots,
            open_slots: class.warm_slots.clone(),
            idle: None,
            cold_limit,
            lapsed,
        }
    }
}

/// Numbers of slots by data centre.
type Slots = Vec<(Arc<str>, u32)>;

/// All services, in the order in which they became known, and the routes.
#[derive(Debug, Clone, Default)]
pub(super) struct Services {
    services: Vec<Service>,
    positions: Map<Arc<str>, u32>,
    routes: Arc<Map<Front, Route>>,
}

impl Services {
    /// Adds a server.
    pub(super) fn insert(&mut self, place: &Place) {
        let position = self.position(&place.service);
        let service = &mut self.services[position as usize];
        service.classes(place).for_each(|class| class.insert(place));
    }

    /// Removes a server that was added at the same place.
    pub(super) fn remove(&mut self, place: &Place) {
        let position = self.position(&place.service);
        let service = &mut self.services[position as usize];
        service.classes(place).for_each(|class| class.remove(place));
    }

    /// A service that has had servers or is the target of a route.
    pub(super) fn get(&self, service: &str) -> Option<&Service> {
        let position = *self.positions.get(service)?;
        self.services.get(position as usize)
    }

    /// Like [`Services::get`].
    pub(super) fn get_mut(&mut self, service: &str) -> Option<&mut Service> {
        let position = *self.positions.get(service)?;
        self.services.get_mut(position as usize)
    }

    /// All services.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Service> {
        self.services.iter()
    }

    /// Like [`Services::iter`].
    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Service> {
        self.services.iter_mut()
    }

    /// The index of a service's pool.
    fn position(&mut self, service: &Arc<str>) -> u32 {
        if let Some(position) = self.positions.get(service) {
            return *position;
        }
        let position = self.services.len() as u32;
        self.services.push(Service {
            name: Arc::clone(service),
            ..Service::default()
        });
        self.positions.insert(Arc::clone(service), position);
        position
    }

    /// Replaces the routes.
    pub(super) fn set_routes(&mut self, config: &Config) {
        let mut routes: Map<Front, Route> = Map::default();
        for route in &config.routes {
            let targets = route.targets.iter();
            let pools = targets.map(|target| (self.position(&target.service), target.weight));
            let entry = Route {
                name: Arc::clone(&route.name),
                pools: pools.collect(),
                objective: objective(route),
            };
            routes.insert(route.front, entry);
        }
        self.routes = Arc::new(routes);
    }

    /// The routes; shares their memory.
    pub(super) fn routes(&self) -> Arc<Map<Front, Route>> {
        Arc::clone(&self.routes)
    }

    /// The pools of all services; `cold_limit` gives the limit on new flows to a cold server of a service.
    pub(super) fn pools(&self, cold_limit: impl Fn(&str) -> Option<cold::Limit>) -> Vec<Pool> {
        let services = self.services.iter();
        let pools = services.map(|service| service.pool(cold_limit(&service.name)));
        pools.collect()
    }
}

/// Latency and priority that a route's callers expect; `None` without a latency objective.
fn objective(route: &route::Route) -> Option<overload::Objective> {
    Some(overload::Objective {
        latency: route.objective.latency?,
        priority: route.objective.priority,
    })
}
