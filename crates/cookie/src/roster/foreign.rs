//! Entries that describe no server of a configured service.
//!
//! Another writer may overwrite a server's entry, with bytes that can't be read or with a service that no
//! configuration has named. Such an entry tells nothing of the server, which writes its own again with its next
//! heartbeat. Until then what was known holds: the server keeps its address and its flows. It counts as missing,
//! so it gets new flows only if no other server is ready.
//!
//! An entry may arrive before the configuration that names its service, so readable ones are kept until then.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use acacia_catalog::{
    route::Config,
    server::{Server, State},
};

use super::Roster;

/// The services that configurations have named, and entries of others at servers' keys.
#[derive(Debug, Clone, Default)]
pub(super) struct Foreign {
    /// `None` before the first configuration, when any service may be named.
    named: Option<BTreeSet<Arc<str>>>,
    /// Readable entries, with their revisions.
    entries: BTreeMap<Arc<str>, (Arc<Server>, u64)>,
    /// Servers whose entries were overwritten since the last call of [`Roster::take_overwritten`].
    overwritten: Vec<Arc<str>>,
}

impl Foreign {
    fn is_named(&self, service: &str) -> bool {
        let named = self.named.as_ref();
        named.is_none_or(|named| named.contains(service))
    }

    pub(super) fn remove(&mut self, id: &str) {
        self.entries.remove(id);
    }
}

impl Roster {
    /// Returns the servers whose entries have been overwritten by a foreign one since the last call.
    pub fn take_overwritten(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.foreign.overwritten)
    }

    /// Whether a configuration has named a service, as far as is known here. Servers of others get no flows.
    #[must_use]
    pub fn is_named(&self, service: &str) -> bool {
        self.foreign.is_named(service)
    }

    /// Whether an entry can't be of the server at whose key it stands.
    pub(super) fn is_foreign(&self, id: &str, entry: &Server) -> bool {
        let moves = || {
            let known = self.servers.get(id);
            known.is_some_and(|known| {
                known.server.service != entry.service && self.is_named(&known.server.service)
            })
        };
        entry.state == State::Unknown || !self.is_named(&entry.service) && moves()
    }

    /// Records that an entry which describes no server stands at a server's key.
    pub(super) fn overwrite_entry(
        &mut self,
        id: &Arc<str>,
        entry: &Arc<Server>,
        revision: u64,
        now: Duration,
    ) {
        let Some(known) = self.servers.get_mut(id) else {
            return;
        };
        self.foreign.remove(id);
        if entry.state != State::Unknown {
            let entry = (Arc::clone(entry), revision);
            self.foreign.entries.insert(Arc::clone(id), entry);
        }
        if known.missing.is_none() {
            known.missing = Some(now);
            known.is_overwritten = true;
            self.stale.insert(Arc::clone(id));
            self.foreign.overwritten.push(Arc::clone(id));
        }
    }

    /// Records the services that a configuration names, and uses their entries from now on. Services of earlier
    /// configurations stay named, as their servers may still have flows.
    pub(super) fn name_services(&mut self, config: &Config, now: Duration) {
        let targets = config.routes.iter().flat_map(|route| &route.targets);
        let services = targets.map(|target| Arc::clone(&target.service));
        self.foreign.named.get_or_insert_default().extend(services);
        let foreign = &self.foreign;
        let entries = foreign.entries.iter();
        let found = entries.filter(|(_, (entry, _))| foreign.is_named(&entry.service));
        let found: Vec<Arc<str>> = found.map(|(id, _)| Arc::clone(id)).collect();
        for id in found {
            if let Some((entry, revision)) = self.foreign.entries.remove(&id) {
                self.update_server(&id, &entry, revision, now);
            }
        }
    }
}
