//! Settings of the daemon when packets carry a cookie.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_wire::control::Secret;

use crate::settings::{self, ADDRESS, Error, Reader, Transport};

/// Settings of a balancer.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This balancer's name, for logs.
    pub name: Arc<str>,
    /// The data centre it runs in.
    pub data_centre: Arc<str>,
    /// Address on which callers' packets are received. Packets to a caller are sent to the caller's
    /// address and the same port.
    pub traffic: SocketAddrV4,
    /// Address on which messages of other balancers are received, over UDP and TCP.
    pub control: SocketAddrV4,
    /// Control address as reached by the other balancers. It identifies this balancer.
    pub advertised: SocketAddrV4,
    /// Keys that authenticate messages between balancers.
    pub secret: Secret,
    /// Control addresses of a few balancers to contact after the start. They may be out of date.
    pub seeds: Vec<SocketAddrV4>,
    /// Address on which the routers' readiness checks are answered.
    pub ready: SocketAddrV4,
    /// Address of the platform's store.
    pub platform: SocketAddrV4,
    /// Time within which a change must be in force after the store's answer: the shorter of the bounds
    /// on configurations and on evacuations.
    pub in_force: Duration,
    /// Factor on the configured requests per second that a server can handle after its start.
    pub cold_overshoot: f64,
    /// Requests per second that such a server can handle in addition to the configured ones times
    /// `cold_overshoot`.
    pub cold_slack: f64,
    /// Maximum lifetime of a flow.
    pub flow: Duration,
    /// Time within which the process must exit after it was asked to stop.
    pub grace: Duration,
    /// Address on which metrics are served, if any.
    pub metrics: Option<SocketAddrV4>,
    /// Address on which operators' requests are received, if any.
    pub admin: Option<SocketAddrV4>,
    /// Maximum level of the log.
    pub log: log::LevelFilter,
}

/// The sections of the settings with all their keys.
pub const KEYS: &[(&str, &[&str])] = &[
    ("balancer", &["name", "data_centre"]),
    ("traffic", &["transport", "listen"]),
    (
        "control",
        &["listen", "advertise", "key", "previous_key", "seeds"],
    ),
    ("ready", &["listen"]),
    ("platform", &["address"]),
    (
        "bounds",
        &[
            "in_force_ms",
            "evacuation_ms",
            "cold_overshoot",
            "cold_slack",
            "flow_s",
            "grace_s",
        ],
    ),
    ("metrics", &["listen"]),
    ("admin", &["listen"]),
    ("log", &["level"]),
];

/// Minimum of the bounds on when a change is in force, in milliseconds. The intervals between calls to the
/// store are derived from them.
const MIN_BOUND_MS: u64 = 500;
/// Maximum of `cold_overshoot` and `cold_slack`. A larger value would be no limit.
const MAX_COLD: f64 = 1e6;
/// Expected value of `cold_overshoot` and `cold_slack`, for error messages.
const EXPECTED_COLD: &str = "a number from 0 to 1000000";
/// Expected value of a bound on when a change is in force, for error messages.
const EXPECTED_BOUND: &str = "whole milliseconds, 500 or more";

impl Settings {
    /// Parses and checks `text`.
    ///
    /// # Errors
    /// If there are problems, such as unknown keys. The error lists all of them.
    ///
    /// ```
    /// use acacia_node::cookie::Settings;
    /// let error = Settings::parse("[ready]\nlisten = x\n").unwrap_err();
    /// assert!(error.to_string().contains("[ready] listen: found x"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        settings::read(text, KEYS, read_all)
    }
}

fn read_all(reader: &mut Reader<'_>) -> Option<Settings> {
    // All values are read before a missing one ends the function, so that all problems are reported.
    let name = reader.required::<String>("balancer", "name", "a name");
    let data_centre = reader.required::<String>("balancer", "data_centre", "a name");
    reader.optional::<Transport>("traffic", "transport", "ip or cookie");
    let traffic = reader.required("traffic", "listen", ADDRESS);
    let control = reader.required("control", "listen", ADDRESS);
    let advertised = reader.optional("control", "advertise", ADDRESS);
    let key = reader.key("key", true);
    let previous = reader.key("previous_key", false);
    let seeds = seeds(reader);
    let ready = reader.required("ready", "listen", ADDRESS);
    let platform = reader.required("platform", "address", ADDRESS);
    let in_force = reader.required("bounds", "in_force_ms", EXPECTED_BOUND);
    let evacuation = reader.optional("bounds", "evacuation_ms", EXPECTED_BOUND);
    for (key, value) in [("in_force_ms", in_force), ("evacuation_ms", evacuation)] {
        if value.is_some_and(|ms: u64| ms < MIN_BOUND_MS) {
            reader.problem("bounds", key, EXPECTED_BOUND);
        }
    }
    let flow = reader.required("bounds", "flow_s", "seconds");
    let grace = reader.required("bounds", "grace_s", "seconds");
    for (key, value) in [("flow_s", flow), ("grace_s", grace)] {
        if value.is_some_and(|value| seconds(value).is_none()) {
            reader.problem("bounds", key, "seconds");
        }
    }
    let overshoot = reader.optional("bounds", "cold_overshoot", EXPECTED_COLD);
    let slack = reader.optional("bounds", "cold_slack", EXPECTED_COLD);
    for (key, value) in [("cold_overshoot", overshoot), ("cold_slack", slack)] {
        if value.is_some_and(|value: f64| !(0.0..=MAX_COLD).contains(&value)) {
            reader.problem("bounds", key, EXPECTED_COLD);
        }
    }
    let metrics = reader.optional("metrics", "listen", ADDRESS);
    let admin = reader.optional("admin", "listen", ADDRESS);
    let log = reader.optional("log", "level", "off, error, warn, info, debug or trace");
    Some(Settings {
        name: name?.into(),
        data_centre: data_centre?.into(),
        traffic: traffic?,
        control: control?,
        advertised: advertised.or(control)?,
        secret: Secret::new(&key?, previous.as_ref()),
        seeds: seeds?,
        ready: ready?,
        platform: platform?,
        in_force: Duration::from_millis(in_force?.min(evacuation.unwrap_or(u64::MAX))),
        cold_overshoot: overshoot.unwrap_or(1.0),
        cold_slack: slack.unwrap_or_default(),
        flow: seconds(flow?)?,
        grace: seconds(grace?)?,
        metrics,
        admin,
        log: log.unwrap_or(log::LevelFilter::Info),
    })
}

/// Reads a comma-separated list of addresses, which may be empty.
fn seeds(reader: &mut Reader<'_>) -> Option<Vec<SocketAddrV4>> {
    let expected = "addresses joined by commas";
    let text = reader.text("control", "seeds");
    let parsed: Result<Vec<SocketAddrV4>, _> = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(str::parse)
        .collect();
    if parsed.is_err() {
        reader.problem("control", "seeds", expected);
    }
    parsed.ok()
}

fn seconds(value: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(value).ok()
}
