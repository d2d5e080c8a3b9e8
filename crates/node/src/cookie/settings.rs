//! The daemon's settings where packets carry a cookie.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_wire::control::Secret;

use crate::settings::{self, ADDRESS, Error, Reader, Transport};

/// Everything a balancer learns from its settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This balancer's name, for logs.
    pub name: Arc<str>,
    /// The data centre it runs in.
    pub data_centre: Arc<str>,
    /// Where callers' packets come in. Packets for a caller go to the caller's address on the same
    /// port.
    pub traffic: SocketAddrV4,
    /// Where other balancers' messages come in, by UDP and TCP.
    pub control: SocketAddrV4,
    /// Where the other balancers reach that: this balancer's identity.
    pub advertised: SocketAddrV4,
    /// Keys of the messages between balancers.
    pub secret: Secret,
    /// Control addresses of a few balancers to begin with. They may be out of date.
    pub seeds: Vec<SocketAddrV4>,
    /// Where the routers ask whether to send packets here.
    pub ready: SocketAddrV4,
    /// Where the platform's store answers.
    pub platform: SocketAddrV4,
    /// How soon after the store's answer a change must be in force: the shorter of the bounds on
    /// configurations and on evacuations.
    pub in_force: Duration,
    /// Factor on the requests a second that a server bears after its start.
    pub cold_overshoot: f64,
    /// Requests a second that such a server bears beyond them.
    pub cold_slack: f64,
    /// The longest life of a flow.
    pub flow: Duration,
    /// How long after a request to end the process may live.
    pub grace: Duration,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<SocketAddrV4>,
    /// Where operators' requests come in, if anywhere.
    pub admin: Option<SocketAddrV4>,
    /// Level of logs.
    pub log: log::LevelFilter,
}

/// Every key that may stand in a section.
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

/// Shortest bound on a change being in force, in milliseconds: pauses between calls follow from it.
const SHORTEST_BOUND_MS: u64 = 500;
/// Largest figure of what a server bears after its start. More is no limit.
const MOST_COLD: f64 = 1e6;
/// What such a figure must be.
const NUMBER: &str = "a number from 0 to 1000000";
/// What a bound on a change must be.
const BOUND: &str = "whole milliseconds, 500 or more";

impl Settings {
    /// Reads and checks `text`.
    ///
    /// # Errors
    /// All problems at once, unknown keys among them.
    ///
    /// ```
    /// use acacia_node::cookie::Settings;
    /// let error = Settings::parse("[ready]\nlisten = x\n").unwrap_err();
    /// assert!(error.to_string().contains("[ready] listen: found x"));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        settings::read(text, KEYS, take)
    }
}

fn take(reader: &mut Reader<'_>) -> Option<Settings> {
    // Each value is read before any is missed, so that all problems are listed at once.
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
    let in_force = reader.required("bounds", "in_force_ms", BOUND);
    let evacuation = reader.optional("bounds", "evacuation_ms", BOUND);
    for (key, value) in [("in_force_ms", in_force), ("evacuation_ms", evacuation)] {
        if value.is_some_and(|ms: u64| ms < SHORTEST_BOUND_MS) {
            reader.problem("bounds", key, BOUND);
        }
    }
    let flow = reader.required("bounds", "flow_s", "seconds");
    let grace = reader.required("bounds", "grace_s", "seconds");
    for (key, value) in [("flow_s", flow), ("grace_s", grace)] {
        if value.is_some_and(|value| seconds(value).is_none()) {
            reader.problem("bounds", key, "seconds");
        }
    }
    let overshoot = reader.optional("bounds", "cold_overshoot", NUMBER);
    let slack = reader.optional("bounds", "cold_slack", NUMBER);
    for (key, value) in [("cold_overshoot", overshoot), ("cold_slack", slack)] {
        if value.is_some_and(|value: f64| !(0.0..=MOST_COLD).contains(&value)) {
            reader.problem("bounds", key, NUMBER);
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

/// Addresses joined by commas; none where nothing stands.
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
