use std::{rc::Rc, time::Duration};

use acacia_load::{
    controller::Controller,
    gate::Gate,
    limits::Limits,
    plan::Plan,
    pool::{self, Class, Host, Pool, Server},
    refuse::Refusal,
    report::Report,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use super::{
    case::{CONNECTIONS, Scene},
    table::Table,
};

/// Balancers of a deployment.
pub const BALANCERS: usize = 8;
/// Part of the heartbeats that get lost.
const LOSS: f64 = 0.02;

/// A balancer with the product's decision code.
struct Balancer {
    gate: Gate,
    controller: Controller,
    plan: Plan,
    table: Rc<Table>,
}

/// All balancers, with stale counts of each other.
pub struct Fleet {
    balancers: Vec<Balancer>,
    weights: Vec<f64>,
    rng: Pcg64,
    /// Changes of the table.
    pub tables: u64,
}

/// A table on its way to the balancers.
#[derive(Clone)]
pub struct Update {
    table: Rc<Table>,
    weights: Rc<Vec<f64>>,
}

fn time(now: f64) -> Duration {
    Duration::from_secs_f64(now)
}

impl Fleet {
    /// Balancers that know nothing but the configuration and `table` with its `weights`.
    #[must_use]
    pub fn new(
        scene: &Scene,
        limits: &Limits,
        weights: &[f64],
        table: &Rc<Table>,
        seed: u64,
    ) -> Self {
        let host = Host {
            slots: scene.slots,
            connections: CONNECTIONS,
        };
        let class = |mark, share| Class {
            name: "service".into(),
            mark,
            share,
        };
        let pool = Pool {
            revision: 1,
            hosts: vec![host; scene.speeds.len()],
            classes: vec![
                class(pool::Mark::Paying, 4.0),
                class(pool::Mark::Trial, 1.0),
            ],
        };
        let balancer = || {
            let mut controller = Controller::new(pool.clone(), limits.clone(), 1);
            controller.set_weights(weights);
            Balancer {
                gate: Gate::new(&pool, limits.clone()),
                controller,
                plan: Plan::unrestricted(&pool),
                table: Rc::clone(table),
            }
        };
        Fleet {
            balancers: (0..BALANCERS).map(|_| balancer()).collect(),
            weights: weights.to_vec(),
            rng: Pcg64::seed_from_u64(seed ^ 0xf1ee7),
            tables: 0,
        }
    }

    /// Decides on a new flow: the server and whether it is the first choice.
    pub fn decide(
        &mut self,
        at: usize,
        class: usize,
        bucket: usize,
        now: f64,
    ) -> Result<(usize, bool), Refusal> {
        let balancer = &mut self.balancers[at];
        balancer
            .gate
            .admit(class, &balancer.plan, time(now), &mut self.rng)?;
        let ranked = balancer.table.ranked(bucket).map(Server);
        let position = balancer
            .gate
            .place(&ranked, &balancer.plan, &mut self.rng)?;
        Ok((ranked[position].index(), position == 0))
    }

    /// Feeds what the balancer `at` has seen of a flow.
    pub fn saw(&mut self, at: usize, event: impl FnOnce(&mut acacia_load::tally::Tally)) {
        event(self.balancers[at].gate.tally());
    }

    /// A second has passed at a balancer: gives its report for the peers and, if it is the one
    /// that may write and finds better weights, a table.
    pub fn tick(
        &mut self,
        at: usize,
        members: usize,
        writer: bool,
        now: f64,
    ) -> (Report, Option<Update>) {
        let balancer = &mut self.balancers[at];
        let tally = balancer.gate.drain();
        balancer.controller.absorb(&tally);
        let (report, plan) = balancer.controller.tick(members, time(now));
        balancer.plan = plan;
        let weights = writer
            .then(|| balancer.controller.weights(time(now)))
            .flatten();
        let old = Rc::clone(&balancer.table);
        let update = weights.map(|weights| self.publish(&weights, &old));
        (report, update)
    }

    /// A table with other weights.
    pub fn publish(&mut self, weights: &[f64], old: &Table) -> Update {
        self.tables += 1;
        self.weights = weights.to_vec();
        Update {
            table: Rc::new(Table::new(weights, Some(old))),
            weights: Rc::new(weights.to_vec()),
        }
    }

    /// The configuration takes a server out or lets it in, at every balancer.
    pub fn leaving(&mut self, server: usize, leaving: bool) {
        for balancer in &mut self.balancers {
            balancer
                .controller
                .set_leaving(Server(server as u16), leaving);
        }
    }

    /// A new table is in force at a balancer.
    pub fn apply(&mut self, at: usize, update: &Update) {
        let balancer = &mut self.balancers[at];
        balancer.table = Rc::clone(&update.table);
        balancer.controller.set_weights(&update.weights);
    }

    /// Delivers a report, or loses it.
    pub fn deliver(&mut self, from: usize, to: usize, report: &Report, now: f64) {
        if self.rng.random_bool(1.0 - LOSS) {
            self.balancers[to]
                .controller
                .merge(from as u16, report, time(now));
        }
    }

    /// A balancer learns that another is gone.
    pub fn forget(&mut self, at: usize, gone: usize) {
        self.balancers[at].controller.forget(gone as u16);
    }

    /// What a health endpoint says, at every balancer.
    pub fn health(&mut self, server: usize, fine: bool) {
        for balancer in &mut self.balancers {
            balancer.controller.set_health(Server(server as u16), fine);
        }
    }

    /// For looking into a run: work in progress a slot and capacity as one balancer measures them.
    #[must_use]
    pub fn view(&self, servers: usize) -> String {
        let controller = &self.balancers[0].controller;
        let capacity = |server| controller.capacity(Server(server as u16)).unwrap_or(0.0);
        let sum: f64 = (0..servers).map(capacity).sum();
        format!(
            "progress={:.2} capacity={sum:.0} rates={:?} standings={:?} weights={:.2?}",
            controller.progress().unwrap_or(0.0),
            self.balancers[0].plan.rates,
            self.balancers[0].plan.standings,
            self.weights
        )
    }
}
