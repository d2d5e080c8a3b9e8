//! Checks the guarantees against what callers and backend servers observed.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use acacia_adapter_stand::caller::End;

/// What callers observed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of requests by outcome.
    pub ends: BTreeMap<&'static str, u64>,
    /// Requests whose flow was reset while no fault excused a reset.
    pub broken: Vec<String>,
    /// Requests that received the answer to a different request.
    pub mixed: Vec<String>,
}

impl Tally {
    /// Counts the outcome of a request.
    pub fn note(&mut self, end: End) {
        let name = match end {
            End::Answered => "answered",
            End::Refused => "refused",
            End::Reset => "reset",
            End::Silent => "silent",
            End::WrongAnswer => "mixed",
        };
        *self.ends.entry(name).or_default() += 1;
    }

    /// Number of requests with the outcome `name`.
    #[must_use]
    pub fn count(&self, name: &str) -> u64 {
        self.ends.get(name).copied().unwrap_or(0)
    }

    /// Adds the observations of another caller.
    pub fn add(&mut self, other: Tally) {
        for (name, count) in other.ends {
            *self.ends.entry(name).or_default() += count;
        }
        self.broken.extend(other.broken);
        self.mixed.extend(other.mixed);
    }
}

/// The requests that a backend server executed.
#[derive(Debug, Clone, Default)]
pub struct ServerRecord {
    /// Index of the server's service.
    pub service: usize,
    /// Identifier of the server.
    pub server: String,
    /// The executed requests, with one entry for each execution.
    pub requests: Vec<Vec<u8>>,
}

/// Description of a violated guarantee.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach(pub String);

/// Lists the guarantees that were violated. `tally` covers the fault phase, `recovered` the phase
/// that starts [`SETTLE`] after the last fault.
///
/// A request starts with the number of its service, which reveals a request that was executed by a
/// server of another service.
#[must_use]
pub fn judge(tally: &Tally, recovered: &Tally, ran: &[ServerRecord]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for request in &tally.mixed {
        breaches.push(Breach(format!(
            "a caller received the answer to a different request: {request}"
        )));
    }
    for flow in &tally.broken {
        breaches.push(Breach(format!(
            "a flow was reset although its server was healthy: {flow}"
        )));
    }
    let mut times: HashMap<&[u8], u32> = HashMap::new();
    for server in ran {
        for request in &server.requests {
            let times = times.entry(request).or_default();
            *times += 1;
            let text = String::from_utf8_lossy(request);
            if *times > 1 {
                breaches.push(Breach(format!(
                    "a request was executed more than once: {text}"
                )));
            }
            if !text.starts_with(&server.service.to_string()) {
                let name = &server.server;
                breaches.push(Breach(format!(
                    "a request was executed by server {name} of another service: {text}"
                )));
            }
        }
    }
    let all: u64 = recovered.ends.values().sum();
    let answered = recovered.count("answered");
    if all == 0 || answered * 100 < all * 99 {
        breaches.push(Breach(format!(
            "after recovery, {answered} of {all} requests were answered"
        )));
    }
    breaches
}

/// Time after the last fault by which the deployment must have recovered: the bound on propagating
/// new state, plus the time after which a missing server is given up, plus the time in which the
/// routers detect the readiness of a balancer.
pub const SETTLE: Duration = Duration::from_secs(4);
