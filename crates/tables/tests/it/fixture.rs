use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use acacia_config::{
    Config, Server, Service, State,
    document::{self, Draft, Id},
};
use acacia_flow::snapshot::Address;
use acacia_tables::{Context, Document, next_document};
use acacia_wire::flow::Protocol;

/// The address of the server on a host.
pub fn server_address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, host], 6080))
}

/// The address of a service, by its id.
pub fn service_address(service: u8) -> Address {
    Address {
        ip: [10, 77, 0, service].into(),
        port: 443,
        protocol: Protocol::Tcp,
    }
}

/// A change by an operator. Servers are identified by their host, services by an id.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// Add a server to a service, or move it there.
    Place(u8, u8),
    Remove(u8),
    /// Drain a server, with the Unix time in seconds at which it is gone.
    Drain(u8, Option<u64>),
    Activate(u8),
    /// Create a service, or remove an existing one.
    Toggle(u8),
}

/// An operator who changes the configuration.
#[derive(Debug, Default)]
pub struct Operator {
    services: BTreeMap<u8, bool>,
    servers: BTreeMap<u8, (u8, State)>,
    accepted: Option<Arc<document::Document>>,
}

impl Operator {
    /// An operator of service 1 with servers on hosts 1 to `servers`.
    pub fn new(servers: u8) -> Self {
        let mut operator = Operator::default();
        operator.change(Change::Toggle(1));
        (1..=servers).for_each(|host| operator.change(Change::Place(host, 1)));
        operator.apply();
        operator
    }

    pub fn change(&mut self, change: Change) {
        let mut set = |host, state| {
            self.servers
                .entry(host)
                .and_modify(|server| server.1 = state);
        };
        match change {
            Change::Place(host, service) => _ = self.servers.insert(host, (service, State::Active)),
            Change::Remove(host) => _ = self.servers.remove(&host),
            Change::Drain(host, deadline) => set(host, State::Drain { deadline }),
            Change::Activate(host) => set(host, State::Active),
            Change::Toggle(service) => *self.services.entry(service).or_default() ^= true,
        }
    }

    pub fn config(&self) -> Config {
        let mut config = Config::default();
        let exists = |service: &u8| self.services.get(service) == Some(&true);
        for service in self.services.keys().copied().filter(exists) {
            let address = [10, 77, 0, service];
            config.add_service(Service::new(&format!("s{service}"), address, 443, 20));
        }
        let servers = self.servers.iter();
        for (at, (service, state)) in servers.filter(|(_, (service, _))| exists(service)) {
            let (name, service) = (format!("server-{at}"), format!("s{service}"));
            let mut server = Server::new(&name, &service, server_address(*at), "hervanta");
            server.state = *state;
            config.add_server(server);
        }
        config
    }

    /// Has the configuration accepted.
    pub fn apply(&mut self) -> Arc<document::Document> {
        let before = self.accepted.as_deref();
        let draft = Draft {
            change: Id::new(0),
            author: "aino".into(),
            time: 0,
            config: self.config(),
            in_force: None,
        };
        let next = document::Document::follow(before, &draft).expect("a configuration");
        Arc::clone(self.accepted.insert(Arc::new(next)))
    }

    pub fn accepted(&self) -> Arc<document::Document> {
        self.accepted.clone().expect("a configuration")
    }
}

/// Successive tables for an operator's changes, by a single writer.
pub struct Chain {
    pub operator: Operator,
    pub document: Document,
    /// The version that every balancer is known to have.
    pub known: u64,
    pub now: u64,
}

impl Chain {
    /// Tables of a service with some servers, delivered to every balancer.
    pub fn new(servers: u8) -> Self {
        let mut chain = Chain {
            operator: Operator::new(servers),
            document: Document::default(),
            known: 0,
            now: 0,
        };
        chain.step();
        chain.deliver();
        chain
    }

    /// Builds the next tables. Returns whether they changed.
    pub fn step(&mut self) -> bool {
        let context = Context {
            now: self.now,
            is_known: &|version| version <= self.known,
            weight: &|_, _| None,
        };
        let before = Some(&self.document);
        let next = next_document(before, &self.operator.accepted(), &context).expect("tables");
        next.map(|next| self.document = next).is_some()
    }

    pub fn apply(&mut self, changes: &[Change]) -> bool {
        changes
            .iter()
            .for_each(|change| self.operator.change(*change));
        self.operator.apply();
        self.step()
    }

    /// Delivers the tables to every balancer.
    pub fn deliver(&mut self) {
        self.known = self.document.version;
    }

    /// The number of the server on a host, if it is listed.
    pub fn number(&self, at: u8) -> Option<u16> {
        let mut servers = self.document.services.iter().flat_map(|s| &s.servers);
        servers
            .find(|server| server.address == server_address(at))
            .map(|server| server.number)
    }

    pub fn text(&self) -> String {
        self.document.encode().expect("text")
    }
}

/// Counts the buckets of a server in a table.
pub fn count(table: &[u16], server: Option<u16>) -> usize {
    table
        .iter()
        .filter(|&&number| Some(number) == server)
        .count()
}
