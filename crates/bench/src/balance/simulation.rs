use std::{cmp::Reverse, collections::BinaryHeap, rc::Rc};

use acacia_load::{limits::Limits, pool, refuse::Reason, report::Report};
use rand::{RngExt as _, SeedableRng as _};
use rand_distr::{Distribution as _, Exp1};
use rand_pcg::Pcg64;

use super::{
    case::{BEGIN, CONNECTIONS, END, FEED_LIFE, FEEDS, Fault, HEAL, LONG, LONGER, Scene},
    fleet::{BALANCERS, Fleet, Update},
    model::{Job, Server, VICTIM, able, factor},
    outcome::Outcome,
    table::{BUCKETS, Table},
};

/// Callers wait this long for an answer, in seconds.
const DEADLINE: f64 = 10.0;
/// Time after which the fabric and the peers notice a dead balancer, in seconds.
const NOTICE: f64 = 2.0;
/// A caller resends an opening packet after this time, in seconds.
const RESEND: f64 = 1.0;
/// The balancer that dies.
const DEAD: usize = 0;
/// Delay of a health endpoint, in seconds.
const HEALTH_LAG: f64 = 10.0;
/// Part of the openings that a shedding server resets.
const SHED: f64 = 0.7;
/// Buckets into which skewed demand falls.
const HOT: usize = 8;
/// Part of a long request's work after which its first byte is sent.
const FIRST_BYTE: f64 = 0.3;

/// How new flows are let in and placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Equal shares, all let in.
    Equal,
    /// Shares by true speed, all let in.
    Static,
    /// Least open flows by the balancer's own knowledge, all let in.
    Least,
    /// The product's decision code.
    Ours,
    /// Knows every queue, speed and fault: soonest done. A bound.
    Ideal,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Policy; 5] = [
        Policy::Equal,
        Policy::Static,
        Policy::Least,
        Policy::Ours,
        Policy::Ideal,
    ];

    /// The name in options and lines.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Policy::Equal => "equal",
            Policy::Static => "static",
            Policy::Least => "least",
            Policy::Ours => "ours",
            Policy::Ideal => "ideal",
        }
    }
}

/// A flow that was let in.
#[derive(Debug, Clone, Copy)]
struct Flow {
    arrived: f64,
    reached: f64,
    started: f64,
    class: u8,
    ingress: u8,
    /// The balancer that saw its data.
    asked: u8,
    server: u16,
    long: bool,
}

#[derive(Clone)]
enum Event {
    Arrival { since: Option<f64>, class: usize },
    Reach(Job),
    Finish(Job),
    End { flow: u32 },
    Tick(usize),
    Mail(Rc<(usize, Report)>),
    Apply(usize, Update),
    Notice,
    Join,
    Health(usize, bool),
}

struct Entry {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct Simulation<'a> {
    scene: &'a Scene,
    policy: Policy,
    servers: Vec<Server>,
    flows: Vec<Flow>,
    /// Open flows by balancer and server, for [`Policy::Least`].
    local: Vec<Vec<u32>>,
    fleet: Fleet,
    table: Rc<Table>,
    base: Rc<Table>,
    events: BinaryHeap<Reverse<Entry>>,
    order: u64,
    /// Arrivals, their work and buckets: the same for every policy.
    demand: Pcg64,
    /// The fabric's choices and the rest.
    chance: Pcg64,
    outcome: Outcome,
}

/// Runs a case under a policy.
#[must_use]
pub fn run(scene: &Scene, policy: Policy, limits: &Limits, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scene, policy, limits, seed);
    while let Some(Reverse(entry)) = simulation.events.pop() {
        let now = entry.at as f64 / 1e9;
        if now > END + DEADLINE {
            break;
        }
        simulation.step(entry.event, now);
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
            base: Rc::clone(&table),
            table,
            events: BinaryHeap::new(),
            order: 0,
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
        match self.scene.case.fault {
            Fault::Balancer => self.at(BEGIN + NOTICE, Event::Notice),
            Fault::Cold => {
                self.fleet.leaving(VICTIM, true);
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

    fn at(&mut self, seconds: f64, event: Event) {
        self.order += 1;
        let at = (seconds * 1e9) as u64;
        self.events.push(Reverse(Entry {
            at,
            order: self.order,
            event,
        }));
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
            Event::Mail(mail) => self.mail(&mail, now),
            Event::Apply(balancer, update) => self.fleet.apply(balancer, &update),
            Event::Notice => (1..BALANCERS).for_each(|at| self.fleet.forget(at, DEAD)),
            Event::Join => self.join(),
            Event::Health(server, fine) => self.fleet.health(server, fine),
        }
    }

    /// An arrival of the Poisson stream, and the time of the next.
    fn generate(&mut self, now: f64) {
        if now >= END {
            return;
        }
        let rates = self.scene.rates(now);
        let sum = rates[0] + rates[1];
        let gap: f64 = Exp1.sample(&mut self.demand);
        let next = now + gap / sum;
        let change = self
            .scene
            .case
            .demand
            .iter()
            .map(|demand| demand.from)
            .find(|from| *from > now);
        // The stream is memoryless, so it may start anew where its rate changes.
        let next = change.map_or(next, |change| if next > change { change } else { next });
        self.at(
            next,
            Event::Arrival {
                since: None,
                class: 0,
            },
        );
        if change != Some(now) {
            let class = usize::from(self.demand.random::<f64>() * sum >= rates[0]);
            self.open(now, class, now);
        }
    }

    fn dead(&self, balancer: usize, now: f64) -> bool {
        self.scene.case.fault == Fault::Balancer && balancer == DEAD && now >= BEGIN
    }

    /// The balancer that the fabric hands a packet to.
    fn spray(&mut self, now: f64) -> usize {
        let known = self.scene.case.fault == Fault::Balancer && now >= BEGIN + NOTICE;
        let first = usize::from(known);
        self.chance.random_range(first..BALANCERS)
    }

    fn open(&mut self, since: f64, class: usize, now: f64) {
        let skewed = self.demand.random_bool(self.scene.case.skew);
        let bucket = self
            .demand
            .random_range(0..if skewed { HOT } else { BUCKETS });
        let long = self.demand.random_bool(LONG);
        let feed = self.demand.random_bool(FEEDS);
        let work: f64 = Exp1.sample(&mut self.demand);
        let work = work * self.scene.work * if long { LONGER } else { 1.0 };
        let ingress = self.spray(now);
        if self.dead(ingress, now) {
            self.at(
                now + RESEND,
                Event::Arrival {
                    since: Some(since),
                    class,
                },
            );
            return;
        }
        let measured = (BEGIN..END).contains(&since);
        self.outcome.marks[class].arrived += u64::from(measured);
        let Some(server) = self.place(ingress, class, bucket, work, now, measured) else {
            return;
        };
        if measured {
            self.servers[server].offered += work;
        }
        self.servers[server].promised += work;
        if self.sheds(server, now) {
            // The reset goes straight to the caller: no balancer sees anything of it.
            self.servers[server].promised -= work;
            return;
        }
        self.servers[server].open += 1;
        self.local[ingress][server] += 1;
        let flow = self.flows.len() as u32;
        self.flows.push(Flow {
            arrived: since,
            reached: now + self.scene.round_trip,
            started: 0.0,
            class: class as u8,
            ingress: ingress as u8,
            asked: 0,
            server: server as u16,
            long,
        });
        self.at(
            now + self.scene.round_trip,
            Event::Reach(Job { flow, work }),
        );
        if feed {
            let life: f64 = Exp1.sample(&mut self.demand);
            self.at(now + 1.0 + life * FEED_LIFE, Event::End { flow });
            self.flows[flow as usize].class |= FEED;
        }
    }

    fn place(
        &mut self,
        ingress: usize,
        class: usize,
        bucket: usize,
        work: f64,
        now: f64,
        measured: bool,
    ) -> Option<usize> {
        let (server, first) = match self.policy {
            Policy::Equal | Policy::Static => (self.table.ranked(bucket)[0].into(), true),
            Policy::Least => (self.least(ingress, now), true),
            Policy::Ideal => (self.soonest(work, now), true),
            Policy::Ours => match self.fleet.decide(ingress, class, bucket, now) {
                Ok(choice) => choice,
                Err(refusal) => {
                    let mark = &mut self.outcome.marks[class];
                    match refusal.reason {
                        Reason::Connections => mark.refused_connections += u64::from(measured),
                        _ => mark.refused_share += u64::from(measured),
                    }
                    return None;
                }
            },
        };
        if measured {
            self.outcome.placed += 1;
            self.outcome.second += u64::from(!first);
            let base = usize::from(self.base.ranked(bucket)[0]);
            self.outcome.pinned += u64::from(base != server);
        }
        Some(server)
    }

    fn sheds(&mut self, server: usize, now: f64) -> bool {
        let faulty = self.scene.case.fault == Fault::Shed && server == VICTIM;
        let shedding = faulty && (BEGIN..HEAL).contains(&now);
        self.servers[server].open >= CONNECTIONS || (shedding && self.chance.random_bool(SHED))
    }

    fn usable(&self, server: usize, now: f64) -> bool {
        self.scene.case.fault != Fault::Cold || server != VICTIM || now >= BEGIN
    }

    fn least(&mut self, ingress: usize, now: f64) -> usize {
        let count = self.servers.len();
        let offset = self.chance.random_range(0..count);
        let order = (0..count).map(|number| (number + offset) % count);
        let usable = order.filter(|server| self.usable(*server, now));
        usable
            .min_by_key(|server| self.local[ingress][*server])
            .unwrap_or(0)
    }

    fn soonest(&self, work: f64, now: f64) -> usize {
        let done = |index: usize| {
            let server = &self.servers[index];
            let speed = server.speed * factor(self.scene, index, now);
            (server.promised / f64::from(self.scene.slots) + work) / speed.max(1e-9)
        };
        let usable = (0..self.servers.len()).filter(|server| self.usable(*server, now));
        usable
            .min_by(|a, b| done(*a).total_cmp(&done(*b)))
            .unwrap_or(0)
    }

    fn reach(&mut self, job: Job, now: f64) {
        let index = job.flow as usize;
        let flow = self.flows[index];
        let server = pool::Server(flow.server);
        let (acknowledged, asked) = (self.spray(now), self.spray(now));
        let ingress = usize::from(flow.ingress);
        if ingress == acknowledged || ingress == asked {
            let took = std::time::Duration::from_secs_f64(self.scene.round_trip);
            self.fleet
                .saw(ingress, |tally| tally.completed(server, took));
        }
        self.fleet.saw(asked, |tally| tally.asked(server));
        self.flows[index].asked = asked as u8;
        if let Some(job) = self.servers[server.index()].take(job) {
            self.start(job, now);
        }
    }

    fn start(&mut self, job: Job, now: f64) {
        let flow = &mut self.flows[job.flow as usize];
        flow.started = now;
        let server = usize::from(flow.server);
        let speed = self.servers[server].speed;
        let factor = factor(self.scene, server, now);
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
        if factor(self.scene, server, now) == 0.0 {
            self.at(HEAL + job.work, Event::Finish(job));
            return;
        }
        if let Some(next) = self.servers[server].finish(job) {
            self.start(next, now);
        }
        self.answer(&flow, now);
        if flow.class & FEED == 0 {
            self.end(job.flow, now);
        }
    }

    fn answer(&mut self, flow: &Flow, now: f64) {
        let asked = usize::from(flow.asked);
        if self.spray(now) == asked || self.spray(now) == asked {
            let whole = now - flow.started;
            let first = flow.started + if flow.long { FIRST_BYTE * whole } else { whole };
            let took = first - flow.reached + self.scene.round_trip;
            let took = std::time::Duration::from_secs_f64(took.max(0.0));
            if took.as_secs_f64() <= DEADLINE {
                self.fleet.saw(asked, |tally| {
                    tally.answered(pool::Server(flow.server), took)
                });
            }
        }
        if (BEGIN..END).contains(&flow.arrived) {
            let took = now + self.scene.round_trip / 2.0 - flow.arrived;
            let mark = &mut self.outcome.marks[usize::from(flow.class & !FEED)];
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
        let seen = self.spray(now);
        let class = usize::from(flow.class & !FEED);
        self.fleet
            .saw(seen, |tally| tally.closed(pool::Server(flow.server), class));
    }

    fn tick(&mut self, balancer: usize, now: f64) {
        if self.dead(balancer, now) || now > END {
            return;
        }
        self.at(now + 1.0, Event::Tick(balancer));
        let noticed = self.scene.case.fault == Fault::Balancer && now >= BEGIN + NOTICE;
        let members = BALANCERS - usize::from(noticed);
        let writer = balancer == usize::from(noticed);
        let (report, update) = self.fleet.tick(balancer, members, writer, now);
        self.at(now + 0.002, Event::Mail(Rc::new((balancer, report))));
        if let Some(update) = update {
            self.spread(&update, now);
        }
        if writer && std::env::var_os("BALANCE_TRACE").is_some() {
            eprintln!("now={now:.0} {}", self.fleet.view(self.servers.len()));
        }
    }

    /// A table reaches the balancers at different times.
    fn spread(&mut self, update: &Update, now: f64) {
        for to in 0..BALANCERS {
            let delay = self.chance.random_range(0.1..1.5);
            self.at(now + delay, Event::Apply(to, update.clone()));
        }
    }

    fn mail(&mut self, mail: &(usize, Report), now: f64) {
        let cut = self.scene.case.fault == Fault::Silence && (BEGIN..HEAL).contains(&now);
        for to in (0..BALANCERS).filter(|to| *to != mail.0 && !cut) {
            self.fleet.deliver(mail.0, to, &mail.1, now);
        }
    }

    fn join(&mut self) {
        self.fleet.leaving(VICTIM, false);
        let weights = initial(self.scene, self.policy, BEGIN);
        self.table = Rc::new(Table::new(&weights, Some(&self.table)));
    }

    fn result(mut self) -> Outcome {
        for (index, server) in self.servers.iter().enumerate() {
            let faulty = matches!(self.scene.case.fault, Fault::Hung | Fault::Shed);
            let whole = !faulty || index != VICTIM;
            if whole {
                self.outcome
                    .uses
                    .push(server.offered / able(self.scene, index, BEGIN, END));
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
            .map(|index| able(self.scene, index, BEGIN, END))
            .sum();
        let possible = possible / self.scene.mean;
        self.outcome.goodput = good as f64 / possible.min(arrived as f64);
        self.outcome.tables = self.fleet.tables;
        self.outcome
    }
}

/// Set in a flow's class if it stays open as a feed.
const FEED: u8 = 0x80;

/// The weights that a policy begins with, or takes when a cold server joins.
fn initial(scene: &Scene, policy: Policy, now: f64) -> Vec<f64> {
    let weight = |(index, speed): (usize, &f64)| match policy {
        _ if scene.case.fault == Fault::Cold && index == VICTIM && now < BEGIN => 0.0,
        Policy::Static => *speed,
        _ => 1.0,
    };
    scene.speeds.iter().enumerate().map(weight).collect()
}
