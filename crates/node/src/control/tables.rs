//! Bucket tables straight from a configuration.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use acacia_config::{Config, Protocol as ConfigProtocol};
use acacia_flow::{
    control::Tables,
    snapshot::{Address, Server, Service, State},
    table,
};
use acacia_wire::{collections::Map, flow::Protocol};

/// Buckets of each service.
const BUCKETS: usize = 4096;

/// Where each backend server takes encapsulated packets.
pub type Servers = Map<(Address, u16), SocketAddrV4>;

/// Tables for `config`, with as little change against `previous` as possible.
#[must_use]
pub fn build(version: u64, config: &Config, previous: &Tables) -> (Tables, Servers) {
    let mut servers = Servers::default();
    let mut services = Vec::new();
    for service in config.services() {
        let SocketAddr::V4(front) = SocketAddr::new(service.address, service.port) else {
            continue;
        };
        let protocol = match service.protocol {
            ConfigProtocol::Tcp => Protocol::Tcp,
            ConfigProtocol::Udp => Protocol::Udp,
        };
        let address = Address {
            ip: *front.ip(),
            port: front.port(),
            protocol,
        };
        let before = previous
            .services
            .iter()
            .find(|before| before.address == address);
        let mut weights = Vec::new();
        let mut states = Map::default();
        for (number, server) in (0..).zip(config.servers()) {
            let SocketAddr::V4(at) = server.address else {
                continue;
            };
            if server.service != service.name {
                continue;
            }
            let active = server.is_active();
            let state = if active { State::Up } else { State::Draining };
            states.insert(number, Server { state, weight: 1 });
            servers.insert((address, number), at);
            if active {
                weights.push((number, 1));
            }
        }
        let old = before.map_or(&[][..], |before| &before.next[..]);
        let next: Arc<[u16]> = table::build(BUCKETS, &weights, old).into();
        let base = before.map_or_else(|| Arc::clone(&next), |before| Arc::clone(&before.base));
        services.push(Arc::new(Service {
            address,
            since: before.map_or(version, |before| before.since),
            strict: false,
            base,
            next,
            servers: states,
        }));
    }
    (Tables { version, services }, servers)
}
