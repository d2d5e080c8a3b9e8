use std::rc::Rc;

use acacia_load::{limits::Limits, pool, report::Report, tally::Tally};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

use super::{
    case::{BEGIN, END, Fault, HEAL, Scene},
    cookie::Cookie,
    event::{Event, Queue},
    fleet::{BALANCERS, Fleet, Update},
    model::{Job, Server, VICTIM, available_work, speed_factor},
    outcome::Outcome,
    table::Table,
};

/// Time that callers wait for an answer, in seconds.
const DEADLINE: f64 = 10.0;
/// Time until the fabric and the peers detect a failed balancer, in seconds.
const DETECTION_DELAY: f64 = 2.0;
/// Index of the balancer that fails.
const FAILED_BALANCER: usize = 0;
/// Delay until a health endpoint reports a change, in seconds.
const HEALTH_LAG: f64 = 10.0;
/// Fraction of a long request's service time after which the first byte of the answer is sent.
const FIRST_BYTE: f64 = 0.3;

/// How new flows are admitted and placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Equal weights; admits every flow.
    Equal,
    /// Weights by true speed; admits every flow.
    Static,
    /// Fewest open flows among those that the balancer placed itself; admits every flow.
    Least,
    /// The product's decision code.
    Ours,
    /// The product's decision code for packets with a routing cookie; admits every flow.
    Cookie,
    /// Earliest completion with knowledge of every queue, speed and fault: a reference bound.
    Ideal,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Policy; 6] = [
        Policy::Equal,
        Policy::Static,
        Policy::Least,
        Policy::Ours,
        Policy::Cookie,
        Policy::Ideal,
    ];

    /// Name of the policy in options and result lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Policy::Equal => "equal",
            Policy::Static => "static",
            Policy::Least => "least",
            Policy::Ours => "ours",
            Policy::Cookie => "cookie",
            Policy::Ideal => "ideal",
        }
    }
}

/// An admitted flow.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    pub(super) arrived: f64,
    pub(super) reached: f64,
    pub(super) started: f64,
    pub(super) class: u8,
    pub(super) ingress: u8,
    /// Index of the balancer that the request's data passed.
    pub(super) asked: u8,
    pub(super) server: u16,
    pub(super) long: bool,
}

/// State of a running simulation.
pub struct Simulation<'a> {
    pub(super) scene: &'a Scene,
    pub(super) policy: Policy,
    pub(super) servers: Vec<Server>,
    pub(super) flows: Vec<Flow>,
    /// Open flows by balancer and server, for [`Policy::Least`].
    pub(super) local: Vec<Vec<u32>>,
    pub(super) fleet: Fleet,
    pub(super) cookie: Cookie,
    pub(super) table: Rc<Table>,
    pub(super) base: Rc<Table>,
    pub(super) events: Queue,
    /// Random numbers for arrivals, their work and buckets; separate from `chance` so that every
    /// policy is compared on the same demand.
    pub(super) demand: Pcg64,
    /// Random numbers for the fabric's choices and everything else.
    pub(super) chance: Pcg64,
    pub(super) outcome: Outcome,
}

/// Runs a case under a policy and returns its measurements.
#[must_use]
pub fn run(scene: &Scene, policy: Policy, limits: &Limits, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scene, policy, limits, seed);
    while let Some((now, event)) = simulation.events.pop() {
        if now > END + DEADLINE {
            break;
        }
        simulation.step(event, now);
    }
    simulation.result()
}

impl<'a> Simulation<'a> {
    fn new(scene: &'a Scene, policy: Policy, limits: &Limits, seed: u64) -> Self {
        let servers: Vec<Server> = scene
            .speeds
            .iter()
            .map(|speed| Server::new(*speed, scene.slots))
            .collect();
        let weights = initial(scene, policy, 0.0);
        let table = Rc::new(Table::new(&weights, None));
        let fleet = Fleet::new(scene, limits, &weights, &table, seed);
        let mut simulation = Simulation {
            scene,
            policy,
            local: vec![vec![0; servers.len()]; BALANCERS],
            servers,
            flows: Vec::new(),
            fleet,
            cookie: Cookie::new(scene.speeds.len(), scene.slots),
            base: Rc::clone(&table),
            table,
            events: Queue::default(),
            demand: Pcg64::seed_from_u64(seed),
            chance: Pcg64::seed_from_u64(seed ^ 0xc4a9ce),
            outcome: Outcome::default(),
        };
        simulation.prepare();
        simulation
    }

    fn prepare(&mut self) {
        self.at(
            0.0,
            Event::Arrival {
                since: None,
                class: 0,
            },
        );
        if self.policy == Policy::Ours {
            for balancer in 0..BALANCERS {
                self.at(balancer as f64 / BALANCERS as f64, Event::Tick(balancer));
            }
        }
        if self.policy == Policy::Cookie {
            self.at(1.0, Event::Tick(0));
        }
        match self.scene.case.fault {
            Fault::Balancer => self.at(BEGIN + DETECTION_DELAY, Event::FailureDetected),
            Fault::Cold => {
                self.fleet.set_leaving(VICTIM, true);
                self.at(BEGIN, Event::Join);
            }
            Fault::Lies => {
                self.at(BEGIN, Event::Health(VICTIM + 2, false));
                self.at(BEGIN + HEALTH_LAG, Event::Health(VICTIM, false));
                self.at(HEAL + HEALTH_LAG, Event::Health(VICTIM, true));
            }
            _ => {}
        }
    }

    pub(super) fn at(&mut self, seconds: f64, event: Event) {
        self.events.push(seconds, event);
    }

    fn step(&mut self, event: Event, now: f64) {
        match event {
            Event::Arrival { since: None, .. } => self.generate(now),
            Event::Arrival {
                since: Some(since),
                class,
            } => self.open(since, class, now),
            Event::Reach(job) => self.reach(job, now),
            Event::Finish(job) => self.finish(job, now),
            Event::End { flow } => self.end(flow, now),
            Event::Tick(balancer) => self.tick(balancer, now),
            Event::Report(message) => self.deliver_report(&message, now),
            Event::Apply(balancer, update) => self.fleet.apply(balancer, &update),
            Event::FailureDetected => {
                (1..BALANCERS).for_each(|at| self.fleet.forget(at, FAILED_BALANCER))
            }
            Event::Join => self.join(),
            Event::Health(server, fine) => self.fleet.set_health(server, fine),
        }
    }

    pub(super) fn dead(&self, balancer: usize, now: f64) -> bool {
        self.scene.case.fault == Fault::Balancer && balancer == FAILED_BALANCER && now >= BEGIN
    }

    /// Chooses the balancer that the fabric sends a packet to.
    pub(super) fn spray(&mut self, now: f64) -> usize {
        let known = self.scene.case.fault == Fault::Balancer && now >= BEGIN + DETECTION_DELAY;
        let first = usize::from(known);
        self.chance.random_range(first..BALANCERS)
    }

    /// Chooses the balancer that a later packet of a flow passes. With cookies, routers send all
    /// packets of a flow to the same balancer as long as the set of balancers is unchanged.
    fn pick_balancer(&mut self, flow: &Flow, now: f64) -> usize {
        let ingress = usize::from(flow.ingress);
        match self.policy {
            Policy::Cookie if !self.dead(ingress, now) => ingress,
            _ => self.spray(now),
        }
    }

    fn reach(&mut self, job: Job, now: f64) {
        let index = job.flow as usize;
        let flow = self.flows[index];
        let server = pool::Server(flow.server);
        let (acknowledged, asked) = (
            self.pick_balancer(&flow, now),
            self.pick_balancer(&flow, now),
        );
        let ingress = usize::from(flow.ingress);
        if ingress == acknowledged || ingress == asked {
            let took = std::time::Duration::from_secs_f64(self.scene.round_trip);
            self.record(ingress, |tally| tally.completed(server, took));
        }
        self.record(asked, |tally| tally.asked(server));
        self.flows[index].asked = asked as u8;
        if let Some(job) = self.servers[server.index()].accept(job) {
            self.start(job, now);
        }
    }

    fn start(&mut self, job: Job, now: f64) {
        let flow = &mut self.flows[job.flow as usize];
        flow.started = now;
        let server = usize::from(flow.server);
        let speed = self.servers[server].speed;
        let factor = speed_factor(self.scene, server, now);
        let end = if factor > 0.0 {
            now + job.work / (speed * factor)
        } else {
            HEAL + job.work / speed
        };
        self.at(end, Event::Finish(job));
    }

    fn finish(&mut self, job: Job, now: f64) {
        let flow = self.flows[job.flow as usize];
        let server = usize::from(flow.server);
        if speed_factor(self.scene, server, now) == 0.0 {
            self.at(HEAL + job.work, Event::Finish(job));
            return;
        }
        if let Some(next) = self.servers[server].finish(job) {
            self.start(next, now);
        }
        self.answer(&flow, now);
        if flow.class & FEED_FLAG == 0 {
            self.end(job.flow, now);
        }
    }

    fn answer(&mut self, flow: &Flow, now: f64) {
        let asked = usize::from(flow.asked);
        // The acknowledgement of the first part of the answer gives a latency sample, unless it is
        // delayed. The caller's FIN shows only that there was an answer.
        let (acknowledged, closed) = (self.pick_balancer(flow, now), self.pick_balancer(flow, now));
        if acknowledged == asked || closed == asked {
            let whole = now - flow.started;
            let first = flow.started + if flow.long { FIRST_BYTE * whole } else { whole };
            let took = (first - flow.reached + self.scene.round_trip).max(0.0);
            let delayed = self.chance.random_bool(self.scene.delayed);
            let timed = acknowledged == asked && !delayed;
            let time = timed.then(|| std::time::Duration::from_secs_f64(took));
            if took <= DEADLINE {
                self.record(asked, |tally| {
                    tally.answered(pool::Server(flow.server), time)
                });
            }
        }
        if (BEGIN..END).contains(&flow.arrived) {
            let took = now + self.scene.round_trip / 2.0 - flow.arrived;
            let mark = &mut self.outcome.marks[usize::from(flow.class & !FEED_FLAG)];
            if took <= DEADLINE {
                mark.answered(took);
            }
        }
    }

    fn end(&mut self, flow: u32, now: f64) {
        let flow = self.flows[flow as usize];
        let server = usize::from(flow.server);
        self.servers[server].open -= 1;
        self.local[usize::from(flow.ingress)][server] -= 1;
        let seen = self.pick_balancer(&flow, now);
        let class = usize::from(flow.class & !FEED_FLAG);
        self.record(seen, |tally| tally.closed(pool::Server(flow.server), class));
    }

    fn record(&mut self, at: usize, event: impl FnOnce(&mut Tally)) {
        match self.policy {
            Policy::Cookie => self.cookie.record(at, event),
            _ => self.fleet.record(at, event),
        }
    }

    fn is_silent(&self, now: f64) -> bool {
        self.scene.case.fault == Fault::Silence && (BEGIN..HEAL).contains(&now)
    }

    fn tick(&mut self, balancer: usize, now: f64) {
        if self.policy == Policy::Cookie {
            if now <= END {
                self.cookie.tick(self.is_silent(now), now);
                self.at(now + 1.0, Event::Tick(balancer));
            }
            return;
        }
        if self.dead(balancer, now) || now > END {
            return;
        }
        self.at(now + 1.0, Event::Tick(balancer));
        let noticed = self.scene.case.fault == Fault::Balancer && now >= BEGIN + DETECTION_DELAY;
        let members = BALANCERS - usize::from(noticed);
        let writer = balancer == usize::from(noticed);
        let (report, update) = self.fleet.tick(balancer, members, writer, now);
        self.at(now + 0.002, Event::Report(Rc::new((balancer, report))));
        if let Some(update) = update {
            self.spread(&update, now);
        }
        if writer && self.scene.trace {
            eprintln!("now={now:.0} {}", self.fleet.view(self.servers.len()));
        }
    }

    /// Schedules an update to reach each balancer after a random delay.
    fn spread(&mut self, update: &Update, now: f64) {
        for to in 0..BALANCERS {
            let delay = self.chance.random_range(0.1..1.5);
            self.at(now + delay, Event::Apply(to, update.clone()));
        }
    }

    fn deliver_report(&mut self, message: &(usize, Report), now: f64) {
        let cut = self.is_silent(now);
        for to in (0..BALANCERS).filter(|to| *to != message.0 && !cut) {
            self.fleet.deliver(message.0, to, &message.1, now);
        }
    }

    fn join(&mut self) {
        self.fleet.set_leaving(VICTIM, false);
        let weights = initial(self.scene, self.policy, BEGIN);
        self.table = Rc::new(Table::new(&weights, Some(&self.table)));
    }

    fn result(mut self) -> Outcome {
        for (index, server) in self.servers.iter().enumerate() {
            let faulty = matches!(self.scene.case.fault, Fault::Hung | Fault::Shed);
            let whole = !faulty || index != VICTIM;
            if whole {
                self.outcome
                    .utilisations
                    .push(server.offered / available_work(self.scene, index, BEGIN, END));
            }
        }
        let mut arrived = 0;
        let mut good = 0;
        for mark in &mut self.outcome.marks {
            let refused = mark.refused_share + mark.refused_connections;
            mark.failed = mark.arrived - refused - mark.good;
            arrived += mark.arrived;
            good += mark.good;
        }
        let servers = 0..self.servers.len();
        let possible: f64 = servers
            .map(|index| available_work(self.scene, index, BEGIN, END))
            .sum();
        let possible = possible / self.scene.mean;
        self.outcome.goodput = good as f64 / possible.min(arrived as f64);
        self.outcome.tables = self.fleet.tables;
        self.outcome
    }
}

/// Flag in a flow's class byte: the flow stays open as a feed.
pub(super) const FEED_FLAG: u8 = 0x80;

/// Weights that a policy starts with, and those that it uses once a cold server has joined.
fn initial(scene: &Scene, policy: Policy, now: f64) -> Vec<f64> {
    let weight = |(index, speed): (usize, &f64)| match policy {
        _ if scene.case.fault == Fault::Cold && index == VICTIM && now < BEGIN => 0.0,
        Policy::Static => *speed,
        _ => 1.0,
    };
    scene.speeds.iter().enumerate().map(weight).collect()
}
