//! The control thread's part of the decisions under load: merges counts, makes plans, and says
//! which services need their openings guarded or their buckets opened.

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
use acacia_tables::{Document, State, UNIT};
use acacia_wire::collections::Map;

use crate::load::{Counts, Flows, Policies, Policy, policies};

/// Between two turns: the period that the load crate's figures are made for.
const PERIOD: Duration = Duration::from_secs(1);
/// Part of this balancer's share of the capacity from which demand has openings guarded: they then
/// pass the flow's owners, who alone may refuse. Load: a flood that rises within seconds. Harm: a
/// guard takes three seconds to be known everywhere, in which nothing can be refused. Half leaves
/// time for demand to double; a guard costs a redirect or two for each opening.
const GUARD: f64 = 0.5;
/// Work in progress a slot from which flows may be refused. Load: a few callers a second, by whom
/// capacity can't be measured well. Harm: it is taken for less than it is, and callers are refused
/// by servers that stand idle. Work in progress tells idle from busy also with few samples; at a
/// true saturation it is 1 and more.
const BUSY: f64 = 0.6;
/// Part of a server's flows that should take their second choice from which its service's buckets
/// are opened for that. Below it the weights alone put it right, and open buckets cost a redirect
/// for packets of flows that a balancer doesn't know.
const LOOSEN: f64 = 0.25;
/// A guard and open buckets stay for this long after their reason has gone, so that they don't come
/// and go with noise.
const LINGER: Duration = Duration::from_secs(60);
/// Weight of the latest second in the running mean of demand.
const LATEST: f64 = 0.3;

/// What the flow control has to be told.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Services whose openings are to be guarded, or not any more.
    pub guard: Vec<(Address, bool)>,
    /// Services whose buckets are to be opened, or not any more.
    pub off_base: Vec<(Address, bool)>,
    /// Servers by number that are to be left alone, or not any more.
    pub down: Vec<(Address, u16, bool)>,
    /// Measured weights by name of server.
    pub weights: Map<Arc<str>, u32>,
}

/// The pools of all services.
#[derive(Debug, Default)]
pub struct Pools {
    entries: Map<Address, Entry>,
    made_for: Option<(u64, u64)>,
    weights: Map<Arc<str>, u32>,
    turned: Duration,
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
    counted: f64,
    demand: f64,
    guarded: Option<Duration>,
    loose: Option<Duration>,
    down: Vec<bool>,
}

impl Pools {
    /// Takes over a configuration and its tables; gives whether they are new here. What was
    /// measured of servers and classes that stay is kept.
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

    /// Takes in a traffic thread's counts; gives what they mean for the burn report, by service
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

    /// Takes in what a peer reported.
    pub fn merge(&mut self, peer: u16, reports: &[(Address, Report)], now: Duration) {
        for (address, report) in reports {
            if let Some(entry) = self.entries.get_mut(address) {
                entry.controller.merge(peer, report, now);
            }
        }
    }

    /// A peer has left, died or been started anew.
    pub fn forget(&mut self, peer: u16) {
        self.sent.remove(&peer);
        self.entries
            .values_mut()
            .for_each(|entry| entry.controller.forget(peer));
    }

    /// The reports of the latest turn, unless they were given for this peer before.
    pub fn reports(&mut self, to: u16) -> Vec<(Address, Report)> {
        if self.sent.insert(to, self.round) == Some(self.round) {
            return Vec::new();
        }
        self.entries
            .iter()
            .map(|(address, entry)| (*address, entry.report.clone()))
            .collect()
    }

    /// What traffic threads are to decide by.
    #[must_use]
    pub fn policies(&self) -> Policies {
        self.entries
            .iter()
            .map(|(address, entry)| (*address, entry.policy.clone()))
            .collect()
    }

    /// Makes new plans once a second. `members` are the balancers among which new flows are spread,
    /// this one included; `writes` says whether this one may write the tables.
    pub fn tick(&mut self, now: Duration, members: usize, writes: bool) -> Option<Outcome> {
        let passed = now.saturating_sub(self.turned);
        if passed < PERIOD {
            return None;
        }
        self.turned = now;
        self.round = self.round.wrapping_add(1);
        let mut outcome = Outcome::default();
        for (address, entry) in &mut self.entries {
            entry.turn(now, passed, members);
            outcome.guard.push((*address, entry.needs_guard(now)));
            outcome.off_base.push((*address, entry.needs_opening(now)));
            let changed = entry.changed();
            outcome.down.extend(
                changed
                    .into_iter()
                    .map(|(server, down)| (*address, server, down)),
            );
            if writes && let Some(weights) = entry.controller.weights(now) {
                let named = entry.names.iter().zip(weights);
                self.weights.extend(named.map(|(name, weight)| {
                    (Arc::clone(name), (weight * f64::from(UNIT)).round() as u32)
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
            down: vec![false; numbers.len()],
            policy,
            controller,
            names,
            numbers,
            report: Report::default(),
            counted: 0.0,
            demand: old.as_ref().map_or(0.0, |old| old.demand),
            guarded: old.as_ref().and_then(|old| old.guarded),
            loose: old.as_ref().and_then(|old| old.loose),
        }
    }

    fn turn(&mut self, now: Duration, passed: Duration, members: usize) {
        let rate = std::mem::take(&mut self.counted) / passed.as_secs_f64();
        self.demand += LATEST * (rate - self.demand);
        let (report, plan) = self.controller.tick(members, now);
        self.report = report;
        self.policy.plan = Arc::new(plan);
        let refuses = self.is_busy();
        if refuses != self.policy.refuses {
            self.policy.refuses = refuses;
            self.log_refusing();
        }
    }

    /// Tells on what figures flows may be refused from now on, or no longer. A refused caller's
    /// complaint leads here from its `flow-refused` line.
    fn log_refusing(&self) {
        let (service, refuses) = (&self.name, self.policy.refuses);
        let progress = self.controller.progress().unwrap_or(0.0);
        let (demand, capacity) = (self.demand, self.capacity());
        log::info!(
            "event=refusing service={service} refuses={refuses} work_per_slot={progress:.2} demand={demand:.1} capacity={capacity:.1?}"
        );
    }

    /// What this balancer's threads may let in together by the plan, in flows a second.
    fn capacity(&self) -> Option<f64> {
        let Plan { rates, .. } = &*self.policy.plan;
        let threads = f64::from(self.controller.threads());
        rates.as_ref().map(|rates| rates.total * threads)
    }

    fn needs_guard(&mut self, now: Duration) -> bool {
        let nears = self
            .capacity()
            .is_some_and(|capacity| self.demand > GUARD * capacity);
        if nears && self.is_busy() {
            self.guarded = Some(now);
        }
        self.guarded
            .is_some_and(|since| now.saturating_sub(since) < LINGER)
    }

    fn is_busy(&self) -> bool {
        self.controller
            .progress()
            .is_some_and(|progress| progress > BUSY)
    }

    fn needs_opening(&mut self, now: Duration) -> bool {
        let standings = &self.policy.plan.standings;
        if standings
            .iter()
            .any(|standing| standing.spill > LOOSEN && !standing.ejected)
        {
            self.loose = Some(now);
        }
        self.loose
            .is_some_and(|since| now.saturating_sub(since) < LINGER)
    }

    /// Servers that are newly left alone, or not any more.
    fn changed(&mut self) -> Vec<(u16, bool)> {
        let standings = self.policy.plan.standings.iter();
        let changed: Vec<(usize, bool)> = standings
            .map(|standing| standing.ejected)
            .enumerate()
            .filter(|(at, ejected)| self.down.get(*at).is_some_and(|down| down != ejected))
            .collect();
        changed
            .into_iter()
            .map(|(at, ejected)| {
                self.down[at] = ejected;
                (self.numbers[at], ejected)
            })
            .collect()
    }
}
