use std::time::Duration;

use acacia_wire::collections::Map;

use crate::{
    limits::Limits,
    report::{self, Report},
    tally::Tally,
};

#[derive(Debug, Clone)]
struct Peer {
    sequence: u32,
    last_report: Duration,
    servers: Vec<i32>,
    classes: Vec<i32>,
}

/// Numbers of opened minus closed flows. A flow may open at one balancer and close at another, so
/// only the sum over all balancers is meaningful.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Flows {
    /// Numbers by index of server.
    pub servers: Vec<f64>,
    /// Numbers by index of class.
    pub classes: Vec<f64>,
}

impl Flows {
    fn new(servers: usize, classes: usize) -> Self {
        Flows {
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

/// Counts of this balancer and of its peers.
#[derive(Debug, Clone)]
pub struct Peers {
    peers: Map<u16, Peer>,
    /// Counts of this balancer since the last tick.
    local: Tally,
    /// Counts that peers have reported since the last tick.
    remote: Tally,
    /// Open flows by the counts of this balancer.
    own: Flows,
    /// Open flows by the last counts of peers that are gone; many of these flows are still open.
    departed: Flows,
    sequence: u32,
}

impl Peers {
    /// Creates zero counts without peers.
    #[must_use]
    pub fn new(servers: usize, classes: usize) -> Self {
        Peers {
            peers: Map::default(),
            local: Tally::new(servers, classes),
            remote: Tally::new(servers, classes),
            own: Flows::new(servers, classes),
            departed: Flows::new(servers, classes),
            sequence: 0,
        }
    }

    /// Returns the counts of open flows for a changed configuration. `servers` and `classes` contain
    /// the old index of each new server and class. Counts of peers are dropped until they report
    /// with the new configuration.
    #[must_use]
    pub fn remap(&self, servers: &[Option<usize>], classes: &[Option<usize>]) -> Self {
        let pick = |from: &[f64], index: &Option<usize>| {
            index
                .and_then(|index| from.get(index).copied())
                .unwrap_or(0.0)
        };
        let open = |open: &Flows| Flows {
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
            departed: open(&self.departed),
            sequence: self.sequence,
            ..Peers::new(servers.len(), classes.len())
        }
    }

    /// Adds the counts of a thread of this balancer.
    pub fn absorb(&mut self, tally: &Tally) {
        self.local.add(tally);
        for (open, count) in self.own.servers.iter_mut().zip(&tally.servers) {
            *open += f64::from(count.opened) - f64::from(count.closed);
        }
        for (open, count) in self.own.classes.iter_mut().zip(&tally.classes) {
            *open += f64::from(count.admitted) - f64::from(count.closed);
        }
    }

    /// Subtracts the flows that servers have shed from the open flows; `parts` contains the shed
    /// fraction of each server's new flows. Otherwise a server would look full long after it has
    /// stopped shedding.
    pub fn subtract_shed(&mut self, parts: &[f64]) {
        let mut shed = 0.0;
        let counts = self.local.servers.iter().zip(parts);
        for (open, (count, part)) in self.own.servers.iter_mut().zip(counts) {
            let own = f64::from(count.opened) * part;
            *open -= own;
            shed += own;
        }
        let classes = &self.local.classes;
        let admitted: f64 = classes.iter().map(|count| f64::from(count.admitted)).sum();
        for (open, count) in self.own.classes.iter_mut().zip(classes) {
            *open -= shed * f64::from(count.admitted) / admitted.max(1.0);
        }
    }

    /// Adds a peer's report. Returns `false`, without any change, if the report is a duplicate or
    /// older than the last one.
    pub fn merge(&mut self, peer: u16, report: &Report, now: Duration) -> bool {
        let newer = |known: &Peer| report.sequence.wrapping_sub(known.sequence) as i32 > 0;
        if !self.peers.get(&peer).is_none_or(newer) {
            return false;
        }
        self.remote.add(&report.tally());
        let entry = Peer {
            sequence: report.sequence,
            last_report: now,
            servers: report.servers.iter().map(|server| server.open).collect(),
            classes: report.classes.iter().map(|class| class.open).collect(),
        };
        self.peers.insert(peer, entry);
        true
    }

    /// Removes a peer that has left, died or restarted, but keeps its count of open flows.
    pub fn forget(&mut self, peer: u16) {
        if let Some(gone) = self.peers.remove(&peer) {
            self.departed.add(&gone.servers, &gone.classes);
        }
    }

    /// Returns the number of balancers with a recent report, including this one.
    #[must_use]
    pub fn fresh(&self, now: Duration, limits: &Limits) -> usize {
        let fresh = |peer: &&Peer| now.saturating_sub(peer.last_report) <= limits.report_timeout;
        1 + self.peers.values().filter(fresh).count()
    }

    /// Returns the open flows by the latest counts of all balancers, each number at least zero.
    #[must_use]
    pub fn open(&self) -> Flows {
        let mut sum = self.departed.clone();
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

    /// Ends a tick of length `passed`. Returns the report for the peers and the counts of all
    /// balancers since the last tick.
    ///
    /// Counts of open flows decay with a time constant, since a flow whose end no balancer sees
    /// (such as that of a phone that lost its network) would otherwise count forever.
    pub fn end_tick(
        &mut self,
        revision: u64,
        passed: Duration,
        limits: &Limits,
    ) -> (Report, Tally) {
        let keep = (-passed.as_secs_f64() / limits.open_flow_memory.as_secs_f64()).exp();
        self.own.scale(keep);
        self.departed.scale(keep);
        self.sequence = self.sequence.wrapping_add(1);
        let servers = self.local.servers.iter().zip(&self.own.servers);
        let classes = self.local.classes.iter().zip(&self.own.classes);
        let report = Report {
            revision,
            sequence: self.sequence,
            servers: servers
                .map(|(count, open)| report::Server::new(count, open.round() as i32))
                .collect(),
            classes: classes
                .map(|(count, open)| report::Class {
                    admitted: count.admitted,
                    refused: count.refused,
                    open: open.round() as i32,
                })
                .collect(),
        };
        let (servers, classes) = (self.local.servers.len(), self.local.classes.len());
        let mut sum = std::mem::replace(&mut self.remote, Tally::new(servers, classes));
        sum.add(&self.local);
        self.local = Tally::new(servers, classes);
        (report, sum)
    }
}
