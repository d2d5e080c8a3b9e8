use std::time::Duration;

use crate::{
    eject::{Bench, shed, silent},
    limits::Limits,
    peer::{Open, Peers},
    plan::{Plan, Rates, Standing},
    pool::{Class, Mark, Pool, Server},
    report::Report,
    signal::Window,
    speed::Speed,
    tally::{Count, Demand, Tally},
    weight::{self, Pace, Sight},
};

/// Lowest and highest correction of the measured capacity; beyond them the estimate is wrong in
/// a way that a factor doesn't mend.
const CORRECTION: std::ops::RangeInclusive<f64> = 0.5..=4.0;
/// A part of the flows that isn't worth the pins.
const NEGLIGIBLE: f64 = 0.01;
/// Time constant of what all servers have in common: the part of answers that are seen, and flows
/// to a question.
const COMMON: Duration = Duration::from_secs(60);

/// Estimates of one server.
#[derive(Debug, Clone, Default)]
struct Estimate {
    fast: Window,
    slow: Window,
    speed: Speed,
    /// Questions since the last tick that saw an answer.
    waiting: f64,
    /// All flows over those that the counts are of. It isn't applied to the counts themselves: few
    /// samples must go on looking like few when they are taken as evidence.
    scale: f64,
    /// Part of its flows that it sheds.
    shed: f64,
    spill: f64,
    distrusted: bool,
    leaving: bool,
}

impl Estimate {
    /// Work in progress (Little's law: arrivals a second times the time each takes), in questions.
    /// Nothing without samples.
    fn progress(&self) -> Option<f64> {
        let network = self.slow.network().unwrap_or(0.0);
        self.fast
            .work(network)
            .map(|work| work * self.fast.rate() * self.scale)
    }
}

/// Demand of one class, in flows a second.
#[derive(Debug, Clone, Copy, Default)]
struct Flow {
    admitted: f64,
    refused: f64,
}

/// The control thread's part of the decisions on one pool.
#[derive(Debug, Clone)]
pub struct Controller {
    pool: Pool,
    limits: Limits,
    threads: u32,
    peers: Peers,
    estimates: Vec<Estimate>,
    common: Window,
    demand: Vec<Flow>,
    bench: Bench,
    pace: Pace,
    in_force: Vec<f64>,
    correction: f64,
    plan: u64,
    last: Option<Duration>,
    sampled: Option<Duration>,
}

impl Controller {
    /// A controller without any figure, for a balancer with `threads` traffic threads. Weights are
    /// equal until [`Controller::in_force`] says otherwise.
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
            estimates: vec![Estimate::default(); servers],
            common: Window::default(),
            demand: vec![Flow::default(); classes],
            bench: Bench::new(servers),
            pace: Pace::default(),
            in_force: vec![1.0; servers],
            correction: 1.0,
            plan: 0,
            last: None,
            sampled: None,
            threads: threads.max(1),
            pool,
            limits,
        }
    }

    /// Adds what a gate has counted.
    pub fn absorb(&mut self, tally: &Tally) {
        self.peers.absorb(tally);
    }

    /// Adds a peer's report. One that was made under another configuration or merged before is
    /// ignored, which it says by false.
    pub fn merge(&mut self, peer: u16, report: &Report, now: Duration) -> bool {
        report.revision == self.pool.revision && self.peers.merge(peer, report, now)
    }

    /// A peer has left, died or been started anew.
    pub fn forget(&mut self, peer: u16) {
        self.peers.forget(peer);
    }

    /// What a server's health endpoint says. It lags or misleads, so it only ever lowers trust.
    pub fn health(&mut self, server: Server, fine: bool) {
        if let Some(estimate) = self.estimates.get_mut(server.index()) {
            estimate.distrusted = !fine;
        }
    }

    /// Whether a server is leaving (draining) or not yet in use: it gets no new flows. One that
    /// comes back starts cold.
    pub fn leaving(&mut self, server: Server, leaving: bool) {
        if let Some(estimate) = self.estimates.get_mut(server.index()) {
            if estimate.leaving && !leaving {
                *estimate = Estimate::default();
            }
            estimate.leaving = leaving;
        }
    }

    /// The weights of the table of new flows that is in force now, in any unit; 0 for a server
    /// that is not in it.
    pub fn in_force(&mut self, weights: &[f64]) {
        let sum: f64 = weights.iter().sum();
        if weights.len() == self.in_force.len() && sum > 0.0 {
            let factor = weights.len() as f64 / sum;
            self.in_force = weights.iter().map(|weight| weight * factor).collect();
        }
    }

    /// Work in progress a slot over the whole pool, from the last seconds.
    #[must_use]
    pub fn progress(&self) -> Option<f64> {
        let (mut progress, mut slots) = (0.0, 0.0);
        for (server, host) in self.pool.hosts.iter().enumerate() {
            if self.out(server) {
                continue;
            }
            if let Some(own) = self.estimates[server].progress() {
                progress += own;
                slots += f64::from(host.slots.max(1));
            }
        }
        (slots > 0.0).then(|| progress / slots)
    }

    /// Measured capacity of a server in new flows a second, less what it sheds.
    #[must_use]
    pub fn capacity(&self, server: Server) -> Option<f64> {
        let estimate = self.estimates.get(server.index())?;
        let questions = estimate.speed.questions()? * (1.0 - estimate.shed);
        let flows = if self.common.asked > 0.0 {
            self.common.opened / self.common.asked
        } else {
            1.0
        };
        Some(questions * flows)
    }

    /// Ends a second (or so): takes what was absorbed and merged since the last call, and gives
    /// the report for the peers and the next plan for each of the gates. `members` are the
    /// balancers among which the fabric spreads new flows now, this one included.
    pub fn tick(&mut self, members: usize, now: Duration) -> (Report, Plan) {
        let passed = self
            .last
            .map_or(Duration::from_secs(1), |last| now.saturating_sub(last));
        self.last = Some(now);
        let members = members.max(1);
        let fresh = self.peers.fresh(now, &self.limits).min(members);
        let shed: Vec<f64> = self.estimates.iter().map(|own| own.shed).collect();
        self.peers.uncount(&shed);
        let (report, seen) = self.peers.turn(self.pool.revision, passed, &self.limits);
        // Counts of silent peers are missing: what the others saw stands for them, as the fabric
        // spreads packets evenly.
        let scale = members as f64 / fresh as f64;
        self.learn(&seen, scale, passed, now);
        let back = self.bench.step(&self.silent(), now, &self.limits);
        for server in back {
            let estimate = &mut self.estimates[server];
            *estimate = Estimate {
                distrusted: estimate.distrusted,
                leaving: estimate.leaving,
                ..Estimate::default()
            };
        }
        self.shed();
        self.spill();
        self.correct();
        let part = 1.0 / (members as f64 * f64::from(self.threads));
        (report, self.plan(part, now))
    }

    /// Better weights for the table of new flows, by index of server with a mean of 1, if they are
    /// worth a change. Only the balancer that may write the table asks.
    pub fn weights(&mut self, now: Duration) -> Option<Vec<f64>> {
        let blind = self.blind(now);
        let sight = |server: usize, estimate: &Estimate| Sight {
            capacity: self.capacity(Server(server as u16)).filter(|_| !blind),
            ejected: self.out(server),
            trusted: !estimate.distrusted,
        };
        let sights: Vec<Sight> = self
            .estimates
            .iter()
            .enumerate()
            .map(|(server, own)| sight(server, own))
            .collect();
        let new = weight::next(&self.in_force, &sights, &self.limits);
        let due = self.pace.due(&self.in_force, &new, now, &self.limits);
        due.then_some(new)
    }

    fn out(&self, server: usize) -> bool {
        self.estimates[server].leaving || self.bench.ejected(server)
    }

    fn blind(&self, now: Duration) -> bool {
        self.sampled
            .is_none_or(|sampled| now.saturating_sub(sampled) > self.limits.blind)
    }

    fn learn(&mut self, seen: &Tally, scale: f64, passed: Duration, now: Duration) {
        let (fast, slow) = (self.limits.fast, self.limits.slow);
        if seen.servers.iter().any(|count| count.answered > 0) {
            self.sampled = Some(now);
        }
        self.common.add(&Count::default(), passed, COMMON);
        for (server, count) in seen.servers.iter().enumerate() {
            if self.keeps_up(server) {
                self.common.add(count, Duration::ZERO, COMMON);
            }
        }
        let visible = self.common.answered / self.common.asked.max(1.0);
        for (server, count) in seen.servers.iter().enumerate() {
            let estimate = &mut self.estimates[server];
            estimate.fast.add(count, passed, fast);
            estimate.slow.add(count, passed, slow);
            estimate.scale = scale;
            estimate.waiting = match count.answered {
                0 => estimate.waiting + f64::from(count.asked),
                _ => 0.0,
            };
            let network = estimate.slow.network().unwrap_or(0.0);
            let slots = self.pool.hosts[server].slots;
            estimate
                .speed
                .learn(count, passed, network, visible / scale, slots, &self.limits);
        }
        let keep = (-passed.as_secs_f64() / fast.as_secs_f64()).exp();
        for (flow, demand) in self.demand.iter_mut().zip(&seen.classes) {
            let Demand {
                admitted, refused, ..
            } = *demand;
            flow.admitted = flow.admitted * keep + f64::from(admitted) * scale;
            flow.refused = flow.refused * keep + f64::from(refused) * scale;
        }
    }

    /// Whether a server's answers are as many as its questions. Where a queue grows they are fewer,
    /// and the part of answers that is seen would look smaller than it is for a minute, hence the
    /// capacity of all servers larger.
    fn keeps_up(&self, server: usize) -> bool {
        let own = &self.estimates[server];
        let slots = f64::from(self.pool.hosts[server].slots.max(1));
        let usual = self.common.answered / self.common.asked.max(1.0);
        let calm = own
            .progress()
            .is_none_or(|progress| progress <= self.limits.target * slots);
        calm && own.waiting * usual <= self.limits.evidence / 2.0
    }

    fn sum(&self, of: fn(&Estimate) -> &Window) -> Window {
        let add = |sum: Window, own: &Window| Window {
            asked: sum.asked + own.asked,
            answered: sum.answered + own.answered,
            opened: sum.opened + own.opened,
            completed: sum.completed + own.completed,
            ..Window::default()
        };
        self.estimates.iter().map(of).fold(Window::default(), add)
    }

    /// Learns what part of its flows each server sheds. At a small service, or once most flows have
    /// moved off, one second holds too little evidence. Then the slow counts are judged, if the
    /// second doesn't contradict them, and what was known fades, so that more flows try again.
    fn shed(&mut self) {
        /// Completed openings that a second's judgement needs.
        const ENOUGH: f64 = 64.0;
        /// What a second without evidence leaves of what was known.
        const FADE: f64 = 0.9;
        let (fast, slow) = (self.sum(|own| &own.fast), self.sum(|own| &own.slow));
        let usual = fast.completed / fast.opened.max(1.0);
        for own in &mut self.estimates {
            let expected = own.fast.opened * usual;
            if expected >= ENOUGH {
                own.shed = shed(&own.fast, &fast, &self.limits);
                continue;
            }
            let lasting = shed(&own.slow, &slow, &self.limits);
            let agrees = own.fast.completed < (1.0 - lasting / 2.0) * expected;
            own.shed = (own.shed * FADE).max(if agrees { lasting } else { 0.0 });
            if own.shed < NEGLIGIBLE {
                own.shed = 0.0;
            }
        }
    }

    fn silent(&self) -> Vec<bool> {
        let (fast, slow) = (self.sum(|own| &own.fast), self.sum(|own| &own.slow));
        // If nobody answers at all, the fault is not with one server.
        let any = self
            .estimates
            .iter()
            .any(|own| own.waiting == 0.0 && own.fast.asked >= 1.0);
        let judge = |own: &Estimate| {
            // At a small service, one second holds too little evidence: there the questions since
            // the last answer are set against the usual part of answers.
            let lasting = Window {
                asked: own.waiting,
                ..Window::default()
            };
            let trusted = !own.distrusted;
            silent(&own.fast, &fast, trusted, &self.limits)
                || (any && silent(&lasting, &slow, trusted, &self.limits))
        };
        self.estimates.iter().map(judge).collect()
    }

    /// Sets what part of a server's flows takes its second choice: the excess of its work in
    /// progress over `bound` times the pool's mean. It rises at once, since each second of a server
    /// four times too slow adds two seconds of queue, and falls by halves, so that balancers that
    /// act on the same figures don't swing between two servers. At least the part that the server
    /// sheds. The count of its open connections moves nothing: it errs, and a server taken for full
    /// without being so would drown the others, while one that is full sheds and is noticed.
    fn spill(&mut self) {
        let mean = self.progress().unwrap_or(0.0).max(self.limits.calm);
        for (server, estimate) in self.estimates.iter_mut().enumerate() {
            let host = &self.pool.hosts[server];
            let progress = estimate
                .progress()
                .filter(|_| estimate.fast.answered >= self.limits.evidence)
                .map_or(0.0, |progress| progress / f64::from(host.slots.max(1)));
            let excess = (1.0 - self.limits.bound * mean / progress.max(1e-9)).max(estimate.shed);
            estimate.spill = excess.max((estimate.spill + excess) / 2.0);
            if estimate.spill < NEGLIGIBLE {
                estimate.spill = 0.0;
            }
        }
    }

    /// Corrects the capacity by what comes of it. Above the wanted work in progress, callers wait
    /// and goodput gains nothing; below it, refused work could have run.
    fn correct(&mut self) {
        let Some(progress) = self.progress() else {
            return;
        };
        let lack = 1.0 - progress / self.limits.target;
        let paying = self.pool.classes.iter().zip(&self.demand);
        let turned_away = paying
            .clone()
            .any(|(class, flow)| class.mark == Mark::Paying && flow.refused > 1.0);
        let wanted = if lack < 0.0 || turned_away || self.correction < 1.0 {
            1.0 + self.limits.gain * lack.max(-2.0)
        } else {
            1.0 - self.limits.gain * (self.correction - 1.0).clamp(0.0, 1.0)
        };
        self.correction = (self.correction * wanted).clamp(*CORRECTION.start(), *CORRECTION.end());
    }

    fn plan(&mut self, part: f64, now: Duration) -> Plan {
        self.plan += 1;
        let standing = |(server, estimate): (usize, &Estimate)| Standing {
            spill: estimate.spill,
            ejected: self.out(server),
        };
        Plan {
            number: self.plan,
            rates: self.rates(part, now),
            standings: self.estimates.iter().enumerate().map(standing).collect(),
            connections: self.connections(part, &self.peers.open()),
        }
    }

    fn rates(&self, part: f64, now: Duration) -> Option<Rates> {
        if self.blind(now) {
            return None;
        }
        let usable = (0..self.pool.hosts.len()).filter(|server| !self.out(*server));
        let known: Vec<f64> = usable
            .clone()
            .filter_map(|server| self.capacity(Server(server as u16)))
            .collect();
        // A capacity made of too few servers' figures would refuse what the others could do.
        if known.is_empty() || known.len() * 2 < usable.clone().count() {
            return None;
        }
        let mean = known.iter().sum::<f64>() / known.len() as f64;
        let capacity = mean * usable.count() as f64 * self.correction * part;
        let total = capacity * self.limits.ceiling;
        let own = |(class, entry): (usize, &Class)| match entry.mark {
            Mark::Paying => self.pool.fraction(class) * total * self.limits.margin,
            Mark::Trial => self.pool.fraction(class) * total,
        };
        let admitted: f64 = self.demand.iter().map(|flow| flow.admitted).sum();
        let refused: f64 = self.demand.iter().map(|flow| flow.refused).sum();
        Some(Rates {
            own: self.pool.classes.iter().enumerate().map(own).collect(),
            total,
            lent: capacity * self.limits.lent,
            pressure: 1.0 + refused / admitted.max(1.0),
        })
    }

    /// Connections that trial may still open before the next plan. Unlike work they aren't lent: a
    /// feed holds its connection for hours and is never cut off, so what trial had borrowed could
    /// not be given back when paying callers return. Paying callers have no limit here, because
    /// the count is an estimate and a wrong one must not refuse them; placing avoids full servers.
    fn connections(&self, part: f64, open: &Open) -> Vec<Option<u32>> {
        let all = self.pool.connections() * self.limits.full;
        let left = |(class, open): (usize, &f64)| {
            let trial = self.pool.classes[class].mark == Mark::Trial;
            let own = all * self.pool.fraction(class);
            trial.then(|| ((own - open).max(0.0) * part).ceil() as u32)
        };
        open.classes.iter().enumerate().map(left).collect()
    }
}
