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
    case::{MAX_CONNECTIONS, Scene},
    table::Table,
};

/// Number of balancers in a deployment.
pub const BALANCERS: usize = 8;
/// Fraction of reports between balancers that are lost.
const REPORT_LOSS: f64 = 0.02;

/// A balancer that runs the product's decision code.
struct Balancer {
    gate: Gate,
    controller: Controller,
    plan: Plan,
    table: Rc<Table>,
}

/// All balancers; each knows the others' counts only from delayed reports.
pub struct Fleet {
    balancers: Vec<Balancer>,
    weights: Vec<f64>,
    rng: Pcg64,
    /// Number of tables published.
    pub tables: u64,
}

/// A published table that has yet to reach the balancers.
#[derive(Clone)]
pub struct Update {
    table: Rc<Table>,
    weights: Rc<Vec<f64>>,
}

fn duration(now: f64) -> Duration {
    Duration::from_secs_f64(now)
}

impl Fleet {
    /// Creates balancers without measurements, which know the configuration and `table`, built from
    /// `weights`.
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
            connections: MAX_CONNECTIONS,
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

    /// Admits and places a new flow. Returns the server and whether it is the bucket's first
    /// choice.
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
            .admit(class, &balancer.plan, duration(now), &mut self.rng)?;
        let ranked = balancer.table.ranked(bucket).map(Server);
        let position = balancer
            .gate
            .place(&ranked, &balancer.plan, &mut self.rng)?;
        Ok((ranked[position].index(), position == 0))
    }

    /// Records an event of a flow that the balancer `at` observed.
    pub fn record(&mut self, at: usize, event: impl FnOnce(&mut acacia_load::tally::Tally)) {
        event(self.balancers[at].gate.tally());
    }

    /// Runs the periodic update of a balancer, once per second. Returns its report for the peers
    /// and, if it is the writer and its controller proposes new weights, a new table.
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
        let (report, plan) = balancer.controller.tick(members, duration(now));
        balancer.plan = plan;
        let weights = writer
            .then(|| balancer.controller.weights(duration(now)))
            .flatten();
        let old = Rc::clone(&balancer.table);
        let update = weights.map(|weights| self.publish(&weights, &old));
        (report, update)
    }

    /// Builds and publishes a table with new weights.
    pub fn publish(&mut self, weights: &[f64], old: &Table) -> Update {
        self.tables += 1;
        self.weights = weights.to_vec();
        Update {
            table: Rc::new(Table::new(weights, Some(old))),
            weights: Rc::new(weights.to_vec()),
        }
    }

    /// Applies a configuration change to every balancer that takes a server out of service or
    /// returns it.
    pub fn set_leaving(&mut self, server: usize, leaving: bool) {
        for balancer in &mut self.balancers {
            balancer
                .controller
                .set_leaving(Server(server as u16), leaving);
        }
    }

    /// Applies a published table at a balancer.
    pub fn apply(&mut self, at: usize, update: &Update) {
        let balancer = &mut self.balancers[at];
        balancer.table = Rc::clone(&update.table);
        balancer.controller.set_weights(&update.weights);
    }

    /// Delivers a report to a peer; a fraction [`REPORT_LOSS`] of them is lost.
    pub fn deliver(&mut self, from: usize, to: usize, report: &Report, now: f64) {
        if self.rng.random_bool(1.0 - REPORT_LOSS) {
            self.balancers[to]
                .controller
                .merge(from as u16, report, duration(now));
        }
    }

    /// Makes a balancer discard the state of a failed peer.
    pub fn forget(&mut self, at: usize, gone: usize) {
        self.balancers[at].controller.forget(gone as u16);
    }

    /// Sets the health that a server's endpoint reports, at every balancer.
    pub fn set_health(&mut self, server: usize, fine: bool) {
        for balancer in &mut self.balancers {
            balancer.controller.set_health(Server(server as u16), fine);
        }
    }

    /// Formats the state of balancer 0 for `--trace`: work in progress per slot, measured capacity,
    /// rates, standings and weights.
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
