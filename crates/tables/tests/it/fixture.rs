use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use acacia_config::{
    Config, Server, Service, State,
    document::{self, Draft, Id},
};
use acacia_flow::snapshot::Address;
use acacia_tables::{Document, UpdateContext, next_document};
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

/// What an operator does. Servers go by their host, services by their place.
#[derive(Debug, Clone, Copy)]
pub enum Change {
    /// A server is added, or moved to another service.
    Place(u8, u8),
    Remove(u8),
    /// A server is drained, with seconds of Unix time at which it is gone.
    Drain(u8, Option<u64>),
    Activate(u8),
    /// A service is created or removed.
    Toggle(u8),
}

/// The configuration as an operator changes it.
#[derive(Debug, Default)]
pub struct Operator {
    services: BTreeMap<u8, bool>,
    servers: BTreeMap<u8, (u8, State)>,
    accepted: Option<Arc<document::Document>>,
}

impl Operator {
    /// An operator of the service at place 1 with servers on hosts 1 to `servers`.
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
            Change::Place(host, place) => _ = self.servers.insert(host, (place, State::Active)),
            Change::Remove(host) => _ = self.servers.remove(&host),
            Change::Drain(host, deadline) => set(host, State::Drain { deadline }),
            Change::Activate(host) => set(host, State::Active),
            Change::Toggle(place) => *self.services.entry(place).or_default() ^= true,
        }
    }

    pub fn config(&self) -> Config {
        let mut config = Config::default();
        let is_there = |place: &u8| self.services.get(place) == Some(&true);
        for place in self.services.keys().copied().filter(is_there) {
            let address = [10, 77, 0, place];
            config.add_service(Service::new(&format!("s{place}"), address, 443, 20));
        }
        let servers = self.servers.iter();
        for (at, (place, state)) in servers.filter(|(_, (place, _))| is_there(place)) {
            let (name, service) = (format!("server-{at}"), format!("s{place}"));
            let mut server = Server::new(&name, &service, host(*at), "hervanta");
            server.state = *state;
            config.add_server(server);
        }
        config
    }

    /// Puts the configuration into the store.
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

/// Tables that follow an operator's changes, by one writer.
pub struct Chain {
    pub operator: Operator,
    pub document: Document,
    /// The version that every balancer has.
    pub known: u64,
    pub now: u64,
}

impl Chain {
    /// Tables of a service with some servers, which every balancer has.
    pub fn new(servers: u8) -> Self {
        let mut chain = Chain {
            operator: Operator::new(servers),
            document: Document::default(),
            known: 0,
            now: 0,
        };
        chain.step();
        chain.spread();
        chain
    }

    /// Makes the next tables; gives whether there are any.
    pub fn step(&mut self) -> bool {
        let context = UpdateContext {
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

    /// Every balancer gets the tables.
    pub fn spread(&mut self) {
        self.known = self.document.version;
    }

    /// The number of the server on a host, if it is listed.
    pub fn number(&self, at: u8) -> Option<u16> {
        let mut servers = self.document.services.iter().flat_map(|s| &s.servers);
        servers
            .find(|server| server.address == host(at))
            .map(|server| server.number)
    }

    pub fn text(&self) -> String {
        self.document.encode().expect("text")
    }
}

/// How many buckets of a table a server has.
pub fn count(table: &[u16], server: Option<u16>) -> usize {
    table
        .iter()
        .filter(|&&number| Some(number) == server)
        .count()
}
