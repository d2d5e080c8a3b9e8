//! Beginnings and ends of spillover, for the log.

use std::{sync::Arc, time::Duration};

use acacia_wire::collections::Map;

/// Minimum interval between two events of a service. Demand close to the limit would otherwise cause
/// several per second.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// A service's new flows begin or cease to go to other data centres because the callers of the own one ask
/// for more than its servers can process.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// The service.
    pub service: Arc<str>,
    /// The fraction of its new flows that goes to other data centres; 0 if none does any more.
    pub share: f64,
}

/// The last event of a service.
#[derive(Debug)]
struct Last {
    at: Duration,
    spills: bool,
}

/// Spillover by service, as reported so far.
#[derive(Debug, Default)]
pub(super) struct Tracker {
    /// Services that have spilled.
    services: Map<Arc<str>, Last>,
    events: Vec<Event>,
}

impl Tracker {
    /// Records the present share of a service. A change within [`MIN_INTERVAL`] of the last event is
    /// reported afterwards, if it still holds then.
    pub(super) fn record(&mut self, service: &Arc<str>, share: f64, now: Duration) {
        let spills = share > 0.0;
        let is_due = match self.services.get(service) {
            Some(last) => spills != last.spills && now >= last.at + MIN_INTERVAL,
            None => spills,
        };
        if !is_due {
            return;
        }
        let last = Last { at: now, spills };
        self.services.insert(Arc::clone(service), last);
        self.events.push(Event {
            service: Arc::clone(service),
            share,
        });
    }

    /// Takes the events since the last call.
    pub(super) fn take(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Removes what is known of other services.
    pub(super) fn retain(&mut self, is_service: impl Fn(&Arc<str>) -> bool) {
        self.services.retain(|name, _| is_service(name));
    }
}
