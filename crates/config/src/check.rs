//! Checks the rules that apply to a whole configuration.

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use acacia_code::Code;

use crate::{Config, Customer, Limit, Objective, Problem, Server, Service};

/// Maximum length of a name in bytes: that of a DNS label.
const MAX_NAME_LENGTH: usize = 63;
/// The rule for names, as shown to operators.
const EXPECTED_NAME: &str =
    "1 to 63 characters of a-z, A-Z, 0-9, '-', '_' and '.', starting with a letter or digit";

/// Lists every problem of a configuration: those of services, then of servers, then of customers.
/// The list is empty if the configuration is valid.
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
    let mut collector = Collector::default();
    services(config, &mut collector);
    servers(config, &mut collector);
    customers(config, &mut collector);
    collector.problems
}

/// Collects the problems found so far.
#[derive(Default)]
struct Collector {
    problems: Vec<Problem>,
}

impl Collector {
    fn add(&mut self, code: Code, section: &str, key: &str, found: String, expected: &str) {
        self.problems.push(Problem {
            code,
            section: section.into(),
            key: key.into(),
            found,
            expected: expected.into(),
        });
    }

    /// Adds a problem if `bad`: a value outside its range.
    fn range(&mut self, bad: bool, section: &str, key: &str, found: String, expected: &str) {
        if bad {
            self.add(Code::ConfigRangeExceeded, section, key, found, expected);
        }
    }

    fn name(&mut self, section: &str, key: &str, name: &str) {
        let legal = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
        let first = name.bytes().next();
        let good = first.is_some_and(|b| b.is_ascii_alphanumeric())
            && name.len() <= MAX_NAME_LENGTH
            && name.bytes().all(legal);
        if !good {
            self.add(
                Code::ConfigValueInvalid,
                section,
                key,
                name.into(),
                EXPECTED_NAME,
            );
        }
    }

    fn limit(&mut self, section: &str, key: &str, limit: Limit) {
        let found = format!("slots={} connections={}", limit.slots, limit.connections);
        let bad = limit.slots == 0 || limit.connections == 0;
        self.range(bad, section, key, found, "at least 1 of each");
    }

    /// Adds a problem if `value` was seen before, naming the section where it was seen.
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
                let expected = format!("a value that is not used in [{before}]");
                self.add(Code::ConfigDuplicate, section, key, found, &expected);
            }
            None => {
                seen.insert(value, section.into());
            }
        }
    }
}

fn services(config: &Config, collector: &mut Collector) {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for service in config.services() {
        let section = service.section();
        collector.name(&section, "name", &service.name);
        let place = (&*section, "name");
        collector.unique(&mut names, &service.name, place, service.name.to_string());
        let endpoint = (service.address, service.port, service.protocol.label());
        let text = format!("{}:{} {}", endpoint.0, endpoint.1, endpoint.2);
        collector.unique(&mut addresses, endpoint, (&section, "address"), text);
        service_values(service, &section, collector);
    }
    let total: u32 = config.services().iter().map(|s| u32::from(s.share)).sum();
    let expected = "shares of all services that add up to at most 100";
    collector.range(total > 100, "service", "share", total.to_string(), expected);
}

fn service_values(service: &Service, section: &str, collector: &mut Collector) {
    let (address, share) = (service.address, service.share);
    let bad = address.is_unspecified() || address.is_multicast();
    let expected = "a unicast address";
    collector.range(bad, section, "address", address.to_string(), expected);
    collector.range(service.port == 0, section, "port", "0".into(), "1 to 65535");
    let bad = share == 0 || share > 100;
    collector.range(bad, section, "share", share.to_string(), "1 to 100");
    collector.limit(section, "slots", service.limit);
    if let Some(objective) = service.objective {
        objective_values(objective, section, collector);
    }
}

fn objective_values(objective: Objective, section: &str, collector: &mut Collector) {
    let text = objective.availability.to_string();
    let bad = objective.availability.steps() == 0;
    collector.range(bad, section, "availability", text, "above 0%");
    if let Some(latency) = objective.latency {
        let bad = latency.ratio.steps() == 0 || latency.within_ms == 0;
        let text = format!("{} within {}ms", latency.ratio, latency.within_ms);
        collector.range(
            bad,
            section,
            "latency",
            text,
            "above 0% within at least 1ms",
        );
    }
}

fn servers(config: &Config, collector: &mut Collector) {
    let (mut names, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for server in config.servers() {
        let section = server.section();
        let key = &*server.name;
        collector.name(&section, key, key);
        collector.unique(&mut names, key, (&section, key), key.to_owned());
        // An address belongs to one server of one service. If it belonged to two, it would receive
        // the packets of both services, and only the host's kernel would tell them apart.
        let text = server.address.to_string();
        collector.unique(&mut addresses, server.address, (&section, key), text);
        server_values(config, server, &section, collector);
    }
}

fn server_values(config: &Config, server: &Server, section: &str, collector: &mut Collector) {
    let (key, address) = (&*server.name, server.address);
    let bad = address.port() == 0 || is_unspecified_or_multicast(address.ip());
    let expected = "a unicast address and port, such as 10.1.0.1:6080";
    collector.range(bad, section, key, address.to_string(), expected);
    collector.name(section, key, &server.data_centre);
    if let Some(limit) = server.limit {
        collector.limit(section, key, limit);
    }
    if config.service(&server.service).is_none() {
        let name = server.service.to_string();
        let expected = "the name of a service of this configuration";
        collector.add(Code::ConfigReference, section, key, name, expected);
    }
}

fn is_unspecified_or_multicast(address: IpAddr) -> bool {
    address.is_unspecified() || address.is_multicast()
}

fn customers(config: &Config, collector: &mut Collector) {
    let (mut names, mut prefixes) = (BTreeMap::new(), BTreeMap::new());
    for customer in config.customers() {
        let section = customer.section();
        collector.name(&section, "name", &customer.name);
        let place = (&*section, "name");
        collector.unique(&mut names, &customer.name, place, customer.name.to_string());
        collector.range(
            customer.weight == 0,
            &section,
            "weight",
            "0".into(),
            "at least 1",
        );
        let none = customer.prefixes.is_empty();
        collector.range(
            none,
            &section,
            "prefix",
            "none".into(),
            "at least one prefix",
        );
        for prefix in &customer.prefixes {
            let place = (&*section, "prefix");
            collector.unique(&mut prefixes, *prefix, place, prefix.to_string());
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
    /// The heading of the section that contains it.
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
