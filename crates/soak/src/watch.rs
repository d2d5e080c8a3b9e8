//! Checks the guarantees against what callers and backend servers observed.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use acacia_adapter_stand::caller::End;

use crate::{
    fault::{Entry, Fault},
    fleet::SERVICES,
};

/// What callers observed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of requests by outcome.
    pub ends: BTreeMap<&'static str, u64>,
    /// Requests whose flow was reset while no fault excused a reset.
    pub broken: Vec<String>,
    /// Requests that received the answer to a different request.
    pub mixed: Vec<String>,
    /// The attempts to open a flow.
    pub openings: Vec<Opening>,
}

/// An attempt to open a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Opening {
    /// Index of the service.
    pub service: usize,
    /// Start, relative to the start of the fault phase.
    pub at: Duration,
    /// Whether the flow opened and its first request was answered.
    pub is_served: bool,
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
        self.openings.extend(other.openings);
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

/// Time from the return of the store without entries until new flows must be served again: the bound
/// on propagating new state.
pub const REOPEN: Duration = Duration::from_secs(3);
/// Period after [`REOPEN`] in which new flows are counted. With [`REOPEN`] it fits into [`SETTLE`].
const COUNTED: Duration = Duration::from_secs(1);

/// Checks that new flows of each service are served again within [`REOPEN`] after a lapse: at least
/// three of four that begin in the second after that. Where other faults that stop new flows overlap
/// that period, it begins [`REOPEN`] after the last of them.
#[must_use]
pub fn judge_lapses(faults: &[Entry], openings: &[Opening]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let is_lapse = |entry: &&Entry| matches!(entry.fault, Fault::Lapse(_));
    for lapse in faults.iter().filter(is_lapse) {
        let from = reopened(lapse, faults);
        for (service, name) in SERVICES.iter().enumerate() {
            let counted = openings.iter().filter(|opening| {
                opening.service == service && (from..from + COUNTED).contains(&opening.at)
            });
            let all = counted.clone().count();
            let served = counted.filter(|opening| opening.is_served).count();
            if all == 0 || served * 4 < all * 3 {
                let end = lapse.end();
                breaches.push(Breach(format!(
                    "after the lapse that ended at {end:?}, {served} of {all} new flows of {name} from {from:?} on were served"
                )));
            }
        }
    }
    breaches
}

/// When new flows must be served again after `lapse`.
fn reopened(lapse: &Entry, faults: &[Entry]) -> Duration {
    let mut from = lapse.end() + REOPEN;
    loop {
        let overlapping = faults
            .iter()
            .filter(|entry| entry.fault.stops_new_flows() && entry.at < from + COUNTED);
        match overlapping.map(|entry| entry.end() + REOPEN).max() {
            Some(later) if later > from => from = later,
            _ => return from,
        }
    }
}

/// Time after the last fault by which the deployment must have recovered: the bound on propagating
/// new state, plus the time after which a missing server is given up, plus the time in which the
/// routers detect the readiness of a balancer.
pub const SETTLE: Duration = Duration::from_secs(4);
