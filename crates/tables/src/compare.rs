//! Differences between the tables and a configuration: what the tables can't serve, and which
//! servers they should no longer use.

use std::sync::Arc;

use acacia_code::Code;
use acacia_config::Config;
use acacia_flow::snapshot::Address;
use acacia_wire::collections::Set;

use crate::{
    document::{Document, Service, State},
    update::address,
};

/// A part of a configuration that the tables don't serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unserved {
    /// The service's name.
    pub service: Arc<str>,
    /// The server's name; `None` if the whole service is not served.
    pub server: Option<Arc<str>>,
    /// The reason.
    pub code: Code,
}

/// Lists the parts of a configuration that the tables permanently leave out: services at addresses
/// that can't be served, and servers for which no number is left. The rest of the configuration is
/// in force regardless. Meant to be logged when the tables change.
///
/// ```
/// use acacia_config::{Config, Service};
/// use acacia_tables::{Document, unserved};
/// let mut config = Config::default();
/// config.add_service(Service::new("live", std::net::Ipv6Addr::LOCALHOST, 443, 70));
/// let left = unserved(&Document::default(), &config);
/// assert_eq!(left[0].code, acacia_code::Code::TablesFamily);
/// ```
#[must_use]
pub fn unserved(document: &Document, config: &Config) -> Vec<Unserved> {
    let mut found = Vec::new();
    for service in config.services() {
        let Some(address) = address(service) else {
            found.push(Unserved {
                service: Arc::clone(&service.name),
                server: None,
                code: Code::TablesFamily,
            });
            continue;
        };
        let has_no_numbers = |service: &&Service| service.next_number > u32::from(u16::MAX);
        let Some(full) = document.service(&address).filter(has_no_numbers) else {
            continue;
        };
        let listed = |server: &acacia_config::Server| {
            let mut servers = full.servers.iter();
            servers.any(|listed| listed.address == server.address)
        };
        let missing = config.servers_of(&service.name).iter();
        found.extend(
            missing
                .filter(|server| !listed(server))
                .map(|server| Unserved {
                    service: Arc::clone(&service.name),
                    server: Some(Arc::clone(&server.name)),
                    code: Code::TablesNumbersUsed,
                }),
        );
    }
    found
}

/// Lists the servers, by service address and number, to which the tables send new flows although
/// a later configuration does not.
///
/// While the store can't be written, no balancer can store the tables for a configuration that was
/// accepted before, and a server being drained would still get new flows. Each balancer that has
/// the configuration can keep new flows away from these servers on its own
/// ([`acacia_flow::Control::set_down`]), as that moves no bucket's base.
///
/// ```
/// use acacia_tables::{Document, withdrawn_servers};
/// assert_eq!(withdrawn_servers(&Document::default(), &acacia_config::Config::default()), []);
/// ```
#[must_use]
pub fn withdrawn_servers(document: &Document, config: &Config) -> Vec<(Address, u16)> {
    let active = config.servers().iter().filter(|server| server.is_active());
    let service_address =
        |server: &acacia_config::Server| address(config.service(&server.service)?);
    let active: Set<_> = active
        .map(|server| (service_address(server), server.address))
        .collect();
    let services = document.services.iter();
    services
        .flat_map(|service| {
            service
                .servers
                .iter()
                .map(|server| (service.address, server))
        })
        .filter(|(_, server)| server.state == State::Up)
        .filter(|(address, server)| !active.contains(&(Some(*address), server.address)))
        .map(|(address, server)| (address, server.number))
        .collect()
}
