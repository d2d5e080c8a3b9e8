use std::net::SocketAddr;

use acacia_config::{
    Config, Server, Service, State,
    document::{self, Draft, Id},
};
use acacia_flow::snapshot::Address;
use acacia_tables::{Document, Situation, follow};
use acacia_wire::flow::Protocol;

/// Where packets for the server on a host go.
pub fn host(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, host], 6080))
}

/// Where callers reach the service at a place.
pub fn front(place: u8) -> Address {
    Address {
        ip: [10, 77, 0, place].into(),
        port: 443,
        protocol: Protocol::Tcp,
    }
}

pub fn add_service(config: &mut Config, name: &str, place: u8) {
    config.add_service(Service::new(name, [10, 77, 0, place], 443, 20));
}

/// Adds a server named after its host.
pub fn add_server(config: &mut Config, service: &str, at: u8) {
    let name = format!("server-{at}");
    config.add_server(Server::new(&name, service, host(at), "hervanta"));
}

/// The service `live` with servers on hosts 1 to `servers`.
pub fn live(servers: u8) -> Config {
    let mut config = Config::default();
    add_service(&mut config, "live", 1);
    (1..=servers).for_each(|at| add_server(&mut config, "live", at));
    config
}

/// A configuration without the server on a host.
pub fn without(config: &Config, at: u8) -> Config {
    let mut less = Config::default();
    let services = config.services().iter().cloned();
    services.for_each(|service| _ = less.add_service(service));
    let servers = config.servers().iter();
    let servers = servers.filter(|server| server.address != host(at)).cloned();
    servers.for_each(|server| _ = less.add_server(server));
    less
}

/// A configuration in which the server on a host is drained.
pub fn draining(config: &Config, at: u8, deadline: Option<u64>) -> Config {
    let mut config = config.clone();
    let name = format!("server-{at}");
    assert!(config.update_server(&name, |server| server.state = State::Drain { deadline }));
    config
}

/// The store's configuration as operators change it.
#[derive(Default)]
pub struct Operator {
    pub accepted: Option<document::Document>,
}

impl Operator {
    pub fn apply(&mut self, config: &Config) -> document::Document {
        let before = self.accepted.as_ref();
        let draft = Draft {
            change: Id::new(before.map_or(1, |before| before.revision.into())),
            author: "aino".into(),
            time: 0,
            config: config.clone(),
            in_force: None,
        };
        let accepted = document::Document::follow(before, &draft).expect("a configuration");
        self.accepted = Some(accepted.clone());
        accepted
    }
}

/// Tables that follow an operator's changes, by one writer.
#[derive(Default)]
pub struct Chain {
    pub operator: Operator,
    pub document: Option<Document>,
    /// The version that every balancer has.
    pub known: u64,
    pub now: u64,
}

impl Chain {
    /// Tables of a first configuration, which every balancer has.
    pub fn new(config: &Config) -> Self {
        let mut chain = Chain::default();
        chain.apply(config);
        chain.spread();
        chain
    }

    pub fn tables(&self) -> &Document {
        self.document.as_ref().expect("tables")
    }

    /// Makes the next tables; gives whether there are any.
    pub fn step(&mut self) -> bool {
        self.step_weighed(&|_, _| None)
    }

    pub fn step_weighed(&mut self, weight: &dyn Fn(&str, &str) -> Option<u32>) -> bool {
        let known = self.known;
        let situation = Situation {
            now: self.now,
            is_known: &|version| version <= known,
            weight,
        };
        let accepted = self.operator.accepted.as_ref().expect("a configuration");
        let next = follow(self.document.as_ref(), accepted, &situation).expect("tables");
        let is_new = next.is_some();
        self.document = next.or(self.document.take());
        is_new
    }

    pub fn apply(&mut self, config: &Config) -> bool {
        self.operator.apply(config);
        self.step()
    }

    /// Every balancer gets the tables.
    pub fn spread(&mut self) {
        self.known = self.tables().version;
    }

    /// The number of the server on a host, if it is listed.
    pub fn number(&self, at: u8) -> Option<u16> {
        let mut servers = self.tables().services.iter().flat_map(|s| &s.servers);
        servers
            .find(|server| server.address == host(at))
            .map(|server| server.number)
    }
}

/// How many buckets of a table a server has.
pub fn count(table: &[u16], server: Option<u16>) -> usize {
    table
        .iter()
        .filter(|&&number| Some(number) == server)
        .count()
}
