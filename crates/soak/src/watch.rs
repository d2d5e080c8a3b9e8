//! The promises, judged from what callers and backend servers have seen.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use acacia_adapter_stand::caller::End;

/// What callers have seen so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests by how they ended.
    pub ends: BTreeMap<&'static str, u64>,
    /// Flows that were reset though no server of theirs was disturbed, with their requests.
    pub broken: Vec<String>,
    /// Answers to something else.
    pub mixed: Vec<String>,
}

impl Tally {
    /// Takes in how a request ended.
    pub fn note(&mut self, end: End) {
        let name = match end {
            End::Answered => "answered",
            End::Refused => "refused",
            End::Reset => "reset",
            End::Silent => "silent",
            End::Mixed => "mixed",
        };
        *self.ends.entry(name).or_default() += 1;
    }

    /// How many requests ended so.
    #[must_use]
    pub fn count(&self, name: &str) -> u64 {
        self.ends.get(name).copied().unwrap_or(0)
    }

    /// Adds what another caller has seen.
    pub fn add(&mut self, other: Tally) {
        for (name, count) in other.ends {
            *self.ends.entry(name).or_default() += count;
        }
        self.broken.extend(other.broken);
        self.mixed.extend(other.mixed);
    }
}

/// What a server ran, and what reached it that was not meant for it.
#[derive(Debug, Clone, Default)]
pub struct ServerRecord {
    /// The server's service.
    pub service: usize,
    /// The server's name.
    pub server: String,
    /// Requests, each as often as it ran.
    pub requests: Vec<Vec<u8>>,
}

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach(pub String);

/// Judges what callers and servers have seen. `recovered` is what callers have seen once all was
/// well again for a while.
///
/// A request's bytes begin with its service's number, so that a server of another one shows.
#[must_use]
pub fn judge(tally: &Tally, recovered: &Tally, ran: &[ServerRecord]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for request in &tally.mixed {
        breaches.push(Breach(format!(
            "a caller got an answer to something else: {request}"
        )));
    }
    for flow in &tally.broken {
        breaches.push(Breach(format!(
            "a flow was reset though its server was well: {flow}"
        )));
    }
    let mut times: HashMap<&[u8], u32> = HashMap::new();
    for server in ran {
        for request in &server.requests {
            let times = times.entry(request).or_default();
            *times += 1;
            let text = String::from_utf8_lossy(request);
            if *times > 1 {
                breaches.push(Breach(format!("a request ran more than once: {text}")));
            }
            if !text.starts_with(&server.service.to_string()) {
                let name = &server.server;
                breaches.push(Breach(format!(
                    "a request ran at another service's {name}: {text}"
                )));
            }
        }
    }
    let all: u64 = recovered.ends.values().sum();
    let answered = recovered.count("answered");
    if all == 0 || answered * 100 < all * 99 {
        breaches.push(Breach(format!(
            "after all was well again, {answered} of {all} requests were answered"
        )));
    }
    breaches
}

/// How long after the last fault all must be well: the bound on new knowledge, the time in which a
/// server that is missing is given up, and the routers' notice.
pub const SETTLE: Duration = Duration::from_secs(4);
