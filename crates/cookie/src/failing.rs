//! Detects servers that fail their requests, by combining the counts of several balancers.
//!
//! In a large fleet, one balancer sees a request to a given server only every few seconds. That is
//! too few to distinguish a server that fails most requests from one whose caller closed the
//! connection. Balancers that see a request fail therefore report to an *observer* of the server
//! ([`Observer`]). The observer sums up these reports and announces failing servers to its data
//! centre ([`Verdicts`]).

use std::{sync::Arc, time::Duration};

use acacia_wire::collections::Map;

use crate::snapshot::Snapshot;

/// Time constant of the exponential decay of the counts.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Minimum decayed number of failures for a verdict: callers close connections now and then.
const MIN_FAILURES: f64 = 3.0;
/// Minimum ratio of failed requests to all requests for a verdict.
const MIN_FAILURE_RATIO: f64 = 0.6;
/// Minimum interval between two announcements of one server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// How long a verdict remains in force unless it is repeated.
const VERDICT_TTL: Duration = Duration::from_secs(4);
/// How long a balancer keeps reporting its counts of a server after it saw the server fail.
const REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of requests accepted from one report. It exceeds what a balancer sees of a server
/// in one second, and prevents an absurd number from having a lasting effect.
const MAX_REPORTED: u32 = 64;

/// Factor on the weight for new flows of a failing server. The remaining flows show when it has
/// recovered.
const FAILING_WEIGHT: f64 = 0.05;
/// Fraction of a service's servers above which failing ones keep their weight: the cause is then
/// overload, and the few remaining servers would receive all of it.
const MAX_FAILING_FRACTION: f64 = 0.5;

/// Decayed counts of how one server's requests ended.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    failed: f64,
    answered: f64,
    /// When the counts last decayed.
    updated: Duration,
    /// When the server was last announced as failing.
    announced: Option<Duration>,
}

impl Tally {
    fn decay(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        let factor = (-passed / DECAY_TIME.as_secs_f64()).exp();
        self.failed *= factor;
        self.answered *= factor;
        self.updated = self.updated.max(now);
    }

    fn is_failing(&self) -> bool {
        self.failed >= MIN_FAILURES
            && self.failed >= MIN_FAILURE_RATIO * (self.failed + self.answered)
    }
}

/// Request counts of the servers that this balancer observes, reported by its peers and itself.
#[derive(Debug, Default)]
pub struct Observer {
    servers: Map<Arc<str>, Tally>,
}

impl Observer {
    /// Adds reported request counts of a server. Returns true if the server is failing and is to be
    /// announced to the data centre now.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::failing::Observer;
    /// let mut observer = Observer::default();
    /// assert!(!observer.add(&"host-1".into(), 1, 0, Duration::ZERO));
    /// assert!(observer.add(&"host-1".into(), 3, 0, Duration::ZERO));
    /// ```
    pub fn add(&mut self, server: &Arc<str>, failed: u32, answered: u32, now: Duration) -> bool {
        let tally = self.servers.entry(Arc::clone(server)).or_default();
        tally.decay(now);
        tally.failed += f64::from(failed.min(MAX_REPORTED));
        tally.answered += f64::from(answered.min(MAX_REPORTED));
        let recent = tally
            .announced
            .is_some_and(|announced| now < announced + ANNOUNCE_INTERVAL);
        if recent || !tally.is_failing() {
            return false;
        }
        tally.announced = Some(now);
        true
    }

    /// Discards the counts of a server that has restarted.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Removes servers that have not been reported for five time constants.
    pub fn sweep(&mut self, now: Duration) {
        self.servers
            .retain(|_, tally| now < tally.updated + DECAY_TIME * 5);
    }
}

/// The verdicts of observers on failing servers, and the servers whose counts this balancer reports.
#[derive(Debug, Default)]
pub struct Verdicts {
    /// When the verdict on each failing server expires.
    expiries: Map<Arc<str>, Duration>,
    /// When this balancer last saw each server fail a request.
    failure_seen: Map<Arc<str>, Duration>,
}

impl Verdicts {
    /// Records an observer's verdict. Returns true if the server was not marked as failing before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::failing::Verdicts;
    /// let mut failing = Verdicts::default();
    /// assert!(failing.mark(&"host-1".into(), Duration::ZERO));
    /// assert!(failing.is_failing("host-1", Duration::from_secs(3)));
    /// assert!(!failing.is_failing("host-1", Duration::from_secs(5)));
    /// ```
    pub fn mark(&mut self, server: &Arc<str>, now: Duration) -> bool {
        let previous = self.expiries.insert(Arc::clone(server), now + VERDICT_TTL);
        previous.is_none_or(|expiry| expiry <= now)
    }

    /// Whether a verdict that the server is failing is in force.
    #[must_use]
    pub fn is_failing(&self, server: &str, now: Duration) -> bool {
        self.expiries
            .get(server)
            .is_some_and(|expiry| now < *expiry)
    }

    /// The servers on which a verdict is in force.
    pub fn failing(&self, now: Duration) -> impl Iterator<Item = &str> {
        let expiries = self.expiries.iter();
        let failing = expiries.filter(move |(_, expiry)| now < **expiry);
        failing.map(|(server, _)| &**server)
    }

    /// When the next verdict expires.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.expiries.values().min().copied()
    }

    /// Whether this balancer is to report its counts of a server, given that it has just seen
    /// `failed` failed requests.
    pub fn should_report(&mut self, server: &Arc<str>, failed: u32, now: Duration) -> bool {
        if failed > 0 {
            self.failure_seen.insert(Arc::clone(server), now);
        }
        let last = self.failure_seen.get(server);
        last.is_some_and(|last| now < *last + REPORT_PERIOD)
    }

    /// Discards the verdict on a server that has restarted.
    pub fn forget(&mut self, server: &str) {
        self.expiries.remove(server);
        self.failure_seen.remove(server);
    }

    /// Removes expired verdicts and report periods.
    pub fn sweep(&mut self, now: Duration) {
        self.expiries.retain(|_, expiry| now < *expiry);
        self.failure_seen
            .retain(|_, last| now < *last + REPORT_PERIOD);
    }
}

/// Marks the servers named `failing` and lowers their weights, except in services where most servers are
/// failing.
pub fn lower_weights<'a>(snapshot: &mut Snapshot, failing: impl IntoIterator<Item = &'a str>) {
    let mut services: Map<Arc<str>, Vec<usize>> = Map::default();
    for id in failing {
        let Some(position) = snapshot.position(id).map(|position| position as usize) else {
            continue;
        };
        let server = &snapshot.servers[position];
        if server.standing.takes_flows() {
            let service = Arc::clone(&server.service);
            services.entry(service).or_default().push(position);
        }
    }
    for (service, positions) in services {
        let pool = snapshot.pools.iter().find(|pool| pool.service == service);
        let all = pool.map_or(0, |pool| pool.open.len());
        if positions.len() as f64 > MAX_FAILING_FRACTION * all as f64 {
            continue;
        }
        for position in positions {
            let server = &mut snapshot.servers[position];
            server.failing = true;
            server.weight *= FAILING_WEIGHT;
        }
    }
}
