use std::time::Duration;

use acacia_wire::collections::Map;

use crate::{
    limits::Limits,
    report::{ClassReport, Report, ServerReport},
    tally::Tally,
};

#[derive(Debug, Clone)]
struct Peer {
    sequence: u32,
    heard: Duration,
    servers: Vec<i32>,
    classes: Vec<i32>,
}

/// Flows opened less flows closed. As a flow may open at one balancer and close at another, only
/// the sum over all balancers means anything.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OpenFlows {
    /// By index of server.
    pub servers: Vec<f64>,
    /// By index of class.
    pub classes: Vec<f64>,
}

impl OpenFlows {
    fn new(servers: usize, classes: usize) -> Self {
        OpenFlows {
            servers: vec![0.0; servers],
            classes: vec![0.0; classes],
        }
    }

    fn add(&mut self, servers: &[i32], classes: &[i32]) {
        for (to, from) in self.servers.iter_mut().zip(servers) {
            *to += f64::from(*from);
        }
        for (to, from) in self.classes.iter_mut().zip(classes) {
            *to += f64::from(*from);
        }
    }

    fn scale(&mut self, factor: f64) {
        let values = self.servers.iter_mut().chain(&mut self.classes);
        values.for_each(|value| *value *= factor);
    }
}

/// What this balancer and its peers have counted.
#[derive(Debug, Clone)]
pub struct Peers {
    peers: Map<u16, Peer>,
    /// Counted here since the last tick.
    here: Tally,
    /// Reported by peers since the last tick.
    there: Tally,
    /// Opened less closed here.
    own: OpenFlows,
    /// The same of peers that are gone: the flows they opened may well live on.
    left: OpenFlows,
    sequence: u32,
}

impl Peers {
    /// Nothing counted, nobody heard.
    #[must_use]
    pub fn new(servers: usize, classes: usize) -> Self {
        Peers {
            peers: Map::default(),
            here: Tally::new(servers, classes),
            there: Tally::new(servers, classes),
            own: OpenFlows::new(servers, classes),
            left: OpenFlows::new(servers, classes),
            sequence: 0,
        }
    }

    /// The open flows of this balancer under a changed configuration: `servers` and `classes` give
    /// the old index of each new one. Peers count again when they report under it.
    #[must_use]
    pub fn remap(&self, servers: &[Option<usize>], classes: &[Option<usize>]) -> Self {
        let pick = |from: &[f64], index: &Option<usize>| {
            index
                .and_then(|index| from.get(index).copied())
                .unwrap_or(0.0)
        };
        let open = |open: &OpenFlows| OpenFlows {
            servers: servers
                .iter()
                .map(|index| pick(&open.servers, index))
                .collect(),
            classes: classes
                .iter()
                .map(|index| pick(&open.classes, index))
                .collect(),
        };
        Peers {
            own: open(&self.own),
            left: open(&self.left),
            sequence: self.sequence,
            ..Peers::new(servers.len(), classes.len())
        }
    }

    /// Adds counts of a thread of this balancer.
    pub fn absorb(&mut self, tally: &Tally) {
        self.here.add(tally);
        for (open, count) in self.own.servers.iter_mut().zip(&tally.servers) {
            *open += f64::from(count.opened) - f64::from(count.closed);
        }
        for (open, demand) in self.own.classes.iter_mut().zip(&tally.classes) {
            *open += f64::from(demand.admitted) - f64::from(demand.closed);
        }
    }

    /// Takes back flows counted as open of which `parts`, by server, were never completed: a server
    /// that sheds would look full for long after it has stopped.
    pub fn subtract_shed(&mut self, parts: &[f64]) {
        let mut lost = 0.0;
        let counts = self.here.servers.iter().zip(parts);
        for (open, (count, part)) in self.own.servers.iter_mut().zip(counts) {
            let own = f64::from(count.opened) * part;
            *open -= own;
            lost += own;
        }
        let demands = &self.here.classes;
        let admitted: f64 = demands
            .iter()
            .map(|demand| f64::from(demand.admitted))
            .sum();
        for (open, demand) in self.own.classes.iter_mut().zip(demands) {
            *open -= lost * f64::from(demand.admitted) / admitted.max(1.0);
        }
    }

    /// Adds a peer's report; false if it is a repeated or older one.
    pub fn merge(&mut self, peer: u16, report: &Report, now: Duration) -> bool {
        let newer = |known: &Peer| report.sequence.wrapping_sub(known.sequence) as i32 > 0;
        if !self.peers.get(&peer).is_none_or(newer) {
            return false;
        }
        self.there.add(&report.tally());
        let entry = Peer {
            sequence: report.sequence,
            heard: now,
            servers: report.servers.iter().map(|line| line.open).collect(),
            classes: report.classes.iter().map(|part| part.open).collect(),
        };
        self.peers.insert(peer, entry);
        true
    }

    /// Drops a peer that has left, died or been started anew, but keeps its count of open flows.
    pub fn forget(&mut self, peer: u16) {
        if let Some(gone) = self.peers.remove(&peer) {
            self.left.add(&gone.servers, &gone.classes);
        }
    }

    /// Balancers whose counts are fresh, this one included.
    #[must_use]
    pub fn fresh(&self, now: Duration, limits: &Limits) -> usize {
        let fresh = |peer: &&Peer| now.saturating_sub(peer.heard) <= limits.report_timeout;
        1 + self.peers.values().filter(fresh).count()
    }

    /// Open flows by everybody's latest count, none below zero.
    #[must_use]
    pub fn open(&self) -> OpenFlows {
        let mut sum = self.left.clone();
        for peer in self.peers.values() {
            sum.add(&peer.servers, &peer.classes);
        }
        let add = |to: &mut [f64], from: &[f64]| {
            to.iter_mut()
                .zip(from)
                .for_each(|(to, from)| *to = (*to + from).max(0.0));
        };
        add(&mut sum.servers, &self.own.servers);
        add(&mut sum.classes, &self.own.classes);
        sum
    }

    /// Ends a tick of length `passed`: gives the report for the peers and all that was counted by
    /// anybody since the last tick.
    ///
    /// Open counts forget with a time constant, since a flow whose end nobody sees (a phone that
    /// lost its cell) would count for ever.
    pub fn end_tick(
        &mut self,
        revision: u64,
        passed: Duration,
        limits: &Limits,
    ) -> (Report, Tally) {
        let keep = (-passed.as_secs_f64() / limits.open_flow_memory.as_secs_f64()).exp();
        self.own.scale(keep);
        self.left.scale(keep);
        self.sequence = self.sequence.wrapping_add(1);
        let lines = self.here.servers.iter().zip(&self.own.servers);
        let parts = self.here.classes.iter().zip(&self.own.classes);
        let report = Report {
            revision,
            sequence: self.sequence,
            servers: lines
                .map(|(count, open)| ServerReport::new(count, open.round() as i32))
                .collect(),
            classes: parts
                .map(|(demand, open)| ClassReport {
                    admitted: demand.admitted,
                    refused: demand.refused,
                    open: open.round() as i32,
                })
                .collect(),
        };
        let (servers, classes) = (self.here.servers.len(), self.here.classes.len());
        let mut sum = std::mem::replace(&mut self.there, Tally::new(servers, classes));
        sum.add(&self.here);
        self.here = Tally::new(servers, classes);
        (report, sum)
    }
}
