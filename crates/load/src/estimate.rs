use std::time::Duration;

use crate::{
    eject::{missing, silent},
    limits::Limits,
    pool::Pool,
    signal::Window,
    speed::Speed,
    tally::{Count, Tally},
};

/// Fraction of the flows below which spilling isn't worth the pins.
const NEGLIGIBLE: f64 = 0.01;
/// Factor by which a shed or spilled fraction decays in a tick without enough samples.
const DECAY: f64 = 0.9;
/// Time constant of the values that all servers have in common: the fraction of answers that are
/// seen, and the flows per request.
const COMMON_TIME_CONSTANT: Duration = Duration::from_secs(60);

/// Estimates of one server.
#[derive(Debug, Clone, Default)]
pub struct Estimate {
    fast: Window,
    slow: Window,
    speed: Speed,
    /// Requests in the ticks since the last one with an answer.
    unanswered: f64,
    /// Ratio of all flows to the counted ones. It isn't applied to the counts themselves, so that
    /// their number still shows how much evidence there is.
    scale: f64,
    /// Fraction of its flows that the server sheds.
    pub shed: f64,
    /// Fraction of its flows that go to their second choice.
    pub spill: f64,
    /// Whether the server's health endpoint reports a failure.
    pub distrusted: bool,
    /// Whether the server is draining or not yet in use.
    pub leaving: bool,
}

impl Estimate {
    /// Returns the work in progress in requests, or `None` without samples. By Little's law, it is
    /// the arrivals per second times the time that each takes.
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
        self.unanswered = match count.answered {
            0 => self.unanswered + f64::from(count.asked),
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
    /// Estimates by index of server.
    pub servers: Vec<Estimate>,
    common: Window,
    last_sample: Option<Duration>,
}

impl Estimates {
    /// Creates estimates without samples.
    #[must_use]
    pub fn new(servers: usize) -> Self {
        Estimates {
            servers: vec![Estimate::default(); servers],
            common: Window::default(),
            last_sample: None,
        }
    }

    /// Returns the estimates for a changed configuration; `from` contains the old index of each
    /// server, or `None` for a new one.
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

    /// Discards the measurements of a server that comes back cold.
    pub fn reset(&mut self, server: usize) {
        let own = &mut self.servers[server];
        *own = Estimate {
            distrusted: own.distrusted,
            leaving: own.leaving,
            ..Estimate::default()
        };
    }

    /// Returns whether the last sample is so old that the estimates are meaningless.
    #[must_use]
    pub fn lacks_samples(&self, now: Duration, limits: &Limits) -> bool {
        self.last_sample
            .is_none_or(|last| now.saturating_sub(last) > limits.sample_timeout)
    }

    /// Returns the work in progress per slot of the servers that are `used`, over the last seconds.
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

    /// Returns the measured capacity of a server in new flows per second, without the part that it
    /// sheds.
    #[must_use]
    pub fn capacity(&self, server: usize) -> Option<f64> {
        let own = self.servers.get(server)?;
        let requests = own.speed.requests_per_second()? * (1.0 - own.shed);
        let flows = if self.common.asked > 0.0 {
            self.common.opened / self.common.asked
        } else {
            1.0
        };
        Some(requests * flows)
    }

    /// Adds the counts of the last `passed`; `scale` is the ratio of all flows to the counted ones.
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
            self.last_sample = Some(now);
        }
        self.common
            .add(&Count::default(), passed, COMMON_TIME_CONSTANT);
        for (server, count) in seen.servers.iter().enumerate() {
            if self.keeps_up(server, pool, limits) {
                self.common.add(count, Duration::ZERO, COMMON_TIME_CONSTANT);
            }
        }
        let visible = self.visible() / scale;
        let hosts = seen.servers.iter().zip(&pool.hosts);
        for (own, (count, host)) in self.servers.iter_mut().zip(hosts) {
            own.scale = scale;
            own.learn(count, visible, passed, host.slots, limits);
        }
    }

    /// Returns the fraction of answers that some balancer sees.
    fn visible(&self) -> f64 {
        self.common.answered / self.common.asked.max(1.0)
    }

    /// Returns whether a server answers as many requests as it gets. While a queue grows, it answers
    /// fewer; counted, that would lower the estimated fraction of visible answers for a minute, and
    /// so raise the estimated capacity of all servers.
    fn keeps_up(&self, server: usize, pool: &Pool, limits: &Limits) -> bool {
        let own = &self.servers[server];
        let slots = f64::from(pool.hosts[server].slots.max(1));
        let below_target = own
            .progress()
            .is_none_or(|progress| progress <= limits.target * slots);
        below_target && own.unanswered * self.visible() <= limits.evidence / 2.0
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

    /// Estimates the fraction of its flows that each server sheds.
    ///
    /// At a small service, or once most flows have moved off, the fast counts contain too few
    /// openings. Then the slow counts decide, unless the fast ones contradict them, and the previous
    /// estimate decays, so that more flows try the server again.
    pub fn learn_shed(&mut self, limits: &Limits) {
        /// Number of completed openings that must be expected for the fast counts to decide.
        const MIN_EXPECTED: f64 = 64.0;
        let (fast, slow) = (self.sum(|own| &own.fast), self.sum(|own| &own.slow));
        let usual = fast.completed / fast.opened.max(1.0);
        let lasting = slow.completed / slow.opened.max(1.0);
        for own in &mut self.servers {
            let expected = own.fast.opened * usual;
            if expected >= MIN_EXPECTED {
                own.shed = missing(own.fast.opened, own.fast.completed, usual, limits);
                continue;
            }
            let lasting = missing(own.slow.opened, own.slow.completed, lasting, limits);
            let agrees = own.fast.completed < (1.0 - lasting / 2.0) * expected;
            own.shed = (own.shed * DECAY).max(if agrees { lasting } else { 0.0 });
            if own.shed < NEGLIGIBLE {
                own.shed = 0.0;
            }
        }
    }

    /// Returns for each server whether it is silent, see [`silent`].
    #[must_use]
    pub fn silent(&self, limits: &Limits) -> Vec<bool> {
        let (fast, slow) = (self.sum(|own| &own.fast), self.sum(|own| &own.slow));
        // If no server answers, the fault isn't in a single one.
        let some_answer = self
            .servers
            .iter()
            .any(|own| own.unanswered == 0.0 && own.fast.asked >= 1.0);
        let is_silent = |own: &Estimate| {
            // At a small service, the fast counts contain too few requests. Then the requests since
            // the last answer are compared with the usual fraction of answers.
            let lasting = Window {
                asked: own.unanswered,
                ..Window::default()
            };
            let trusted = !own.distrusted;
            silent(&own.fast, &fast, trusted, limits)
                || (some_answer && silent(&lasting, &slow, trusted, limits))
        };
        self.servers.iter().map(is_silent).collect()
    }

    /// Estimates the fraction of each server's flows that should go to their second choice.
    ///
    /// It is the largest of the excess of the server's work in progress over `bound` times the
    /// pool's `mean`, the fraction of its requests that are unanswered, and the fraction of its flows
    /// that it sheds. It rises at once, since a server that has become four times too slow builds up
    /// two seconds of queue per second. It falls by half per tick, so that balancers that act on the
    /// same figures don't oscillate between two servers.
    ///
    /// The count of open connections isn't used. It is imprecise, and if a server were wrongly taken
    /// for full, the others would be overloaded. A server that really is full sheds, which is
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
            // Few samples after most flows have moved off are no sign of a recovery.
            let falling = match own.fast.timed >= limits.timed {
                true => (own.spill + excess) / 2.0,
                false => own.spill * DECAY,
            };
            own.spill = excess.max(falling);
            if own.spill < NEGLIGIBLE {
                own.spill = 0.0;
            }
        }
    }
}
