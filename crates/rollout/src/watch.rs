//! When this balancer watches the store.

use std::time::Duration;

use rand::RngExt as _;
use rand_pcg::Pcg64;

/// Balancers of each data centre that watch the store.
///
/// Load: the store counts each waiting watch, its rates grow more slowly than the fleet, and
/// thousands of balancers would each make half a call a second for nothing. Harm: the store
/// refuses operators and others. Hence two for each data centre, however many balancers it has:
/// with one, its crash would leave the data centre to hear from others until the views change.
/// With a watch of 2 s an idle fleet makes one call a second for each data centre.
pub const WATCHERS: usize = 2;

/// How long a watch may stay without an end before it is made again. The client's own deadlines
/// end one within 7 s; this one matters when the process or its caller lost the answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// Upper end of the first pause after a failure; it doubles with each further one.
const BASE: Duration = Duration::from_millis(250);
/// Upper end of any pause, and so the time to notice that the store is back.
const CAP: Duration = Duration::from_secs(4);
/// Doublings after which the pause is at its upper end for certain.
const DOUBLINGS: u32 = 5;

/// The watch of this balancer.
#[derive(Debug)]
pub(crate) struct Watch {
    above: u64,
    /// When the one that waits was begun.
    since: Option<Duration>,
    /// No new one before this.
    not_before: Duration,
    failures: u32,
}

impl Watch {
    pub(crate) fn new(now: Duration) -> Self {
        Watch {
            above: 0,
            since: None,
            not_before: now,
            failures: 0,
        }
    }

    /// The store has answered. The next watch names the revision of this answer, also when it is
    /// lower than one before: a restored store counts from there.
    pub(crate) fn answered(&mut self, revision: u64, now: Duration) {
        self.above = revision;
        self.since = None;
        self.failures = 0;
        self.not_before = now;
    }

    /// The store could not be reached.
    ///
    /// Load: all watchers lose the store in the same instant. Harm: coming back together they
    /// keep it down. Hence pauses that double and are drawn at random. A failure that no watch
    /// waits for, say of one that was replaced, lengthens nothing.
    pub(crate) fn failed(&mut self, now: Duration, random: &mut Pcg64) {
        if self.since.is_none() {
            return;
        }
        let doubled = BASE * (1 << self.failures.min(DOUBLINGS));
        let upper = doubled.min(CAP).as_secs_f64();
        self.failures = self.failures.saturating_add(1);
        self.since = None;
        self.not_before = now + Duration::from_secs_f64(upper * random.random::<f64>());
    }

    /// Begins a watch if one is due; gives the revision that it waits to see passed.
    pub(crate) fn begin(&mut self, now: Duration) -> Option<u64> {
        let waits = self.since.is_some_and(|since| now < since + PATIENCE);
        if waits || now < self.not_before {
            return None;
        }
        self.since = Some(now);
        Some(self.above)
    }
}
