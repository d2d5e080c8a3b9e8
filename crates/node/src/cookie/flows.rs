//! Counts of new flows by service, for the metrics.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64};

use acacia_catalog::route::Front;
use acacia_code::Code;
use acacia_cookie::{
    Refusal, Selection, Snapshot,
    snapshot::{Server, Standing},
};
use acacia_wire::{collections::Map, flow::Key};
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter as Metric, family::Family},
    registry::Registry,
};

/// Label of a count by service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: Arc<str>,
}

/// Labels of a count of refused flows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusedLabels {
    service: Arc<str>,
    reason: &'static str,
}

/// Labels of a count by service and data centre.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CentreLabels {
    service: Arc<str>,
    data_centre: Arc<str>,
}

/// A counter that is filled at each scrape.
type Counter<L> = Family<L, Metric<u64, AtomicU64>>;

/// Counts of one service.
#[derive(Debug, Default)]
struct Counts {
    refused: Map<Code, u64>,
    refused_with_room: u64,
    /// By data centre of the server.
    spilled: Map<Arc<str>, u64>,
    without_entry: u64,
}

/// Counts of new flows by service. They are kept for the services of the latest snapshot only, so that
/// their number is bounded.
///
/// An ordinary new flow is not counted, and takes no lock.
#[derive(Debug, Default)]
pub struct Flows {
    services: Mutex<Map<Arc<str>, Counts>>,
}

impl Flows {
    fn services(&self) -> MutexGuard<'_, Map<Arc<str>, Counts>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, service: &Arc<str>, count: impl FnOnce(&mut Counts)) {
        if let Some(counts) = self.services().get_mut(service) {
            count(counts);
        }
    }

    /// Begins counts for the snapshot's services, and drops those of other services.
    pub fn set_services(&self, snapshot: &Snapshot) {
        let mut services = self.services();
        services.retain(|name, _| snapshot.pool(name).is_some());
        for pool in &snapshot.pools {
            if !services.contains_key(&pool.service) {
                services.insert(Arc::clone(&pool.service), Counts::default());
            }
        }
    }

    /// Counts a forwarded SYN.
    #[inline]
    pub fn record_opening(&self, server: &Server, selection: Selection) {
        let spilled = selection == Selection::Spilled;
        let without_entry = selection != Selection::Known && server.standing == Standing::Missing;
        if spilled || without_entry {
            self.record_unusual(server, spilled, without_entry);
        }
    }

    #[cold]
    fn record_unusual(&self, server: &Server, spilled: bool, without_entry: bool) {
        self.count(&server.service, |counts| {
            counts.without_entry += u64::from(without_entry);
            if spilled {
                let centre = Arc::clone(&server.data_centre);
                *counts.spilled.entry(centre).or_default() += 1;
            }
        });
    }

    /// Counts a new flow that was refused under load.
    pub fn record_refusal(&self, refusal: &Refusal, snapshot: &Snapshot) {
        let server = &snapshot.servers[refusal.server as usize];
        self.count(&server.service, |counts| {
            *counts.refused.entry(refusal.code).or_default() += 1;
            counts.refused_with_room += u64::from(refusal.had_room());
        });
    }

    /// Counts a new flow that was reset because no server can take it. It counts for the service that its
    /// route selects or, if no service of the route takes new flows, for the first one.
    pub fn record_reset(&self, key: &Key, code: Code, snapshot: &Snapshot) {
        let front = Front {
            address: key.service,
            port: key.service_port,
        };
        let Some(route) = snapshot.routes.get(&front) else {
            return;
        };
        let first = || Some(&snapshot.pools[route.pools.first()?.0 as usize]);
        if let Some(pool) = snapshot.target(route, key.hash()).or_else(first) {
            self.count(&pool.service, |counts| {
                *counts.refused.entry(code).or_default() += 1;
            });
        }
    }

    /// Registers the counts as metrics.
    pub(super) fn register(&self, registry: &mut Registry) {
        let refused = Counter::<RefusedLabels>::default();
        let with_room = Counter::<ServiceLabels>::default();
        let spilled = Counter::<CentreLabels>::default();
        let without_entry = Counter::<ServiceLabels>::default();
        for (service, counts) in self.services().iter() {
            let labels = ServiceLabels {
                service: Arc::clone(service),
            };
            // Also 0 is shown, since a monitoring system sees no increase in a count that appears as 1.
            with_room
                .get_or_create(&labels)
                .inc_by(counts.refused_with_room);
            without_entry
                .get_or_create(&labels)
                .inc_by(counts.without_entry);
            for (code, count) in &counts.refused {
                let labels = RefusedLabels {
                    service: Arc::clone(service),
                    reason: code.label(),
                };
                refused.get_or_create(&labels).inc_by(*count);
            }
            for (data_centre, count) in &counts.spilled {
                let labels = CentreLabels {
                    service: Arc::clone(service),
                    data_centre: Arc::clone(data_centre),
                };
                spilled.get_or_create(&labels).inc_by(*count);
            }
        }
        registry.register("flows_refused", "Refused new flows", refused);
        registry.register(
            "flows_refused_with_room",
            "New flows refused while their service's demand was below 0.8 of its capacity",
            with_room,
        );
        registry.register(
            "flows_spilled",
            "New flows sent to another data centre for lack of capacity in the own one",
            spilled,
        );
        registry.register(
            "flows_without_entry",
            "New flows sent to servers whose entries are missing from the store",
            without_entry,
        );
    }
}
