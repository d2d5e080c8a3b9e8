use std::time::Duration;

use crate::{
    eject::{missing, silent},
    limits::Limits,
    pool::Pool,
    signal::Window,
    speed::Speed,
    tally::{Count, Tally},
};

/// A part of the flows that isn't worth the pins.
const NEGLIGIBLE: f64 = 0.01;
/// What a second without evidence leaves of a part that was known to be shed or to spill.
const FADE: f64 = 0.9;
/// Time constant of what all servers have in common: the part of answers that are seen, and flows
/// to a question.
const COMMON: Duration = Duration::from_secs(60);

/// Estimates of one server.
#[derive(Debug, Clone, Default)]
pub struct Estimate {
    fast: Window,
    slow: Window,
    speed: Speed,
    /// Questions since the last tick that saw an answer.
    waiting: f64,
    /// All flows over those that the counts are of. It isn't applied to the counts themselves: few
    /// samples must go on looking like few when they are taken as evidence.
    scale: f64,
    /// Part of its flows that it sheds.
    pub shed: f64,
    /// Part of its flows that take their second choice.
    pub spill: f64,
    /// Its health endpoint says that it fails.
    pub distrusted: bool,
    /// It is draining or not yet in use.
    pub leaving: bool,
}

impl Estimate {
    /// Work in progress (Little's law: arrivals a second times the time each takes), in questions.
    /// Nothing without samples.
    fn progress(&self) -> Option<f64> {
        let network = self.slow.network().unwrap_or(0.0);
        let work = self.fast.work(network)?;
        Some(work * self.fast.rate() * self.scale)
    }

    fn learn(
        &mut self,
        count: &Count,
        visible: f64,
        passed: Duration,
        slots: u32,
        limits: &Limits,
    ) {
        self.fast.add(count, passed, limits.fast);
        self.slow.add(count, passed, limits.slow);
        self.waiting = match count.answered {
            0 => self.waiting + f64::from(count.asked),
            _ => 0.0,
        };
        let network = self.slow.network().unwrap_or(0.0);
        self.speed
            .learn(count, passed, network, visible, slots, limits);
    }
}

/// Estimates of all servers of a pool.
#[derive(Debug, Clone)]
pub struct Estimates {
    /// By index of server.
    pub servers: Vec<Estimate>,
    common: Window,
    sampled: Option<Duration>,
}

impl Estimates {
    /// Nothing is known.
    #[must_use]
    pub fn new(servers: usize) -> Self {
        Estimates {
            servers: vec![Estimate::default(); servers],
            common: Window::default(),
            sampled: None,
        }
    }

    /// What is known of the servers that a changed configuration keeps: `from` gives the old index
    /// of each new one.
    #[must_use]
    pub fn remap(&self, from: &[Option<usize>]) -> Self {
        let old = |index: &Option<usize>| index.and_then(|index| self.servers.get(index).cloned());
        Estimates {
            servers: from
                .iter()
                .map(|index| old(index).unwrap_or_default())
                .collect(),
            ..self.clone()
        }
    }

    /// Forgets what was measured of a server that comes back cold.
    pub fn restart(&mut self, server: usize) {
        let own = &mut self.servers[server];
        *own = Estimate {
            distrusted: own.distrusted,
            leaving: own.leaving,
            ..Estimate::default()
        };
    }

    /// Whether no sample has come for so long that the estimates mean nothing.
    #[must_use]
    pub fn lacks_samples(&self, now: Duration, limits: &Limits) -> bool {
        self.sampled
            .is_none_or(|sampled| now.saturating_sub(sampled) > limits.sample_timeout)
    }

    /// Work in progress a slot over the servers that are `used`, from the last seconds.
    #[must_use]
    pub fn progress(&self, pool: &Pool, used: impl Fn(usize) -> bool) -> Option<f64> {
        let (mut progress, mut slots) = (0.0, 0.0);
        for (server, host) in pool
            .hosts
            .iter()
            .enumerate()
            .filter(|(server, _)| used(*server))
        {
            if let Some(own) = self.servers[server].progress() {
                progress += own;
                slots += f64::from(host.slots.max(1));
            }
        }
        (slots > 0.0).then(|| progress / slots)
    }

    /// Measured capacity of a server in new flows a second, less what it sheds.
    #[must_use]
    pub fn capacity(&self, server: usize) -> Option<f64> {
        let own = self.servers.get(server)?;
        let questions = own.speed.requests_per_second()? * (1.0 - own.shed);
        let flows = if self.common.asked > 0.0 {
            self.common.opened / self.common.asked
        } else {
            1.0
        };
        Some(questions * flows)
    }

    /// Adds what was seen in `passed`; `scale` is all flows over those that the counts are of.
    pub fn learn(
        &mut self,
        seen: &Tally,
        scale: f64,
        passed: Duration,
        now: Duration,
        pool: &Pool,
        limits: &Limits,
    ) {
        if seen.servers.iter().any(|count| count.timed > 0) {
            self.sampled = Some(now);
        }
        self.common.add(&Count::default(), passed, COMMON);
        for (server, count) in seen.servers.iter().enumerate() {
            if self.keeps_up(server, pool, limits) {
                self.common.add(count, Duration::ZERO, COMMON);
            }
        }
        let visible = self.visible() / scale;
        let hosts = seen.servers.iter().zip(&pool.hosts);
        for (own, (count, host)) in self.servers.iter_mut().zip(hosts) {
            own.scale = scale;
            own.learn(count, visible, passed, host.slots, limits);
        }
    }

    /// Part of the answers whose times some balancer sees.
    fn visible(&self) -> f64 {
        self.common.answered / self.common.asked.max(1.0)
    }

    /// Whether a server's answers are as many as its questions. Where a queue grows they are fewer,
    /// and the part of answers that is seen would look smaller than it is for a minute, hence the
    /// capacity of all servers larger.
    fn keeps_up(&self, server: usize, pool: &Pool, limits: &Limits) -> bool {
        let own = &self.servers[server];
        let slots = f64::from(pool.hosts[server].slots.max(1));
        let calm = own
            .progress()
            .is_none_or(|progress| progress <= limits.target * slots);
        calm && own.waiting * self.visible() <= limits.evidence / 2.0
    }

    fn sum(&self, of: fn(&Estimate) -> &Window) -> Window {
        let add = |sum: Window, own: &Window| Window {
            asked: sum.asked + own.asked,
            answered: sum.answered + own.answered,
            opened: sum.opened + own.opened,
            completed: sum.completed + own.completed,
            ..Window::default()
        };
        self.servers.iter().map(of).fold(Window::default(), add)
    }

    /// Learns what part of its flows each server sheds. At a small service, or once most flows have
    /// moved off, one second holds too little evidence. Then the slow counts are judged, if the
    /// second doesn't contradict them, and what was known fades, so that more flows try again.
    pub fn learn_shed(&mut self, limits: &Limits) {
        /// Completed openings that a second's judgement needs.
        const ENOUGH: f64 = 64.0;
        let (fast, slow) = (self.sum(|own| &own.fast), self.sum(|own| &own.slow));
        let usual = fast.completed / fast.opened.max(1.0);
        let lasting = slow.completed / slow.opened.max(1.0);
        for own in &mut self.servers {
            let expected = own.fast.opened * usual;
            if expected >= ENOUGH {
                own.shed = missing(own.fast.opened, own.fast.completed, usual, limits);
                continue;
            }
            let lasting = missing(own.slow.opened, own.slow.completed, lasting, limits);
            let agrees = own.fast.completed < (1.0 - lasting / 2.0) * expected;
            own.shed = (own.shed * FADE).max(if agrees { lasting } else { 0.0 });
            if own.shed < NEGLIGIBLE {
                own.shed = 0.0;
            }
        }
    }

    /// Which servers are silent, see [`silent`].
    #[must_use]
    pub fn silent(&self, limits: &Limits) -> Vec<bool> {
        let (fast, slow) = (self.sum(|own| &own.fast), self.sum(|own| &own.slow));
        // If nobody answers at all, the fault is not with one server.
        let any = self
            .servers
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
            silent(&own.fast, &fast, trusted, limits)
                || (any && silent(&lasting, &slow, trusted, limits))
        };
        self.servers.iter().map(judge).collect()
    }

    /// Sets what part of a server's flows takes its second choice: the excess of its work in
    /// progress over `bound` times the pool's `mean`, or the part of its questions that are not
    /// answered if that is larger. It rises at once, since each second of a
    /// server four times too slow adds two seconds of queue, and falls by halves, so that balancers
    /// that act on the same figures don't swing between two servers. At least the part that the
    /// server sheds. The count of its open connections moves nothing: it errs, and a server taken
    /// for full without being so would drown the others, while one that is full sheds and is
    /// noticed.
    pub fn learn_spill(&mut self, mean: Option<f64>, pool: &Pool, limits: &Limits) {
        let mean = mean.unwrap_or(0.0).max(limits.spill_min_progress);
        let fast = self.sum(|own| &own.fast);
        let usual = fast.answered / fast.asked.max(1.0);
        for (own, host) in self.servers.iter_mut().zip(&pool.hosts) {
            let progress = own
                .progress()
                .filter(|_| own.fast.timed >= limits.timed)
                .map_or(0.0, |progress| progress / f64::from(host.slots.max(1)));
            let excess = 1.0 - limits.bound * mean / progress.max(1e-9);
            let behind = missing(own.fast.asked, own.fast.answered, usual, limits);
            let excess = excess.max(behind).max(own.shed);
            // Once most flows have moved off, little evidence is left; that isn't a recovery.
            let falling = match own.fast.timed >= limits.timed {
                true => (own.spill + excess) / 2.0,
                false => own.spill * FADE,
            };
            own.spill = excess.max(falling);
            if own.spill < NEGLIGIBLE {
                own.spill = 0.0;
            }
        }
    }
}
