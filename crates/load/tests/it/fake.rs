//! Simulation of servers with slots and a FIFO queue, and of eight balancers that use the real
//! decision code.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use acacia_load::{
    controller::Controller,
    gate::Gate,
    limits::Limits,
    plan::Plan,
    pool::{Pool, Server},
    report::Report,
};
use rand::RngExt as _;
use rand_pcg::Pcg64;

use crate::fixture::{PAYING, pool, rng, seconds};

const BALANCERS: usize = 8;
const ROUND_TRIP: f64 = 0.004;
/// Mean processing time of a request at speed 1, in seconds.
const WORK: f64 = 0.02;

/// An event that a balancer observes, ordered by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Observation {
    at: Duration,
    server: u16,
    balancer: usize,
    /// Class of a flow that ends; `None` if the event is an answer.
    closed: Option<usize>,
    took: Duration,
}

struct Balancer {
    gate: Gate,
    controller: Controller,
    plan: Plan,
    dead: bool,
}

/// Results of one call of [`Fake::run`].
#[derive(Debug, Default)]
pub struct Outcome {
    pub admitted: [u32; 2],
    pub refused: [u32; 2],
    /// Waits of paying callers in a server's queue, in seconds.
    pub waits: Vec<f64>,
    /// Times after which refused callers may retry, in seconds.
    pub after: Vec<f64>,
    /// Placed flows by server.
    pub placed: Vec<u32>,
    /// Ratio of the work done by the end of the run to the servers' capacity.
    pub goodput: f64,
}

impl Outcome {
    /// Returns the fraction of the flows that `server` got.
    pub fn part(&self, server: usize) -> f64 {
        f64::from(self.placed[server]) / f64::from(self.placed.iter().sum::<u32>().max(1))
    }

    /// Returns the 99th percentile of waits, in seconds.
    pub fn wait(&self) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_by(f64::total_cmp);
        waits.get(waits.len() * 99 / 100).copied().unwrap_or(0.0)
    }
}

/// The simulated deployment.
pub struct Fake {
    pub speeds: Vec<f64>,
    /// Factor on the speed of each server; 0 while it hangs.
    pub factors: Vec<f64>,
    /// Fraction of the samples that balancers see.
    pub visible: f64,
    /// Time in seconds beyond which answers are counted but not timed.
    pub timed_within: Option<f64>,
    pub weights: Vec<f64>,
    /// A server, and the fraction of its openings that it resets.
    pub shed: Option<(usize, f64)>,
    free: Vec<[f64; 2]>,
    balancers: Vec<Balancer>,
    /// Future events that balancers will observe.
    observations: BinaryHeap<Reverse<Observation>>,
    rng: Pcg64,
    now: f64,
    tick: u64,
}

impl Fake {
    pub fn new(speeds: &[f64], seed: u64) -> Self {
        let pool: Pool = pool(speeds.len());
        let balancer = || Balancer {
            gate: Gate::new(&pool, Limits::default()),
            controller: Controller::new(pool.clone(), Limits::default(), 1),
            plan: Plan::unrestricted(&pool),
            dead: false,
        };
        Fake {
            speeds: speeds.to_vec(),
            factors: vec![1.0; speeds.len()],
            visible: 0.23,
            timed_within: None,
            weights: vec![1.0; speeds.len()],
            shed: None,
            free: vec![[0.0; 2]; speeds.len()],
            balancers: (0..BALANCERS).map(|_| balancer()).collect(),
            observations: BinaryHeap::new(),
            rng: rng(seed),
            now: 0.0,
            tick: 0,
        }
    }

    /// Returns the flows per second that all servers together can process.
    pub fn capacity(&self) -> f64 {
        self.speeds.iter().sum::<f64>() * 2.0 / WORK
    }

    /// Kills a balancer; its peers remove it at once, but keep its last counts of open flows.
    pub fn kill(&mut self) {
        self.balancers[3].dead = true;
        let others = self.balancers.iter_mut().filter(|balancer| !balancer.dead);
        others.for_each(|balancer| balancer.controller.forget(3));
    }

    /// Changes the controller of every balancer.
    pub fn each(&mut self, change: impl Fn(&mut Controller)) {
        self.balancers
            .iter_mut()
            .for_each(|balancer| change(&mut balancer.controller));
    }

    /// Runs for `length` seconds with Poisson arrivals of paying and trial callers; `demand` is given
    /// in fractions of the capacity.
    pub fn run(&mut self, length: f64, demand: [f64; 2]) -> Outcome {
        let mut outcome = Outcome {
            placed: vec![0; self.speeds.len()],
            ..Outcome::default()
        };
        let rate = (demand[0] + demand[1]) * self.capacity();
        let end = self.now + length;
        let mut done = 0.0;
        loop {
            let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
            if self.now + gap >= end {
                self.now = end;
                outcome.goodput = done / (self.capacity() * WORK * length);
                return outcome;
            }
            self.now += gap;
            self.process_events();
            let paying = self.rng.random_bool(demand[0] / (demand[0] + demand[1]));
            self.handle_arrival(usize::from(!paying), end, &mut done, &mut outcome);
        }
    }

    fn random_balancer(&mut self) -> usize {
        loop {
            let at = self.rng.random_range(0..BALANCERS);
            if !self.balancers[at].dead {
                return at;
            }
        }
    }

    fn handle_arrival(&mut self, class: usize, end: f64, done: &mut f64, outcome: &mut Outcome) {
        let (now, at) = (seconds(self.now), self.random_balancer());
        let ranked = self.rank();
        let Balancer { gate, plan, .. } = &mut self.balancers[at];
        if let Err(refusal) = gate.admit(class, plan, now, &mut self.rng) {
            outcome.refused[class] += 1;
            outcome.after.push(refusal.after.as_secs_f64());
            return;
        }
        outcome.admitted[class] += 1;
        let position = gate
            .place(&ranked, plan, &mut self.rng)
            .expect("there are servers");
        let server = ranked[position];
        outcome.placed[server.index()] += 1;
        if let Some((shedding, part)) = self.shed
            && shedding == server.index()
            && self.rng.random_bool(part)
        {
            return;
        }
        let work = -self.rng.random::<f64>().max(1e-12).ln() * WORK;
        let speed = self.speeds[server.index()] * self.factors[server.index()];
        let slots = &mut self.free[server.index()];
        let slot = usize::from(slots[1] < slots[0]);
        let start = slots[slot].max(self.now);
        let finish = start + if speed > 0.0 { work / speed } else { 1e6 };
        if speed > 0.0 {
            slots[slot] = finish;
        }
        if class == PAYING {
            outcome
                .waits
                .push(if speed > 0.0 { start - self.now } else { 1e6 });
        }
        if finish <= end {
            *done += work;
        }
        self.observe(server, at, class, finish);
    }

    fn observe(&mut self, server: Server, ingress: usize, class: usize, finish: f64) {
        let asked = self.random_balancer();
        self.balancers[asked].gate.tally().asked(server);
        if self.rng.random_bool(self.visible) {
            let took = seconds(ROUND_TRIP);
            self.balancers[ingress].gate.tally().completed(server, took);
        }
        let last = self.random_balancer();
        let observation = |balancer, closed| Observation {
            at: seconds(finish),
            server: server.0,
            balancer,
            closed,
            took: seconds(finish - self.now + ROUND_TRIP),
        };
        let end = observation(last, Some(class));
        let answer = observation(asked, None);
        self.observations.push(Reverse(end));
        if self.rng.random_bool(self.visible) {
            self.observations.push(Reverse(answer));
        }
    }

    /// Returns a first and second choice, drawn by weight like the table's buckets.
    fn rank(&mut self) -> [Server; 2] {
        let first = self.pick(None);
        [Server(first), Server(self.pick(Some(first)))]
    }

    fn pick(&mut self, not: Option<u16>) -> u16 {
        let weight = |index: usize| match not {
            Some(not) if usize::from(not) == index => 0.0,
            _ => self.weights[index],
        };
        let sum: f64 = (0..self.weights.len()).map(weight).sum();
        let mut at = self.rng.random::<f64>() * sum;
        for index in 0..self.weights.len() {
            at -= weight(index);
            if at < 0.0 {
                return index as u16;
            }
        }
        0
    }

    fn process_events(&mut self) {
        let now = seconds(self.now);
        while let Some(Reverse(observation)) = self.observations.peek().copied() {
            if observation.at > now {
                break;
            }
            self.observations.pop();
            let tally = self.balancers[observation.balancer].gate.tally();
            match observation.closed {
                Some(class) => tally.closed(Server(observation.server), class),
                None => {
                    let took = observation.took;
                    let is_timed = self.timed_within.is_none_or(|limit| took <= seconds(limit));
                    tally.answered(Server(observation.server), is_timed.then_some(took));
                }
            }
        }
        while self.tick as f64 <= self.now {
            self.tick += 1;
            self.end_second();
        }
    }

    fn end_second(&mut self) {
        let now = seconds(self.now);
        let members = self
            .balancers
            .iter()
            .filter(|balancer| !balancer.dead)
            .count();
        let mut reports: Vec<(usize, Report)> = Vec::new();
        for (at, balancer) in self
            .balancers
            .iter_mut()
            .enumerate()
            .filter(|(_, own)| !own.dead)
        {
            let tally = balancer.gate.drain();
            balancer.controller.absorb(&tally);
            let (report, plan) = balancer.controller.tick(members, now);
            balancer.plan = plan;
            reports.push((at, report));
        }
        for (from, report) in &reports {
            for (to, balancer) in self.balancers.iter_mut().enumerate() {
                if to != *from {
                    balancer.controller.merge(*from as u16, report, now);
                }
            }
        }
        if let Some(weights) = self.balancers[0].controller.weights(now) {
            self.each(|controller| controller.set_weights(&weights));
            self.weights = weights;
        }
    }
}
