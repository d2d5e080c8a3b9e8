//! Load control in the control thread: merges the counts of traffic threads and peers, makes plans,
//! and decides which services are guarded, which may place flows off their base, and which servers
//! are ejected.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use acacia_burn as burn;
use acacia_config::Config;
use acacia_flow::snapshot::Address;
use acacia_load::{
    controller::Controller,
    limits::Limits,
    plan::Plan,
    pool::{self, Server},
    report::Report,
};
use acacia_tables::{Document, NOMINAL_WEIGHT, State};
use acacia_wire::collections::Map;

use crate::load::{Counts, Flows, Policies, Policy, policies};

/// Interval between plans. The limits of the load crate are tuned for it.
const PERIOD: Duration = Duration::from_secs(1);
/// Fraction of this balancer's share of the capacity above which a service is guarded. Openings of
/// a guarded service go through the flow's owners, which alone may refuse them.
///
/// A guard takes three seconds to be known to all balancers, during which nothing can be refused,
/// and a flood may rise within seconds. Starting at half leaves time for demand to double. The cost
/// of a guard is a redirect or two for each opening.
const GUARD_THRESHOLD: f64 = 0.5;
/// Work in progress per slot above which flows may be refused. With only a few callers per second,
/// capacity can't be measured well and may be underestimated, and callers would be refused although
/// servers are idle. Work in progress distinguishes idle from busy servers even with few samples;
/// at real saturation it is 1 or more.
const BUSY_THRESHOLD: f64 = 0.6;
/// Fraction of a server's flows that should go to their second choice, above which flows of the
/// service may be placed off their base in every bucket. Below it, adjusting the weights is enough.
/// Off-base placement costs a redirect for packets of flows that a balancer doesn't know.
const OFF_BASE_THRESHOLD: f64 = 0.25;
/// How long a guard and off-base placement stay in force after the last measurement that required
/// them, so that noise doesn't switch them on and off.
const HOLD_TIME: Duration = Duration::from_secs(60);
/// Weight of the latest second in the moving average of demand.
const DEMAND_SMOOTHING: f64 = 0.3;

/// Changes to pass to flow control and the tables.
#[derive(Debug, Default)]
pub struct Outcome {
    /// For each service, whether its openings are guarded.
    pub guard: Vec<(Address, bool)>,
    /// For each service, whether flows may be placed off their base in every bucket.
    pub off_base: Vec<(Address, bool)>,
    /// Servers, by number in the tables, that have just been ejected (`true`) or readmitted
    /// (`false`).
    pub down: Vec<(Address, u16, bool)>,
    /// Measured weights, by name of server.
    pub weights: Map<Arc<str>, u32>,
}

/// Load control of all services.
#[derive(Debug, Default)]
pub struct Pools {
    entries: Map<Address, Entry>,
    /// Revision of the configuration and version of the tables that the entries are for.
    made_for: Option<(u64, u64)>,
    weights: Map<Arc<str>, u32>,
    last_tick: Duration,
    /// The number of the latest round whose reports each peer was sent.
    sent: BTreeMap<u16, u32>,
    round: u32,
}

#[derive(Debug)]
struct Entry {
    name: Arc<str>,
    policy: Policy,
    controller: Controller,
    names: Vec<Arc<str>>,
    numbers: Vec<u16>,
    report: Report,
    /// New flows counted since the latest plan.
    counted: f64,
    /// Moving average of new flows per second.
    demand: f64,
    /// When the guard was last required.
    guard_needed: Option<Duration>,
    /// When off-base placement was last required.
    off_base_needed: Option<Duration>,
    /// Whether each server is ejected.
    ejected: Vec<bool>,
}

impl Pools {
    /// Applies a configuration and its tables, and returns whether they are new. Measurements of
    /// servers and classes that remain are kept.
    pub fn renew(
        &mut self,
        config: &Config,
        revision: u64,
        document: &Document,
        threads: usize,
    ) -> bool {
        let made_for = Some((revision, document.version));
        if self.made_for == made_for {
            return false;
        }
        self.made_for = made_for;
        let mut before = std::mem::take(&mut self.entries);
        for (address, policy) in policies(config, revision, document) {
            let Some(service) = document.service(&address) else {
                continue;
            };
            let old = before.remove(&address);
            self.entries
                .insert(address, Entry::new(policy, service, old, threads));
        }
        true
    }

    /// Adds a traffic thread's counts, and returns the flow counts for the burn report by service
    /// and mark.
    pub fn counts(&mut self, counts: &Counts) -> Vec<(Arc<str>, burn::Mark, burn::Count)> {
        let entry = self.entries.get_mut(&counts.address);
        let Some(entry) = entry.filter(|entry| entry.policy.pool.revision == counts.revision)
        else {
            return Vec::new();
        };
        let classes = counts.tally.classes.iter();
        entry.counted += classes
            .map(|class| f64::from(class.admitted + class.refused))
            .sum::<f64>();
        entry.controller.absorb(&counts.tally);
        let classes = entry.policy.pool.classes.iter().zip(&counts.flows);
        let counted = classes.filter(|(_, flows)| **flows != Flows::default());
        counted
            .map(|(class, flows)| {
                let mark = match class.mark {
                    pool::Mark::Paying => burn::Mark::Paying,
                    pool::Mark::Trial => burn::Mark::Trial,
                };
                let count = burn::Count {
                    good: flows.placed,
                    refused: flows.refused,
                    ..burn::Count::default()
                };
                (Arc::clone(&entry.name), mark, count)
            })
            .collect()
    }

    /// Adds the load reports of a peer.
    pub fn merge(&mut self, peer: u16, reports: &[(Address, Report)], now: Duration) {
        for (address, report) in reports {
            if let Some(entry) = self.entries.get_mut(address) {
                entry.controller.merge(peer, report, now);
            }
        }
    }

    /// Removes a peer that has left, died or restarted.
    pub fn forget(&mut self, peer: u16) {
        self.sent.remove(&peer);
        self.entries
            .values_mut()
            .for_each(|entry| entry.controller.forget(peer));
    }

    /// Returns the latest reports for a peer, or nothing if they were already returned for it.
    pub fn reports(&mut self, to: u16) -> Vec<(Address, Report)> {
        if self.sent.insert(to, self.round) == Some(self.round) {
            return Vec::new();
        }
        self.entries
            .iter()
            .map(|(address, entry)| (*address, entry.report.clone()))
            .collect()
    }

    /// Returns the policies for the traffic threads.
    #[must_use]
    pub fn policies(&self) -> Policies {
        self.entries
            .iter()
            .map(|(address, entry)| (*address, entry.policy.clone()))
            .collect()
    }

    /// Makes new plans once a second. `members` is the number of balancers that new flows are
    /// spread over, including this one. `is_writer` is whether this balancer may write the tables.
    pub fn tick(&mut self, now: Duration, members: usize, is_writer: bool) -> Option<Outcome> {
        let passed = now.saturating_sub(self.last_tick);
        if passed < PERIOD {
            return None;
        }
        self.last_tick = now;
        self.round = self.round.wrapping_add(1);
        let mut outcome = Outcome::default();
        for (address, entry) in &mut self.entries {
            entry.update(now, passed, members);
            outcome.guard.push((*address, entry.needs_guard(now)));
            outcome.off_base.push((*address, entry.needs_off_base(now)));
            let changed = entry.take_ejection_changes();
            outcome.down.extend(
                changed
                    .into_iter()
                    .map(|(server, down)| (*address, server, down)),
            );
            if is_writer && let Some(weights) = entry.controller.weights(now) {
                let named = entry.names.iter().zip(weights);
                self.weights.extend(named.map(|(name, weight)| {
                    (
                        Arc::clone(name),
                        (weight * f64::from(NOMINAL_WEIGHT)).round() as u32,
                    )
                }));
            }
        }
        outcome.weights = self.weights.clone();
        Some(outcome)
    }
}

impl Entry {
    fn new(
        policy: Policy,
        service: &acacia_tables::Service,
        old: Option<Entry>,
        threads: usize,
    ) -> Self {
        let names: Vec<Arc<str>> = service
            .servers
            .iter()
            .map(|server| Arc::clone(&server.name))
            .collect();
        let numbers: Vec<u16> = service.servers.iter().map(|server| server.number).collect();
        let pool = (*policy.pool).clone();
        let mut controller = match &old {
            Some(old) => {
                let servers: Vec<Option<usize>> = numbers
                    .iter()
                    .map(|number| old.numbers.iter().position(|other| other == number))
                    .collect();
                let before = &old.policy.pool.classes;
                let classes: Vec<Option<usize>> = pool
                    .classes
                    .iter()
                    .map(|class| before.iter().position(|other| other.name == class.name))
                    .collect();
                old.controller.clone().reconfigure(pool, &servers, &classes)
            }
            None => Controller::new(pool, Limits::default(), u32::try_from(threads).unwrap_or(1)),
        };
        for (at, server) in (0..).zip(&service.servers) {
            controller.set_leaving(Server(at), server.state != State::Up);
        }
        let weights: Vec<f64> = service
            .servers
            .iter()
            .map(|server| f64::from(server.weight))
            .collect();
        controller.set_weights(&weights);
        Entry {
            name: Arc::clone(&service.name),
            ejected: vec![false; numbers.len()],
            policy,
            controller,
            names,
            numbers,
            report: Report::default(),
            counted: 0.0,
            demand: old.as_ref().map_or(0.0, |old| old.demand),
            guard_needed: old.as_ref().and_then(|old| old.guard_needed),
            off_base_needed: old.as_ref().and_then(|old| old.off_base_needed),
        }
    }

    fn update(&mut self, now: Duration, passed: Duration, members: usize) {
        let rate = std::mem::take(&mut self.counted) / passed.as_secs_f64();
        self.demand += DEMAND_SMOOTHING * (rate - self.demand);
        let (report, plan) = self.controller.tick(members, now);
        self.report = report;
        self.policy.plan = Arc::new(plan);
        let refuses = self.is_busy();
        if refuses != self.policy.refuses {
            self.policy.refuses = refuses;
            self.log_refusing();
        }
    }

    /// Logs the measurements because of which flows may be refused from now on, or no longer. It
    /// explains the `flow-refused` lines of single callers.
    fn log_refusing(&self) {
        let (service, refuses) = (&self.name, self.policy.refuses);
        let progress = self.controller.progress().unwrap_or(0.0);
        let (demand, capacity) = (self.demand, self.capacity());
        log::info!(
            "event=refusing service={service} refuses={refuses} work_per_slot={progress:.2} demand={demand:.1} capacity={capacity:.1?}"
        );
    }

    /// Returns the rate at which the plan lets this balancer's threads admit flows in total, in
    /// flows per second.
    fn capacity(&self) -> Option<f64> {
        let Plan { rates, .. } = &*self.policy.plan;
        let threads = f64::from(self.controller.threads());
        rates.as_ref().map(|rates| rates.total * threads)
    }

    fn needs_guard(&mut self, now: Duration) -> bool {
        let is_near_capacity = self
            .capacity()
            .is_some_and(|capacity| self.demand > GUARD_THRESHOLD * capacity);
        if is_near_capacity && self.is_busy() {
            self.guard_needed = Some(now);
        }
        self.guard_needed
            .is_some_and(|since| now.saturating_sub(since) < HOLD_TIME)
    }

    fn is_busy(&self) -> bool {
        self.controller
            .progress()
            .is_some_and(|progress| progress > BUSY_THRESHOLD)
    }

    fn needs_off_base(&mut self, now: Duration) -> bool {
        let standings = &self.policy.plan.standings;
        if standings
            .iter()
            .any(|standing| standing.spill > OFF_BASE_THRESHOLD && !standing.ejected)
        {
            self.off_base_needed = Some(now);
        }
        self.off_base_needed
            .is_some_and(|since| now.saturating_sub(since) < HOLD_TIME)
    }

    /// Returns the servers that have been ejected or readmitted since the last call.
    fn take_ejection_changes(&mut self) -> Vec<(u16, bool)> {
        let standings = self.policy.plan.standings.iter();
        let changed: Vec<(usize, bool)> = standings
            .map(|standing| standing.ejected)
            .enumerate()
            .filter(|(at, ejected)| self.ejected.get(*at).is_some_and(|was| was != ejected))
            .collect();
        changed
            .into_iter()
            .map(|(at, ejected)| {
                self.ejected[at] = ejected;
                (self.numbers[at], ejected)
            })
            .collect()
    }
}
