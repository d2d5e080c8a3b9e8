use std::{net::SocketAddr, sync::Arc};

use acacia_flow::{
    control::Tables,
    snapshot::{self, Address},
};
use acacia_wire::collections::Map;

use crate::document::{Document, State};

/// Converts a document to the tables that flow resolution uses.
///
/// ```
/// use acacia_tables::{Document, tables};
/// assert_eq!(tables(&Document { version: 7, ..Document::default() }).version, 7);
/// ```
#[must_use]
pub fn tables(document: &Document) -> Tables {
    let service = |service: &crate::Service| {
        let servers = service.servers.iter().map(|server| {
            let state = match server.state {
                State::Up => snapshot::State::Up,
                State::Draining { .. } | State::Gone => snapshot::State::Draining,
            };
            let weight = server.weight;
            (server.number, snapshot::Server { state, weight })
        });
        Arc::new(snapshot::Service {
            address: service.address,
            since: service.since,
            strict: service.strict_until.is_some(),
            base: Arc::clone(&service.base),
            next: Arc::clone(&service.next),
            servers: servers.collect(),
        })
    };
    Tables {
        version: document.version,
        services: document.services.iter().map(service).collect(),
    }
}

/// Maps the server numbers in flow verdicts to the addresses that packets are sent to.
#[derive(Debug, Clone, Default)]
pub struct Lookup {
    servers: Map<(Address, u16), SocketAddr>,
}

impl Lookup {
    /// Builds the map of a document's servers. The control thread does this once per version.
    ///
    /// ```
    /// use acacia_tables::{Document, Lookup};
    /// let lookup = Lookup::new(&Document::default());
    /// let address = acacia_flow::snapshot::Address {
    ///     ip: [10, 77, 0, 1].into(),
    ///     port: 443,
    ///     protocol: acacia_wire::flow::Protocol::Tcp,
    /// };
    /// assert_eq!(lookup.server(&address, 1), None);
    /// ```
    #[must_use]
    pub fn new(document: &Document) -> Self {
        let pairs = document.services.iter().flat_map(|service| {
            let servers = service.servers.iter();
            servers.map(|server| ((service.address, server.number), server.address))
        });
        Lookup {
            servers: pairs.collect(),
        }
    }

    /// Returns the address of the server with a number, at a service's address.
    #[must_use]
    pub fn server(&self, service: &Address, number: u16) -> Option<SocketAddr> {
        self.servers.get(&(*service, number)).copied()
    }
}
