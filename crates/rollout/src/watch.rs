//! Schedules this balancer's watches of the store.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg64;

/// Number of balancers in each data centre that watch the store.
///
/// The store limits the rate of calls and counts each waiting watch. Its limits grow more slowly
/// than the number of balancers, each of which would make half a call a second even when nothing
/// changes, and once they are reached, the store refuses operators and other clients. Two watchers
/// suffice for a data centre of any size; if a single one crashed, its data centre would depend on
/// others for changes until the failure is detected. As a watch lasts 2 s, idle balancers make one
/// call a second per data centre.
pub const WATCHERS: usize = 2;

/// How long to wait for the result of a watch before starting another one. The client's own
/// deadlines end a watch within 7 s; this one is for a result that was lost within the process, or
/// while the process was stopped.
const RESULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum backoff after the first failure; doubled with each further failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff after any failure, and so the longest time to notice that the store is back.
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Number of doublings after which the maximum backoff is certain to have reached [`MAX_BACKOFF`].
const MAX_DOUBLINGS: u32 = 5;

/// The state of this balancer's watch.
#[derive(Debug)]
pub(crate) struct Watch {
    above: u64,
    /// When the watch in progress was started, if any.
    started: Option<Duration>,
    /// The earliest time of the next watch.
    not_before: Duration,
    failures: u32,
}

impl Watch {
    pub(crate) fn new(now: Duration) -> Self {
        Watch {
            above: 0,
            started: None,
            not_before: now,
            failures: 0,
        }
    }

    /// Records an answer of the store. The next watch waits for a revision above that of the
    /// answer, even if it is lower than before: a store that was restored from a backup
    /// continues to count from there.
    pub(crate) fn answered(&mut self, revision: u64, now: Duration) {
        self.above = revision;
        self.started = None;
        self.failures = 0;
        self.not_before = now;
    }

    /// Records that the store could not be reached, and backs off.
    ///
    /// All watchers lose the store at the same time, and would keep it overloaded by retrying
    /// together. The backoff is therefore exponential and random. A failure is ignored while no
    /// watch is in progress, for example that of a watch that was replaced.
    pub(crate) fn failed(&mut self, now: Duration, random: &mut Pcg64) {
        if self.started.is_none() {
            return;
        }
        let backoff = FIRST_BACKOFF * (1 << self.failures.min(MAX_DOUBLINGS));
        let max_seconds = backoff.min(MAX_BACKOFF).as_secs_f64();
        self.failures = self.failures.saturating_add(1);
        self.started = None;
        self.not_before = now + Duration::from_secs_f64(max_seconds * random.random::<f64>());
    }

    /// Starts a watch if one is due. Returns the revision that the key's revision has to exceed.
    pub(crate) fn start(&mut self, now: Duration) -> Option<u64> {
        let is_waiting = self
            .started
            .is_some_and(|since| now < since + RESULT_TIMEOUT);
        if is_waiting || now < self.not_before {
            return None;
        }
        self.started = Some(now);
        Some(self.above)
    }
}
