use std::net::IpAddr;

use crate::{Customer, Server, Service};

/// A whole configuration. Services, servers and customers are kept sorted by name, so that two
/// configurations with the same content are equal and print the same text, in whatever order they
/// were built.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Config {
    services: Vec<Service>,
    servers: Vec<Server>,
    customers: Vec<Customer>,
}

impl Config {
    /// Adds a service. A second one of the same name is kept too, and reported by
    /// [`check`](crate::check()).
    pub fn add_service(&mut self, service: Service) -> &mut Self {
        let at = self
            .services
            .partition_point(|other| other.name <= service.name);
        self.services.insert(at, service);
        self
    }

    /// Adds a backend server. Servers are sorted by service, then by name.
    pub fn add_server(&mut self, server: Server) -> &mut Self {
        let at = self.servers.partition_point(|other| {
            (&other.service, &other.name) <= (&server.service, &server.name)
        });
        self.servers.insert(at, server);
        self
    }

    /// Adds a customer.
    pub fn add_customer(&mut self, customer: Customer) -> &mut Self {
        let at = self
            .customers
            .partition_point(|other| other.name <= customer.name);
        self.customers.insert(at, customer);
        self
    }

    /// The services, sorted by name.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The backend servers, sorted by service, then by name.
    #[must_use]
    pub fn servers(&self) -> &[Server] {
        &self.servers
    }

    /// The customers, sorted by name.
    #[must_use]
    pub fn customers(&self) -> &[Customer] {
        &self.customers
    }

    /// The service with the given name.
    ///
    /// ```
    /// use acacia_config::{Config, Service};
    /// let mut config = Config::default();
    /// config.add_service(Service::new("live", [10, 77, 0, 1], 443, 70));
    /// assert_eq!(config.service("live").map(|service| service.port), Some(443));
    /// assert_eq!(config.service("maps"), None);
    /// ```
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        self.services.get(at.ok()?)
    }

    /// Changes the backend server with the given name; returns false if there is none. The server
    /// is removed and inserted again, because a change of its name or service changes its position.
    ///
    /// ```
    /// use acacia_config::{Config, Server, State};
    /// let mut config = Config::default();
    /// config.add_server(Server::new("old-1", "live", "10.1.0.1:6080".parse()?, "lima-a"));
    /// let drain = State::Drain { deadline: None };
    /// assert!(config.update_server("old-1", |server| server.state = drain));
    /// assert_eq!(config.servers()[0].state, drain);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn update_server(&mut self, name: &str, change: impl FnOnce(&mut Server)) -> bool {
        let named = |server: &Server| *server.name == *name;
        let Some(at) = self.servers.iter().position(named) else {
            return false;
        };
        let mut server = self.servers.remove(at);
        change(&mut server);
        self.add_server(server);
        true
    }

    /// The backend servers of a service, sorted by name.
    ///
    /// ```
    /// use acacia_config::{Config, Server};
    /// let mut config = Config::default();
    /// config
    ///     .add_server(Server::new("b", "live", "10.1.0.2:6080".parse()?, "lima-a"))
    ///     .add_server(Server::new("a", "live", "10.1.0.1:6080".parse()?, "lima-a"))
    ///     .add_server(Server::new("c", "maps", "10.1.0.3:6080".parse()?, "lima-a"));
    /// let names: Vec<_> = config.servers_of("live").iter().map(|s| &*s.name).collect();
    /// assert_eq!(names, ["a", "b"]);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn servers_of(&self, service: &str) -> &[Server] {
        let start = self.servers.partition_point(|s| &*s.service < service);
        let end = self.servers.partition_point(|s| &*s.service <= service);
        &self.servers[start..end]
    }

    /// The customer with the longest prefix that contains the address. The search is linear in the
    /// number of prefixes; use [`customer_index::Index`](crate::customer_index::Index) for frequent
    /// searches.
    ///
    /// ```
    /// use acacia_config::{Config, Customer, Mark};
    /// let mut config = Config::default();
    /// config.add_customer(Customer::new("crew", Mark::Paying, ["10.0.0.0/8".parse()?]));
    /// config.add_customer(Customer::new("guests", Mark::Trial, ["10.9.0.0/16".parse()?]));
    /// let customer = config.customer_at([10, 9, 1, 1].into());
    /// assert_eq!(customer.map(|c| &*c.name), Some("guests"));
    /// # Ok::<(), acacia_config::Problem>(())
    /// ```
    #[must_use]
    pub fn customer_at(&self, address: IpAddr) -> Option<&Customer> {
        let owners = self.customers.iter().flat_map(|customer| {
            let prefixes = customer.prefixes.iter();
            let containing = prefixes.filter(move |prefix| prefix.contains(address));
            containing.map(move |prefix| (prefix.length(), customer))
        });
        owners
            .max_by_key(|(length, _)| *length)
            .map(|(_, customer)| customer)
    }
}
