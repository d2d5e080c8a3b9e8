use acacia_load::refuse::Reason;
use rand::RngExt as _;
use rand_distr::{Distribution as _, Exp1};

use super::{
    case::{
        BEGIN, END, FEED_FRACTION, Fault, HEAL, LONG_FRACTION, LONG_WORK_RATIO, MAX_CONNECTIONS,
        MEAN_FEED_LIFETIME,
    },
    event::Event,
    model::{Job, VICTIM, speed_factor},
    simulation::{FEED_FLAG, Flow, Policy, Simulation},
    table::BUCKETS,
};

/// Retransmission timeout of an opening packet, in seconds.
const RETRANSMISSION_TIMEOUT: f64 = 1.0;
/// Fraction of new connections that a server with [`Fault::Shed`] resets.
const SHED_FRACTION: f64 = 0.7;
/// Number of buckets that skewed demand falls into.
const HOT_BUCKETS: usize = 8;

impl Simulation<'_> {
    /// Handles an arrival of the Poisson process and schedules the next one.
    pub(super) fn generate(&mut self, now: f64) {
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
        // A Poisson process is memoryless, so it can restart where its rate changes.
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

    pub(super) fn open(&mut self, since: f64, class: usize, now: f64) {
        let skewed = self.demand.random_bool(self.scene.case.skew);
        let bucket = self
            .demand
            .random_range(0..if skewed { HOT_BUCKETS } else { BUCKETS });
        let long = self.demand.random_bool(LONG_FRACTION);
        let feed = self.demand.random_bool(FEED_FRACTION);
        let work: f64 = Exp1.sample(&mut self.demand);
        let work = work * self.scene.work * if long { LONG_WORK_RATIO } else { 1.0 };
        let ingress = self.spray(now);
        if self.dead(ingress, now) {
            self.at(
                now + RETRANSMISSION_TIMEOUT,
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
        self.servers[server].outstanding_work += work;
        if self.sheds(server, now) {
            // Replies bypass the balancers, so none of them sees the reset.
            self.servers[server].outstanding_work -= work;
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
            self.at(now + 1.0 + life * MEAN_FEED_LIFETIME, Event::End { flow });
            self.flows[flow as usize].class |= FEED_FLAG;
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
            Policy::Cookie => (self.by_cookie(ingress, now), true),
            Policy::Ideal => (self.earliest_completion(work, now), true),
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
            self.outcome.off_first_choice += u64::from(!first);
            let base = usize::from(self.base.ranked(bucket)[0]);
            self.outcome.off_initial_table += u64::from(base != server);
        }
        Some(server)
    }

    fn sheds(&mut self, server: usize, now: f64) -> bool {
        let faulty = self.scene.case.fault == Fault::Shed && server == VICTIM;
        let shedding = faulty && (BEGIN..HEAL).contains(&now);
        self.servers[server].open >= MAX_CONNECTIONS
            || (shedding && self.chance.random_bool(SHED_FRACTION))
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

    fn by_cookie(&mut self, ingress: usize, now: f64) -> usize {
        let flow = self.chance.random();
        let open = &self.local[ingress];
        self.cookie
            .place(ingress, flow, open, |server| self.usable(server, now))
    }

    fn earliest_completion(&self, work: f64, now: f64) -> usize {
        let done = |index: usize| {
            let server = &self.servers[index];
            let speed = server.speed * speed_factor(self.scene, index, now);
            (server.outstanding_work / f64::from(self.scene.slots) + work) / speed.max(1e-9)
        };
        let usable = (0..self.servers.len()).filter(|server| self.usable(*server, now));
        usable
            .min_by(|a, b| done(*a).total_cmp(&done(*b)))
            .unwrap_or(0)
    }
}
