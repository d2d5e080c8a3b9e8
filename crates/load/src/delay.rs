use std::{sync::Arc, time::Duration};

use acacia_wire::collections::Map;

use crate::baseline::Baseline;

/// Time constant of [`Delay`]. The queue of a busy server fills and drains within a fifth of a second
/// to a second; over a shorter time, a balancer of nine sees next to no answer of a server.
const MEMORY: Duration = Duration::from_millis(400);
/// Time constant of the count of unanswered requests. A server that answers nothing is tried again by
/// each balancer about once in that time.
const UNANSWERED_MEMORY: Duration = Duration::from_secs(5);
/// What an answer leaves of that count. A server that is well again has its part of new flows after
/// some ten answers; one that answers a tenth of its requests stays far from it.
const FORGIVEN: f64 = 0.7;
/// Part of a server's usual work within which no request is done. By its answer times, a server that
/// sheds or fails requests at once would be the fastest of all.
const IMPLAUSIBLY_FAST: f64 = 0.1;
/// How long a server may leave everything unanswered before a new flow tries it again. Callers wait
/// for some seconds at most, so nothing that was asked before is answered any more.
const SILENCE: Duration = Duration::from_secs(2);
/// Answers of the whole service that count as much as one recent answer of the server itself. A balancer
/// that has seen none of a server's goes by the service.
const PRIOR: f64 = 1.0;
/// What an answer takes as long as none of a service has been seen, in seconds. It only matters in
/// proportion to other servers of the service, which have it as well.
const UNSEEN: f64 = 0.05;
/// Answers that [`UNSEEN`] stands for: next to nothing beside one that was seen.
const UNSEEN_WEIGHT: f64 = 0.1;

/// Mean time that answers have taken lately: sums that forget with a time constant.
///
/// The time from a caller's data to the acknowledgement of the answer contains the wait, so each answer
/// that passes is a measurement of its server's queue. Flows in hand look the same at a full queue and at
/// an empty one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Delay {
    /// Answers, each counting less the older it is.
    samples: f64,
    /// Their times, in seconds, likewise.
    times: f64,
    at: Duration,
}

impl Delay {
    /// Takes in an answer that took so long.
    pub fn add(&mut self, took: Duration, now: Duration) {
        let keep = self.keep(now);
        self.samples = self.samples * keep + 1.0;
        self.times = self.times * keep + took.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Mean time of an answer in seconds, where `expected` counts as `weight` answers: few
    /// measurements move it by little.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::delay::Delay;
    /// let mut delay = Delay::default();
    /// assert_eq!(delay.mean(0.1, 1.0, Duration::ZERO), 0.1);
    /// delay.add(Duration::from_millis(300), Duration::ZERO);
    /// assert_eq!(delay.mean(0.1, 1.0, Duration::ZERO), 0.2);
    /// ```
    #[must_use]
    pub fn mean(&self, expected: f64, weight: f64, now: Duration) -> f64 {
        let keep = self.keep(now);
        (self.times * keep + expected * weight) / (self.samples * keep + weight)
    }

    fn keep(&self, now: Duration) -> f64 {
        faded(now.saturating_sub(self.at), MEMORY)
    }
}

/// Part that is left of a sum after `passed`.
pub(crate) fn faded(passed: Duration, constant: Duration) -> f64 {
    (-passed.as_secs_f64() / constant.as_secs_f64()).exp()
}

/// What is known of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Server {
    delay: Delay,
    /// Since when it has answered nothing of what it was asked.
    silent: Option<Duration>,
    /// Requests that callers gave up on or that were not worked on, each counting less the older it is.
    unanswered: f64,
    unanswered_at: Duration,
}

impl Server {
    fn unanswered(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.unanswered_at);
        self.unanswered * faded(passed, UNANSWERED_MEMORY)
    }
}

/// What a server's answers take when nothing waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Idle {
    /// The network's part, in seconds.
    pub network: f64,
    /// The server's part, in seconds.
    pub work: f64,
}

impl Idle {
    /// The whole time, in seconds.
    ///
    /// ```
    /// use acacia_load::delay::Idle;
    /// assert_eq!(Idle { network: 0.25, work: 0.5 }.whole(), 0.75);
    /// ```
    #[must_use]
    pub fn whole(&self) -> f64 {
        self.network + self.work
    }

    /// Whether an answer came too soon to have been worked for, see [`IMPLAUSIBLY_FAST`].
    #[must_use]
    pub fn is_implausibly_fast(&self, took: Duration) -> bool {
        took.as_secs_f64() < self.network + IMPLAUSIBLY_FAST * self.work
    }
}

/// How long each server's answers take at present, as one balancer sees it.
///
/// What leaks ages out: a request whose end another balancer sees is given up after some seconds, and
/// nothing here outlives its time constant.
#[derive(Debug, Clone, Default)]
pub struct Delays {
    servers: Map<Arc<str>, Server>,
    services: Map<Arc<str>, Delay>,
    baselines: Map<Arc<str>, Baseline>,
}

impl Delays {
    /// A request went to a server, on a flow on which nothing was unanswered.
    pub fn asked(&mut self, server: &Arc<str>, now: Duration) {
        let server = self.servers.entry(Arc::clone(server)).or_default();
        let since = server.silent.filter(|since| now < *since + SILENCE);
        server.silent = Some(since.unwrap_or(now));
    }

    /// A server has answered something.
    pub fn responded(&mut self, server: &str) {
        if let Some(server) = self.servers.get_mut(server) {
            server.silent = None;
        }
    }

    /// A server of `service` has answered a request after `took`.
    pub fn answered(
        &mut self,
        server: &Arc<str>,
        service: &Arc<str>,
        took: Duration,
        now: Duration,
    ) {
        let server = self.servers.entry(Arc::clone(server)).or_default();
        server.silent = None;
        server.unanswered *= FORGIVEN;
        server.delay.add(took, now);
        let baseline = self.baselines.entry(Arc::clone(service)).or_default();
        baseline.add(took, now);
        let service = self.services.entry(Arc::clone(service)).or_default();
        service.add(took, now);
    }

    /// A server has refused or failed a request without working on it, or a caller has given up on one.
    pub fn unanswered(&mut self, server: &Arc<str>, now: Duration) {
        let server = self.servers.entry(Arc::clone(server)).or_default();
        server.unanswered = server.unanswered(now) + 1.0;
        server.unanswered_at = now;
    }

    /// How long an answer of the server would take, in seconds: by its recent answers, by those of
    /// its service where it gave few, and at least as long as it has answered nothing at all.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::delay::Delays;
    /// let mut delays = Delays::default();
    /// let (busy, service) = ("a".into(), "live".into());
    /// for _ in 0..9 {
    ///     delays.answered(&busy, &service, Duration::from_millis(200), Duration::ZERO);
    /// }
    /// let expected = delays.expected("a", "live", Duration::ZERO);
    /// assert!((0.19..=0.2).contains(&expected));
    /// ```
    #[must_use]
    pub fn expected(&self, server: &str, service: &str, now: Duration) -> f64 {
        let usual = self.usual(service, now);
        let Some(server) = self.servers.get(server) else {
            return usual;
        };
        let silent = server.silent.map(|since| now.saturating_sub(since));
        let silent = silent.filter(|silent| *silent < SILENCE);
        let recent = server.delay.mean(usual, PRIOR, now);
        recent.max(silent.unwrap_or_default().as_secs_f64())
    }

    /// How long an answer of a service's servers takes, in seconds.
    #[must_use]
    pub fn usual(&self, service: &str, now: Duration) -> f64 {
        let service = self.services.get(service).copied().unwrap_or_default();
        service.mean(UNSEEN, UNSEEN_WEIGHT, now)
    }

    /// How long an answer of a service's servers takes when nothing waits, in seconds; nothing before the
    /// first.
    #[must_use]
    pub fn baseline(&self, service: &str) -> Option<f64> {
        self.baselines.get(service)?.mean()
    }

    /// How long none of a service has answered, in seconds; 0 before the first answer.
    ///
    /// While all flows are refused, no answer shows how queues drain; they drain for as long as nothing new
    /// comes.
    #[must_use]
    pub fn since_last_answer(&self, service: &str, now: Duration) -> f64 {
        let service = self.services.get(service);
        service.map_or(0.0, |delay| now.saturating_sub(delay.at).as_secs_f64())
    }

    /// Requests to the server that callers gave up on lately, or that it did not work on.
    #[must_use]
    pub fn given_up(&self, server: &str, now: Duration) -> f64 {
        let server = self.servers.get(server);
        server.map_or(0.0, |server| server.unanswered(now))
    }

    /// Forgets servers and services that `is_server` and `is_service` don't name: they have left, and
    /// what is known of them would stay for as long as the process lives.
    pub fn retain(
        &mut self,
        is_server: impl Fn(&Arc<str>) -> bool,
        is_service: impl Fn(&Arc<str>) -> bool,
    ) {
        self.servers.retain(|server, _| is_server(server));
        self.services.retain(|service, _| is_service(service));
        self.baselines.retain(|service, _| is_service(service));
    }

    /// How many servers are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
