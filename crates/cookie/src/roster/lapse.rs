//! Leases of servers that lapse together.
//!
//! A store that comes back from an outage may have lost all leases, and the servers register again over
//! seconds. If the servers without entries got no new flows as soon as the first entry is back, a few servers
//! would get the flows of all. Once more slots of a service belong to servers whose entries went missing than
//! to servers with entries, new flows therefore go to both, until no server is left that is missing.
//!
//! That holds only for entries that went missing with an outage: the store was out of reach shortly before, or half of
//! all servers lost their entries at one moment, those of several services. A store that answers and
//! removes entries otherwise has lost these servers, however many of a service they are.

use std::{collections::BTreeSet, ops::Sub, sync::Arc, time::Duration};

use super::{Record, Roster, service::Service};

/// Time within which entries that a store loses at one moment are known to be missing.
const MOMENT: Duration = Duration::from_secs(1);

/// The beginning or the end of a service's lapse, with numbers of servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Most leases have lapsed.
    Lapsed {
        /// The service.
        service: Arc<str>,
        /// Servers whose entries have only just gone missing.
        missing: usize,
        /// Servers that take new flows and have entries.
        ready: usize,
    },
    /// No server is missing any more.
    Restored {
        /// The service.
        service: Arc<str>,
        /// Servers that take new flows and have entries.
        ready: usize,
        /// Servers whose entries have not come back.
        lost: usize,
    },
}

/// A lapse that goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Lapse {
    began: Duration,
    /// When one of its entries last came back.
    returned: Option<Duration>,
}

/// Servers that take new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Load {
    pub(super) servers: usize,
    pub(super) slots: u32,
}

impl Sub for Load {
    type Output = Load;

    fn sub(self, other: Load) -> Load {
        Load {
            servers: self.servers.saturating_sub(other.servers),
            slots: self.slots.saturating_sub(other.slots),
        }
    }
}

/// Whether a service has lapsed. A single server is no lapse, however many slots it has: it has most likely
/// crashed.
fn has_lapsed(missing: Load, ready: Load) -> bool {
    missing.servers > 1 && missing.slots > ready.slots
}

impl Roster {
    /// Returns the lapses that began or ended since the last call.
    pub fn take_lapses(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.lapses)
    }

    /// Records which services have lapsed, and which have no missing server any more.
    pub(super) fn follow_lapses(&mut self, now: Duration) {
        let mut ended = Vec::new();
        let is_new = |service: &Service| {
            service.lapse.is_none() && has_lapsed(service.missing(), service.ready())
        };
        // Counts all servers, but only while a service may have lapsed.
        let may_begin = self.services.iter().any(is_new) && self.is_outage_likely(now);
        for service in self.services.iter_mut() {
            let (missing, ready) = (service.missing(), service.ready());
            match service.lapse {
                None if may_begin && has_lapsed(missing, ready) => {
                    service.lapse = Some(Lapse {
                        began: now,
                        returned: None,
                    });
                    self.lapses.push(Event::Lapsed {
                        service: Arc::clone(&service.name),
                        missing: missing.servers,
                        ready: ready.servers,
                    });
                }
                Some(lapse) if missing.servers == 0 => {
                    service.lapse = None;
                    ended.push((Arc::clone(&service.name), lapse, ready.servers));
                }
                _ => {}
            }
        }
        for (service, lapse, ready) in ended {
            // Visits all servers, but only once a lapse.
            let known = self.servers.values();
            let known = known.filter(|known| known.server.service == service);
            let lost = known.filter(|known| self.belongs(known, &lapse)).count();
            self.lapses.push(Event::Restored {
                service,
                ready,
                lost,
            });
        }
    }

    /// Sets when the store was last known to be out of all balancers' reach.
    pub fn set_last_outage(&mut self, at: Option<Duration>) {
        self.last_outage = at;
    }

    /// Whether entries that have just gone missing may have lapsed in an outage of the store.
    fn is_outage_likely(&self, now: Duration) -> bool {
        let outage = self.last_outage;
        outage.is_some_and(|at| now <= at + self.limits.outage) || self.lost_entries_at_once(now)
    }

    /// Whether half of the servers lost their entries a moment ago, and of several services.
    fn lost_entries_at_once(&self, now: Duration) -> bool {
        let (mut lost, mut present) = (0, 0);
        let mut services = BTreeSet::new();
        for known in self.servers.values() {
            match known.missing {
                None => present += 1,
                Some(at) if !known.has_left() && now <= at + MOMENT => {
                    lost += 1;
                    services.insert(&known.server.service);
                }
                Some(_) => {}
            }
        }
        services.len() > 1 && lost >= present
    }

    /// Whether a server's entry is missing since a lapse.
    fn belongs(&self, known: &Record, lapse: &Lapse) -> bool {
        let is_recent = |at: Duration| at + self.limits.missing > lapse.began;
        known.missing.is_some_and(is_recent) && !known.has_left()
    }

    /// Records that an entry exists. If it was missing since a lapse, others may come back as well.
    pub(super) fn record_return(&mut self, id: &str, now: Duration) {
        let Some(known) = self.servers.get(id) else {
            return;
        };
        let service = self.services.get(&known.server.service);
        let Some(lapse) = service.and_then(|service| service.lapse) else {
            return;
        };
        if !self.belongs(known, &lapse) {
            return;
        }
        if let Some(service) = self.services.get_mut(&known.server.service) {
            service.lapse = Some(Lapse {
                returned: Some(now),
                ..lapse
            });
        }
    }

    /// Whether a server's entry is no longer expected back at `now`.
    pub(super) fn is_expired(&self, known: &Record, now: Duration) -> bool {
        let is_past = |missing: Duration| self.expiry(known, missing) <= now;
        known.is_expired || known.missing.is_some_and(is_past)
    }

    /// Until when a server takes new flows at most whose entry went missing at `missing`.
    pub(super) fn expiry(&self, known: &Record, missing: Duration) -> Duration {
        let alone = missing + self.limits.missing;
        if self.evacuated.contains(&known.server.data_centre) {
            return alone;
        }
        let service = self.services.get(&known.server.service);
        let lapse = service.and_then(|service| service.lapse);
        let returned = lapse.and_then(|lapse| lapse.returned);
        returned.map_or(alone, |at| {
            let last = missing + self.limits.lapse;
            alone.max((at + self.limits.missing).min(last))
        })
    }
}
