use std::time::Duration;

use crate::{
    eject::Ejections,
    estimate::{Estimate, Estimates},
    limits::Limits,
    peer::Peers,
    plan::{Plan, Standing},
    pool::{Pool, Server},
    rate::{Governor, connections},
    report::Report,
    tally::Tally,
    weight,
};

/// State of the control thread for one pool.
#[derive(Debug, Clone)]
pub struct Controller {
    pool: Pool,
    limits: Limits,
    threads: u32,
    peers: Peers,
    estimates: Estimates,
    governor: Governor,
    ejections: Ejections,
    limiter: weight::Limiter,
    in_force: Vec<f64>,
    plan: u64,
    last: Option<Duration>,
}

impl Controller {
    /// Creates a controller without measurements for a balancer with `threads` traffic threads. All
    /// weights are equal until [`Controller::set_weights`] is called.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::{controller::Controller, limits::Limits, pool::{Class, Host, Mark, Pool}};
    /// let host = Host { slots: 2, connections: 2_000 };
    /// let class = Class { name: "check-ins".into(), mark: Mark::Paying, share: 1.0 };
    /// let pool = Pool { revision: 1, hosts: vec![host; 2], classes: vec![class] };
    /// let mut controller = Controller::new(pool, Limits::default(), 1);
    /// let (report, plan) = controller.tick(8, Duration::from_secs(1));
    /// assert_eq!((report.sequence, plan.number), (1, 1));
    /// assert_eq!(plan.rates, None);
    /// ```
    #[must_use]
    pub fn new(pool: Pool, limits: Limits, threads: u32) -> Self {
        let (servers, classes) = (pool.hosts.len(), pool.classes.len());
        Controller {
            peers: Peers::new(servers, classes),
            estimates: Estimates::new(servers),
            governor: Governor::new(classes),
            ejections: Ejections::new(servers),
            limiter: weight::Limiter::default(),
            in_force: vec![1.0; servers],
            plan: 0,
            last: None,
            threads: threads.max(1),
            pool,
            limits,
        }
    }

    /// Returns the controller for a changed configuration. `servers` and `classes` contain the old
    /// index of each server and class, or `None` for new ones; a new server starts cold. Reports of
    /// peers count again when the peers have the new configuration too; until then this balancer
    /// uses its own counts only, about an eighth of all with 8 balancers.
    #[must_use]
    pub fn reconfigure(
        self,
        pool: Pool,
        servers: &[Option<usize>],
        classes: &[Option<usize>],
    ) -> Self {
        let new = Controller::new(pool, self.limits.clone(), self.threads);
        let weight = |index: &Option<usize>| index.map_or(0.0, |index| self.in_force[index]);
        Controller {
            peers: self.peers.remap(servers, classes),
            estimates: self.estimates.remap(servers),
            ejections: self.ejections.remap(servers),
            in_force: servers.iter().map(weight).collect(),
            plan: self.plan,
            last: self.last,
            ..new
        }
    }

    /// Returns the number of traffic threads of this balancer. The rates of a plan are those of one
    /// thread.
    #[must_use]
    pub fn threads(&self) -> u32 {
        self.threads
    }

    /// Adds the counts of a gate.
    pub fn absorb(&mut self, tally: &Tally) {
        self.peers.absorb(tally);
    }

    /// Adds a peer's report. Returns `false` and ignores the report if it is for another revision of
    /// the configuration, a duplicate, or older than the last one.
    pub fn merge(&mut self, peer: u16, report: &Report, now: Duration) -> bool {
        report.revision == self.pool.revision && self.peers.merge(peer, report, now)
    }

    /// Removes a peer that has left, died or restarted.
    pub fn forget(&mut self, peer: u16) {
        self.peers.forget(peer);
    }

    /// Sets what a server's health endpoint reports. The endpoint may lag or be wrong, so it only
    /// lowers the trust in a server and never raises it.
    pub fn set_health(&mut self, server: Server, healthy: bool) {
        if let Some(estimate) = self.estimates.servers.get_mut(server.index()) {
            estimate.distrusted = !healthy;
        }
    }

    /// Sets whether a server is draining or not yet in use, so that it gets no new flows. A server
    /// that comes back starts cold.
    pub fn set_leaving(&mut self, server: Server, leaving: bool) {
        if let Some(estimate) = self.estimates.servers.get_mut(server.index()) {
            if estimate.leaving && !leaving {
                *estimate = Estimate::default();
            }
            estimate.leaving = leaving;
        }
    }

    /// Sets the weights of the present table of new flows, in any unit; 0 for a server that the
    /// table doesn't contain.
    pub fn set_weights(&mut self, weights: &[f64]) {
        let sum: f64 = weights.iter().sum();
        if weights.len() == self.in_force.len() && sum > 0.0 {
            let factor = weights.len() as f64 / sum;
            self.in_force = weights.iter().map(|weight| weight * factor).collect();
        }
    }

    /// Returns the work in progress per slot of the servers in use, over the last seconds.
    #[must_use]
    pub fn progress(&self) -> Option<f64> {
        self.estimates
            .progress(&self.pool, |server| !self.gets_no_flows(server))
    }

    /// Returns the measured capacity of a server in new flows per second, without the part that it
    /// sheds.
    #[must_use]
    pub fn capacity(&self, server: Server) -> Option<f64> {
        self.estimates.capacity(server.index())
    }

    /// Ends a tick, which is about a second long. Uses the counts absorbed and merged since the last
    /// call, and returns the report for the peers and the next plan for each gate. `members` is the
    /// number of balancers among which the fabric spreads new flows now, including this one.
    pub fn tick(&mut self, members: usize, now: Duration) -> (Report, Plan) {
        let passed = self
            .last
            .map_or(Duration::from_secs(1), |last| now.saturating_sub(last));
        self.last = Some(now);
        let members = members.max(1);
        let fresh = self.peers.fresh(now, &self.limits).min(members);
        let shed: Vec<f64> = self.estimates.servers.iter().map(|own| own.shed).collect();
        self.peers.subtract_shed(&shed);
        let (report, seen) = self
            .peers
            .end_tick(self.pool.revision, passed, &self.limits);
        // Scales the counts up for peers without a recent report: the fabric spreads packets evenly,
        // so the missing counts are like those of the others.
        let scale = members as f64 / fresh as f64;
        self.estimates
            .learn(&seen, scale, passed, now, &self.pool, &self.limits);
        self.governor
            .learn(&seen.classes, scale, passed, &self.limits);
        self.update_estimates(now);
        let part = 1.0 / (members as f64 * f64::from(self.threads));
        (report, self.plan(part, now))
    }

    /// Returns new weights for the table of new flows, by index of server and with a mean of 1, if
    /// they differ enough to be worth a change. Only the balancer that may write the table calls
    /// this.
    pub fn weights(&mut self, now: Duration) -> Option<Vec<f64>> {
        let lacks_samples = self.estimates.lacks_samples(now, &self.limits);
        let input = |(server, own): (usize, &Estimate)| weight::Input {
            capacity: self.estimates.capacity(server).filter(|_| !lacks_samples),
            ejected: self.gets_no_flows(server),
            trusted: !own.distrusted,
        };
        let inputs: Vec<weight::Input> = self
            .estimates
            .servers
            .iter()
            .enumerate()
            .map(input)
            .collect();
        let new = weight::next(&self.in_force, &inputs, &self.limits);
        let due = self.limiter.due(&self.in_force, &new, now, &self.limits);
        due.then_some(new)
    }

    fn gets_no_flows(&self, server: usize) -> bool {
        self.estimates.servers[server].leaving || self.ejections.ejected(server)
    }

    fn update_estimates(&mut self, now: Duration) {
        let silent = self.estimates.silent(&self.limits);
        for server in self.ejections.step(&silent, now, &self.limits) {
            self.estimates.reset(server);
        }
        self.estimates.learn_shed(&self.limits);
        let progress = self.progress();
        self.estimates
            .learn_spill(progress, &self.pool, &self.limits);
        if let Some(progress) = progress {
            self.governor.correct(progress, &self.pool, &self.limits);
        }
    }

    fn plan(&mut self, part: f64, now: Duration) -> Plan {
        self.plan += 1;
        let standing = |(server, own): (usize, &Estimate)| Standing {
            spill: own.spill,
            ejected: self.gets_no_flows(server),
        };
        let usable = (0..self.pool.hosts.len()).filter(|server| !self.gets_no_flows(*server));
        let capacity = |server| self.estimates.capacity(server);
        let known: Vec<f64> = usable.clone().filter_map(capacity).collect();
        let (pool, limits) = (&self.pool, &self.limits);
        let lacks_samples = self.estimates.lacks_samples(now, limits);
        let rates = || {
            self.governor
                .rates(&known, usable.count(), part, pool, limits)
        };
        Plan {
            number: self.plan,
            rates: if lacks_samples { None } else { rates() },
            standings: self
                .estimates
                .servers
                .iter()
                .enumerate()
                .map(standing)
                .collect(),
            connections: connections(&self.peers.open(), part, pool, limits),
        }
    }
}
