//! The canonical INI form.
//!
//! It is meant for review: each backend server and each prefix is one line, and a server's line
//! leaves out what it inherits from its service. Sections and servers are sorted by name, so that
//! the text of a change differs only in the lines concerned.

use ini::{EscapePolicy, Ini, LineSeparator, Properties, WriteOption};

use crate::{Config, Customer, Server, Service, State};

/// Prints a configuration in its canonical form. Parsing the text of a configuration without
/// problems gives the same value.
///
/// ```
/// use acacia_config::{Config, Server, Service, print};
/// let mut config = Config::default();
/// config
///     .add_service(Service::new("live", [10, 77, 0, 1], 443, 70))
///     .add_server(Server::new("old-1", "live", "10.1.0.1:6080".parse()?, "lima-a"));
/// assert!(print(&config).ends_with("[servers live]\nold-1 = 10.1.0.1:6080 lima-a\n"));
/// # Ok::<(), std::net::AddrParseError>(())
/// ```
#[must_use]
pub fn print(config: &Config) -> String {
    let mut ini = Ini::new();
    for service in config.services() {
        append(&mut ini, service.section(), service_keys(service));
        let mut lines = Properties::new();
        for server in config.servers_of(&service.name) {
            lines.append(&*server.name, server_line(server));
        }
        append(&mut ini, format!("servers {}", service.name), lines);
    }
    for server in config.servers() {
        if config.service(&server.service).is_none() {
            let mut line = Properties::new();
            line.append(&*server.name, server_line(server));
            append(&mut ini, server.section(), line);
        }
    }
    for customer in config.customers() {
        append(&mut ini, customer.section(), customer_keys(customer));
    }
    text(&ini)
}

/// Adds keys to a section, unless there are none.
fn append(ini: &mut Ini, section: String, keys: Properties) {
    if keys.is_empty() {
        return;
    }
    match ini.entry(Some(section)) {
        ini::SectionEntry::Vacant(vacant) => {
            vacant.insert(keys);
        }
        ini::SectionEntry::Occupied(mut occupied) => occupied.append(keys),
    }
}

fn service_keys(service: &Service) -> Properties {
    let mut keys = Properties::new();
    keys.append("address", service.address.to_string());
    keys.append("port", service.port.to_string());
    keys.append("protocol", service.protocol.label());
    keys.append("share", format!("{}%", service.share));
    keys.append("callers", service.callers.label());
    keys.append("slots", service.limit.slots.to_string());
    keys.append("connections", service.limit.connections.to_string());
    if let Some(objective) = service.objective {
        keys.append("availability", objective.availability.to_string());
        if let Some(latency) = objective.latency {
            let text = format!("{} within {}ms", latency.ratio, latency.within_ms);
            keys.append("latency", text);
        }
    }
    keys
}

fn server_line(server: &Server) -> String {
    let mut line = format!("{} {}", server.address, server.data_centre);
    if let Some(limit) = server.limit {
        let limit = format!(" slots={} connections={}", limit.slots, limit.connections);
        line.push_str(&limit);
    }
    match server.state {
        State::Active => {}
        State::Drain { deadline: None } => line.push_str(" drain"),
        State::Drain {
            deadline: Some(deadline),
        } => line.push_str(&format!(" drain={deadline}")),
    }
    line
}

fn customer_keys(customer: &Customer) -> Properties {
    let mut keys = Properties::new();
    keys.append("mark", customer.mark.label());
    keys.append("weight", customer.weight.to_string());
    for prefix in &customer.prefixes {
        keys.append("prefix", prefix.to_string());
    }
    keys
}

fn text(ini: &Ini) -> String {
    let options = WriteOption {
        escape_policy: EscapePolicy::Basics,
        line_separator: LineSeparator::CR,
        kv_separator: " = ",
    };
    let mut bytes = Vec::new();
    ini.write_to_opt(&mut bytes, options)
        .expect("writing to memory can't fail");
    String::from_utf8(bytes).expect("only strings were written")
}
