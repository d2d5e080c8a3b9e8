//! Which servers fail their requests, as several balancers see it together.
//!
//! A balancer of a large fleet sees a server's requests once in some seconds: too few to tell one that
//! fails most of them from one whose caller hung up. So those that saw a request fail tell an *observer* of
//! the server ([`Observer`]), which sees them all and tells the data centre ([`FailingServers`]).

use std::{sync::Arc, time::Duration};

use acacia_wire::collections::Map;

use crate::snapshot::Snapshot;

/// Time constant with which requests are forgotten.
const MEMORY: Duration = Duration::from_secs(2);
/// Failures within [`MEMORY`] below which nothing is concluded: callers hang up now and then.
const LEAST: f64 = 3.0;
/// Part of the requests that must have failed.
const PART: f64 = 0.6;
/// Between two verdicts on one server.
const REPEAT: Duration = Duration::from_secs(1);
/// How long a verdict holds that is not repeated.
const HOLDS: Duration = Duration::from_secs(4);
/// How long a balancer that saw a server fail goes on to report what it sees of it.
const REPORTS: Duration = Duration::from_secs(5);
/// Most requests taken in from one report: more than a balancer sees of a server in a second, so that an
/// absurd number has no lasting effect.
const MOST: u32 = 64;

/// Part of its weight that a server keeps for new flows while it fails its requests. What still goes there
/// shows when it has recovered.
const WEIGHT: f64 = 0.05;
/// Part of a service's servers above which failing ones keep their weight: then it is load that fails
/// requests, and those that are left would take all of it.
const MOST_FAILING: f64 = 0.5;

/// How one server's requests have ended lately.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    failed: f64,
    answered: f64,
    at: Duration,
    told: Option<Duration>,
}

impl Tally {
    fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let keep = (-passed / MEMORY.as_secs_f64()).exp();
        self.failed *= keep;
        self.answered *= keep;
        self.at = self.at.max(now);
    }

    fn is_failing(&self) -> bool {
        self.failed >= LEAST && self.failed >= PART * (self.failed + self.answered)
    }
}

/// What an observer knows of its servers' requests.
#[derive(Debug, Default)]
pub struct Observer {
    servers: Map<Arc<str>, Tally>,
}

impl Observer {
    /// Takes in how some of a server's requests ended; true if the data centre is to be told now that the
    /// server fails them.
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
        tally.fade(now);
        tally.failed += f64::from(failed.min(MOST));
        tally.answered += f64::from(answered.min(MOST));
        let recent = tally.told.is_some_and(|told| now < told + REPEAT);
        if recent || !tally.is_failing() {
            return false;
        }
        tally.told = Some(now);
        true
    }

    /// Forgets a server that has started anew.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Forgets servers of which nothing was heard for long.
    pub fn sweep(&mut self, now: Duration) {
        self.servers.retain(|_, tally| now < tally.at + MEMORY * 5);
    }
}

/// The servers that observers have found failing, and those that this balancer reports on.
#[derive(Debug, Default)]
pub struct FailingServers {
    until: Map<Arc<str>, Duration>,
    reported: Map<Arc<str>, Duration>,
}

impl FailingServers {
    /// Takes in an observer's verdict; true if the server was not marked.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::failing::FailingServers;
    /// let mut failing = FailingServers::default();
    /// assert!(failing.mark(&"host-1".into(), Duration::ZERO));
    /// assert!(failing.is_failing("host-1", Duration::from_secs(3)));
    /// assert!(!failing.is_failing("host-1", Duration::from_secs(5)));
    /// ```
    pub fn mark(&mut self, server: &Arc<str>, now: Duration) -> bool {
        let before = self.until.insert(Arc::clone(server), now + HOLDS);
        before.is_none_or(|until| until <= now)
    }

    /// Whether a server is found failing.
    #[must_use]
    pub fn is_failing(&self, server: &str, now: Duration) -> bool {
        self.until.get(server).is_some_and(|until| now < *until)
    }

    /// When the next verdict ends.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Duration> {
        self.until.values().min().copied()
    }

    /// Whether this balancer reports what it saw of a server, of whose requests `failed` have failed here.
    pub fn should_report(&mut self, server: &Arc<str>, failed: u32, now: Duration) -> bool {
        if failed > 0 {
            self.reported.insert(Arc::clone(server), now);
        }
        let since = self.reported.get(server);
        since.is_some_and(|since| now < *since + REPORTS)
    }

    /// Forgets a server that has started anew.
    pub fn forget(&mut self, server: &str) {
        self.until.remove(server);
        self.reported.remove(server);
    }

    /// Forgets what has ended.
    pub fn sweep(&mut self, now: Duration) {
        self.until.retain(|_, until| now < *until);
        self.reported.retain(|_, since| now < *since + REPORTS);
    }
}

/// Lowers the weights of failing servers, but for services most of whose servers fail.
pub fn lower_weights(snapshot: &mut Snapshot) {
    for pool in &snapshot.pools {
        let open = || pool.open.iter().map(|position| *position as usize);
        let failing: Vec<usize> = open()
            .filter(|position| snapshot.servers[*position].failing)
            .collect();
        let is_overload = failing.len() as f64 > MOST_FAILING * pool.open.len() as f64;
        for position in failing {
            let server = &mut snapshot.servers[position];
            server.failing = !is_overload;
            server.weight *= if is_overload { 1.0 } else { WEIGHT };
        }
    }
}
