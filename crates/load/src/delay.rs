use std::{sync::Arc, time::Duration};

use acacia_wire::collections::Map;

use crate::baseline::Baseline;

/// Time constant of [`Delay`]. The queue of a busy server fills and drains within 0.2 to 1 s; over a
/// shorter time, each of nine balancers sees almost no answers of a given server.
const TIME_CONSTANT: Duration = Duration::from_millis(400);
/// Time constant of the count of unanswered requests. Each balancer retries a server that answers
/// nothing about once in this time.
const UNANSWERED_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Factor on the count of unanswered requests at each answer. A server that has recovered gets its
/// full part of new flows after about ten answers; one that answers only a tenth of its requests
/// stays far below it.
const UNANSWERED_DECAY: f64 = 0.7;
/// Fraction of a server's usual work below which an answer is too fast to be real. A server that
/// sheds or fails requests at once would otherwise look like the fastest one.
const IMPLAUSIBLY_FAST: f64 = 0.1;
/// Time without any answer after which a new flow tries the server again. Callers wait for a few
/// seconds at most, so no answer to an older request will come.
const RETRY_SILENT: Duration = Duration::from_secs(2);
/// Weight of the service's mean, in recent answers of the server itself. If a balancer has seen no
/// answer of a server, it uses the service's mean.
const PRIOR_WEIGHT: f64 = 1.0;
/// Assumed answer time before any answer of a service is seen, in seconds. It is the same for all
/// servers of the service, so it doesn't affect the choice between them.
const DEFAULT_TIME: f64 = 0.05;
/// Weight of [`DEFAULT_TIME`] in answers; it hardly counts once an answer is seen.
const DEFAULT_WEIGHT: f64 = 0.1;

/// Recent mean answer time, from exponentially decaying sums.
///
/// The time from a caller's data to the acknowledgement of the answer includes the wait, so each
/// answer measures the queue of its server. A count of open flows wouldn't tell a full queue from an
/// empty one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Delay {
    /// Number of answers, decaying.
    samples: f64,
    /// Sum of their times in seconds, decaying.
    times: f64,
    at: Duration,
}

impl Delay {
    /// Records an answer that took `took`.
    pub fn add(&mut self, took: Duration, now: Duration) {
        let keep = self.keep(now);
        self.samples = self.samples * keep + 1.0;
        self.times = self.times * keep + took.as_secs_f64();
        self.at = self.at.max(now);
    }

    /// Returns the mean time of an answer in seconds. `expected` counts as `weight` answers, so a few
    /// measurements change the mean only slightly.
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
        decay(now.saturating_sub(self.at), TIME_CONSTANT)
    }
}

/// Factor by which a sum with the time `constant` decays in `passed`.
pub(crate) fn decay(passed: Duration, constant: Duration) -> f64 {
    (-passed.as_secs_f64() / constant.as_secs_f64()).exp()
}

/// State of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Server {
    delay: Delay,
    /// Time of the first request since its last answer.
    silent: Option<Duration>,
    /// Number of requests that callers gave up or the server didn't process, decaying.
    unanswered: f64,
    unanswered_at: Duration,
}

impl Server {
    fn unanswered(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.unanswered_at);
        self.unanswered * decay(passed, UNANSWERED_TIME_CONSTANT)
    }
}

/// Answer time of a server without queueing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Idle {
    /// Time in the network, in seconds.
    pub network: f64,
    /// Time at the server, in seconds.
    pub work: f64,
}

impl Idle {
    /// Returns the total time, in seconds.
    ///
    /// ```
    /// use acacia_load::delay::Idle;
    /// assert_eq!(Idle { network: 0.25, work: 0.5 }.whole(), 0.75);
    /// ```
    #[must_use]
    pub fn whole(&self) -> f64 {
        self.network + self.work
    }

    /// Returns whether an answer came too fast for the request to have been processed: within the
    /// network's part and a small fraction of the usual work.
    #[must_use]
    pub fn is_implausibly_fast(&self, took: Duration) -> bool {
        took.as_secs_f64() < self.network + IMPLAUSIBLY_FAST * self.work
    }
}

/// Recent answer times of all servers, as one balancer sees them.
///
/// Requests whose end another balancer sees don't accumulate: such a request is given up after a few
/// seconds, and all counts here decay.
#[derive(Debug, Clone, Default)]
pub struct Delays {
    servers: Map<Arc<str>, Server>,
    services: Map<Arc<str>, Delay>,
    baselines: Map<Arc<str>, Baseline>,
}

impl Delays {
    /// Records a request to a server, on a flow without an unanswered request.
    pub fn asked(&mut self, server: &Arc<str>, now: Duration) {
        let server = self.servers.entry(Arc::clone(server)).or_default();
        let since = server.silent.filter(|since| now < *since + RETRY_SILENT);
        server.silent = Some(since.unwrap_or(now));
    }

    /// Records that a server has answered anything at all.
    pub fn responded(&mut self, server: &str) {
        if let Some(server) = self.servers.get_mut(server) {
            server.silent = None;
        }
    }

    /// Records that a server of `service` has answered a request after `took`.
    pub fn answered(
        &mut self,
        server: &Arc<str>,
        service: &Arc<str>,
        took: Duration,
        now: Duration,
    ) {
        let server = self.servers.entry(Arc::clone(server)).or_default();
        server.silent = None;
        server.unanswered *= UNANSWERED_DECAY;
        server.delay.add(took, now);
        let baseline = self.baselines.entry(Arc::clone(service)).or_default();
        baseline.add(took, now);
        let service = self.services.entry(Arc::clone(service)).or_default();
        service.add(took, now);
    }

    /// Records a request that the server refused or failed without processing it, or that the caller
    /// gave up.
    pub fn unanswered(&mut self, server: &Arc<str>, now: Duration) {
        let server = self.servers.entry(Arc::clone(server)).or_default();
        server.unanswered = server.unanswered(now) + 1.0;
        server.unanswered_at = now;
    }

    /// Returns the time that an answer of the server would take, in seconds: the mean of its recent
    /// answers, or of its service's if there are few, and at least the time for which the server has
    /// answered nothing.
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
        let silent = silent.filter(|silent| *silent < RETRY_SILENT);
        let recent = server.delay.mean(usual, PRIOR_WEIGHT, now);
        recent.max(silent.unwrap_or_default().as_secs_f64())
    }

    /// Returns the recent mean answer time of a service, in seconds.
    #[must_use]
    pub fn usual(&self, service: &str, now: Duration) -> f64 {
        let service = self.services.get(service).copied().unwrap_or_default();
        service.mean(DEFAULT_TIME, DEFAULT_WEIGHT, now)
    }

    /// Returns the answer time of a service without queueing, in seconds, or `None` before the first
    /// answer.
    #[must_use]
    pub fn baseline(&self, service: &str) -> Option<f64> {
        self.baselines.get(service)?.mean()
    }

    /// Returns the time since the last answer of a service, in seconds; 0 before the first answer.
    ///
    /// While all flows are refused, no answer shows how far the queues have drained. They drain for as
    /// long as no new requests come.
    #[must_use]
    pub fn since_last_answer(&self, service: &str, now: Duration) -> f64 {
        let service = self.services.get(service);
        service.map_or(0.0, |delay| now.saturating_sub(delay.at).as_secs_f64())
    }

    /// Returns the decaying number of requests to the server that callers gave up or that it didn't
    /// process.
    #[must_use]
    pub fn given_up(&self, server: &str, now: Duration) -> f64 {
        let server = self.servers.get(server);
        server.map_or(0.0, |server| server.unanswered(now))
    }

    /// Keeps only servers and services for which `is_server` and `is_service` return `true`. Without
    /// this, those that have left would stay in memory until the process ends.
    pub fn retain(
        &mut self,
        is_server: impl Fn(&Arc<str>) -> bool,
        is_service: impl Fn(&Arc<str>) -> bool,
    ) {
        self.servers.retain(|server, _| is_server(server));
        self.services.retain(|service, _| is_service(service));
        self.baselines.retain(|service, _| is_service(service));
    }

    /// Returns the number of known servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
