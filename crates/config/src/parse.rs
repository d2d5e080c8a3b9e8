//! Parses the INI form.

mod keys;
mod line;

use std::sync::Arc;

use acacia_code::Code;
use ini::{Ini, Properties};

use crate::{
    Config, Customer, Invalid, Latency, Limit, Mark, Objective, Prefix, Problem, Protocol, Ratio,
    Service, check,
};
use keys::Keys;

/// Parses a configuration and checks it as a whole.
///
/// # Errors
/// If the configuration has problems: all of them, those of single values and those of the whole.
///
/// ```
/// let invalid = acacia_config::parse("[service live]\nport = many\n").expect_err("no number");
/// assert!(invalid.problems.iter().any(|p| &*p.key == "port" && p.found == "many"));
/// assert!(invalid.problems.iter().any(|p| &*p.key == "address" && p.found.is_empty()));
/// ```
pub fn parse(text: &str) -> Result<Config, Invalid> {
    let ini = load(text).map_err(|problem| Invalid {
        problems: vec![problem],
    })?;
    let mut config = Config::default();
    let mut problems = Vec::new();
    for (heading, keys) in &ini {
        section(heading, keys, &mut config, &mut problems);
    }
    // A value that can't be parsed is replaced by a default, so problems that the check of the
    // whole finds with that key would be misleading.
    let mut of_whole = check(&config);
    of_whole.retain(|problem| {
        !problems
            .iter()
            .any(|other: &Problem| (&other.section, &other.key) == (&problem.section, &problem.key))
    });
    problems.append(&mut of_whole);
    match problems.is_empty() {
        true => Ok(config),
        false => Err(Invalid { problems }),
    }
}

/// Parses the INI syntax. Lines are trimmed first, because the library silently drops an indented
/// last line without '='.
fn load(text: &str) -> Result<Ini, Problem> {
    let trimmed: Vec<_> = text.lines().map(str::trim).collect();
    Ini::load_from_str(&trimmed.join("\n")).map_err(|error| Problem {
        code: Code::ConfigUnreadable,
        section: "".into(),
        key: format!("line {}", error.line).into(),
        found: error.msg.into_owned(),
        expected: "lines of [section] and key = value".into(),
    })
}

fn section(
    heading: Option<&str>,
    properties: &Properties,
    config: &mut Config,
    problems: &mut Vec<Problem>,
) {
    let heading = heading.unwrap_or_default();
    let (kind, name) = heading.split_once(' ').unwrap_or((heading, ""));
    let name: Arc<str> = name.trim().into();
    let keys = Keys::new(heading, properties, problems);
    match kind {
        "service" => {
            config.add_service(service(name, keys));
        }
        "servers" => {
            for server in line::servers(&name, keys) {
                config.add_server(server);
            }
        }
        "customer" => {
            config.add_customer(customer(name, keys));
        }
        // The library returns the keys before the first section under an empty heading, also if
        // there are none.
        "" if properties.is_empty() => {}
        _ => keys.unknown_section(),
    }
}

fn service(name: Arc<str>, mut keys: Keys<'_>) -> Service {
    let unspecified = [0, 0, 0, 0].into();
    let address = keys.required("address", "an IP address", |text| text.parse().ok());
    let port = keys.required("port", "1 to 65535", |text| text.parse().ok());
    let share = keys.required("share", "a percentage such as 70%", |text| {
        text.strip_suffix('%')?.trim_end().parse().ok()
    });
    let protocol = keys.optional("protocol", "tcp or udp", |text| match text {
        "tcp" => Some(Protocol::Tcp),
        "udp" => Some(Protocol::Udp),
        _ => None,
    });
    let callers = keys.optional("callers", "trial or paying", mark);
    let slots = keys.optional("slots", "a number up to 65535", |text| text.parse().ok());
    let connections = keys.optional("connections", "a number", |text| text.parse().ok());
    let objective = objective(&mut keys);
    keys.finish();
    Service {
        name,
        address: address.unwrap_or(unspecified),
        port: port.unwrap_or(1),
        protocol: protocol.unwrap_or(Protocol::Tcp),
        share: share.unwrap_or(0),
        callers: callers.unwrap_or(Mark::Trial),
        limit: Limit {
            slots: slots.unwrap_or(Limit::DEFAULT.slots),
            connections: connections.unwrap_or(Limit::DEFAULT.connections),
        },
        objective,
    }
}

fn objective(keys: &mut Keys<'_>) -> Option<Objective> {
    let availability = keys.optional("availability", "a percentage such as 99.9%", Ratio::parse);
    let latency = keys.optional("latency", "such as 99% within 250ms", |text| {
        let (ratio, within) = text.split_once(" within ")?;
        Some(Latency {
            ratio: Ratio::parse(ratio.trim())?,
            within_ms: within.trim().strip_suffix("ms")?.parse().ok()?,
        })
    });
    if availability.is_none() && latency.is_some() && !keys.has("availability") {
        keys.missing("availability", "a percentage, because latency is set");
    }
    Some(Objective {
        availability: availability?,
        latency,
    })
}

fn customer(name: Arc<str>, mut keys: Keys<'_>) -> Customer {
    let mark = keys.required("mark", "trial or paying", mark);
    let weight = keys.optional("weight", "1 to 65535", |text| text.parse().ok());
    let expected = "a prefix such as 10.77.0.0/16, with no bits set beyond its length";
    let prefixes = keys.repeated("prefix", expected, |text| text.parse::<Prefix>().ok());
    keys.finish();
    Customer::new(&name, mark.unwrap_or(Mark::Trial), prefixes).weight(weight.unwrap_or(1))
}

fn mark(text: &str) -> Option<Mark> {
    match text {
        "trial" => Some(Mark::Trial),
        "paying" => Some(Mark::Paying),
        _ => None,
    }
}
