//! The rules that a configuration has to keep as a whole.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use acacia_code::Code;

use crate::{Config, Customer, Limit, Objective, Problem, Server, Service};

/// Longest name, in bytes: what a label in the domain name system may have.
const MAX_NAME: usize = 63;
/// What a name looks like.
const NAME: &str = "1 to 63 of a-z, A-Z, 0-9, '-', '_' and '.', the first a letter or digit";

/// Lists every problem of a configuration, in the order of its parts; none if it can be taken.
///
/// ```
/// use acacia_config::{Config, Server, check};
/// let mut config = Config::default();
/// config.add_server(Server::new("old-1", "nowhere", "10.1.0.1:0".parse()?, "lima-a"));
/// assert_eq!(check(&config).len(), 2); // no such service, no such port
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn check(config: &Config) -> Vec<Problem> {
    let mut found = Found::default();
    services(config, &mut found);
    servers(config, &mut found);
    customers(config, &mut found);
    found.problems
}

/// The problems so far.
#[derive(Default)]
struct Found {
    problems: Vec<Problem>,
}

impl Found {
    fn add(&mut self, code: Code, section: &str, key: &str, found: String, expected: &str) {
        self.problems.push(Problem {
            code,
            section: section.into(),
            key: key.into(),
            found,
            expected: expected.into(),
        });
    }

    /// A value outside its limits.
    fn range(&mut self, bad: bool, section: &str, key: &str, found: String, expected: &str) {
        if bad {
            self.add(Code::ConfigRangeExceeded, section, key, found, expected);
        }
    }

    fn name(&mut self, section: &str, key: &str, name: &str) {
        let legal = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let first = name.bytes().next();
        let good = first.is_some_and(|b| b.is_ascii_alphanumeric())
            && name.len() <= MAX_NAME
            && name.bytes().all(legal);
        if !good {
            self.add(Code::ConfigValueInvalid, section, key, name.into(), NAME);
        }
    }

    fn limit(&mut self, section: &str, key: &str, limit: Limit) {
        let found = format!("slots={} connections={}", limit.slots, limit.connections);
        let bad = limit.slots == 0 || limit.connections == 0;
        self.range(bad, section, key, found, "at least 1 of each");
    }

    /// Reports `value` if it was there before, with the place where it was.
    fn unique<K: Ord>(
        &mut self,
        seen: &mut BTreeMap<K, Arc<str>>,
        value: K,
        place: (&str, &str),
        found: String,
    ) {
        let (section, key) = place;
        match seen.get(&value) {
            Some(before) => {
                let expected = format!("something else than in [{before}]");
                self.add(Code::ConfigDuplicate, section, key, found, &expected);
            }
            None => {
                seen.insert(value, section.into());
            }
        }
    }
}

fn services(config: &Config, found: &mut Found) {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for service in config.services() {
        let section = service.section();
        found.name(&section, "name", &service.name);
        let place = (&*section, "name");
        found.unique(&mut names, &service.name, place, service.name.to_string());
        let front = (service.address, service.port, service.protocol.label());
        let text = format!("{}:{} {}", front.0, front.1, front.2);
        found.unique(&mut addresses, front, (&section, "address"), text);
        service_values(service, &section, found);
    }
    let total: u32 = config.services().iter().map(|s| u32::from(s.share)).sum();
    let expected = "shares of all services that add up to 100 at most";
    found.range(total > 100, "service", "share", total.to_string(), expected);
}

fn service_values(service: &Service, section: &str, found: &mut Found) {
    let (address, share) = (service.address, service.share);
    let bad = address.is_unspecified() || address.is_multicast();
    let expected = "an address that one host can have";
    found.range(bad, section, "address", address.to_string(), expected);
    found.range(service.port == 0, section, "port", "0".into(), "1 to 65535");
    let bad = share == 0 || share > 100;
    found.range(bad, section, "share", share.to_string(), "1 to 100");
    found.limit(section, "slots", service.limit);
    if let Some(objective) = service.objective {
        objective_values(objective, section, found);
    }
}

fn objective_values(objective: Objective, section: &str, found: &mut Found) {
    let text = objective.availability.to_string();
    let bad = objective.availability.steps() == 0;
    found.range(bad, section, "availability", text, "above 0%");
    if let Some(latency) = objective.latency {
        let bad = latency.ratio.steps() == 0 || latency.within_ms == 0;
        let text = format!("{} within {}ms", latency.ratio, latency.within_ms);
        found.range(
            bad,
            section,
            "latency",
            text,
            "above 0% within at least 1ms",
        );
    }
}

fn servers(config: &Config, found: &mut Found) {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for server in config.servers() {
        let section = server.section();
        let key = &*server.name;
        found.name(&section, key, key);
        found.unique(&mut names, key, (&section, key), key.to_owned());
        // One host behind two services would be handed packets of both, and only its own kernel
        // would keep them apart. An address belongs to one server of one service.
        let text = server.address.to_string();
        found.unique(&mut addresses, server.address, (&section, key), text);
        server_values(config, server, &section, found);
    }
}

fn server_values(config: &Config, server: &Server, section: &str, found: &mut Found) {
    let (key, address) = (&*server.name, server.address);
    let bad = address.port() == 0 || not_a_host(address.ip());
    let expected = "address:port of one host, such as 10.1.0.1:6080";
    found.range(bad, section, key, address.to_string(), expected);
    found.name(section, key, &server.data_centre);
    if let Some(limit) = server.limit {
        found.limit(section, key, limit);
    }
    if config.service(&server.service).is_none() {
        let name = server.service.to_string();
        let expected = "the name of a service of this configuration";
        found.add(Code::ConfigReference, section, key, name, expected);
    }
}

fn not_a_host(address: IpAddr) -> bool {
    address.is_unspecified() || address.is_multicast()
}

fn customers(config: &Config, found: &mut Found) {
    let (mut names, mut prefixes) = (BTreeMap::new(), BTreeMap::new());
    for customer in config.customers() {
        let section = customer.section();
        found.name(&section, "name", &customer.name);
        let place = (&*section, "name");
        found.unique(&mut names, &customer.name, place, customer.name.to_string());
        found.range(
            customer.weight == 0,
            &section,
            "weight",
            "0".into(),
            "at least 1",
        );
        let none = customer.prefixes.is_empty();
        found.range(
            none,
            &section,
            "prefix",
            "none".into(),
            "at least one block of addresses",
        );
        for prefix in &customer.prefixes {
            let place = (&*section, "prefix");
            found.unique(&mut prefixes, *prefix, place, prefix.to_string());
        }
    }
}

impl Service {
    /// The heading of its section.
    pub(crate) fn section(&self) -> String {
        format!("service {}", self.name)
    }
}

impl Server {
    /// The heading of the section that holds it.
    pub(crate) fn section(&self) -> String {
        format!("servers {}", self.service)
    }
}

impl Customer {
    /// The heading of its section.
    pub(crate) fn section(&self) -> String {
        format!("customer {}", self.name)
    }
}
