use std::time::Duration;

use crate::demand::Load;

/// Ratio of admitted requests to the servers' capacity at first. It is above 1, since demand tends to be
/// estimated too high, and slots that stay idle are lost.
const START: f64 = 1.1;
/// Bounds of the ratio. Capacities are estimated from answer times, with errors of up to a third.
const MIN: f64 = 0.9;
const MAX: f64 = 1.5;
/// Bounds of the ratio of the answer time to that without queueing above which less is admitted. Some requests
/// wait in any case, and servers with short queues reject requests, urgent ones included, not far above the
/// upper bound.
const WAITS: std::ops::RangeInclusive<f64> = 1.5..=2.8;
/// Mean answer time, as a fraction of the latency objective, above which less is admitted. Answer times
/// scatter, so many answers are late when the mean is above this.
const IN_TIME: f64 = 0.5;
/// Answer time below which more is admitted, as a fraction of the one above which less is.
const SHORT: f64 = 0.7;
/// Decrease of the ratio per second. It is slow compared with the second that a change takes to show in
/// reported demand and answer times.
const FALL: f64 = 0.4;
/// Increase of the ratio per second. It is faster, since reports show late that demand has fallen, and callers
/// are refused meanwhile though servers have hardly any queue.
const RISE: f64 = 1.0;
/// Decrease of the ratio per second towards its first value while nothing is refused. It is slow, since a
/// capacity that was estimated too low is likely to be so again.
const RETURN: f64 = 0.04;
/// Upper bound on the time since the previous update. After a longer pause, the first answers say
/// little about the load.
const MAX_STEP: Duration = Duration::from_millis(50);

/// Answer times of a service, in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// The present mean.
    pub mean: f64,
    /// The mean without queueing.
    pub idle: f64,
    /// Latency objective of the new flow's route.
    pub objective: f64,
}

/// Part of new flows that is admitted while callers ask for more than all servers of a service can process.
///
/// Without it, queues fill until answers are late or servers reject requests, urgent ones included, long before
/// a balancer sees that from the answer times of each server: with many servers, a balancer sees few answers
/// of each, so one of them always looks free. Refusals that follow answer times alone swing between too many and
/// too few, as answers show a queue only after they have waited in it.
///
/// The part follows from the demand of all callers, so it is nearly the same on all balancers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    ratio: f64,
    at: Duration,
}

impl Default for Quota {
    fn default() -> Self {
        Quota {
            ratio: START,
            at: Duration::ZERO,
        }
    }
}

impl Quota {
    /// Adapts the ratio of admitted requests to the capacity by the present answer times. `exceeded` tells
    /// whether new flows are refused; otherwise, the ratio returns to its first value.
    pub fn follow(&mut self, times: &Times, exceeded: bool, now: Duration) {
        let wait = times.mean / times.idle;
        let limit = (IN_TIME * times.objective / times.idle).clamp(*WAITS.start(), *WAITS.end());
        let passed = now.saturating_sub(self.at).min(MAX_STEP).as_secs_f64();
        self.at = self.at.max(now);
        self.ratio = if !exceeded {
            self.ratio + (START - self.ratio).clamp(-RETURN * passed, RISE * passed)
        } else if wait < SHORT * limit {
            (self.ratio + RISE * passed).min(MAX)
        } else if wait > limit {
            (self.ratio - FALL * passed).max(MIN)
        } else {
            self.ratio
        };
    }

    /// Returns the part of the new flows of a priority that is admitted by servers that can process
    /// `capacity` requests per second. Flows with a lower `priority`, which are more urgent, come first.
    ///
    /// ```
    /// use acacia_load::{demand::Load, quota::Quota};
    /// let load = Load { requests: 90.0, opened: 90.0, offered: vec![(2, 100.0), (1, 50.0)] };
    /// let quota = Quota::default();
    /// assert_eq!(quota.admitted(100.0, &load, 1), 1.0);
    /// assert!((0.4..0.7).contains(&quota.admitted(100.0, &load, 2)));
    /// ```
    #[must_use]
    pub fn admitted(&self, capacity: f64, load: &Load, priority: u32) -> f64 {
        let urgent = load.offered.iter().filter(|(other, _)| *other < priority);
        let urgent: f64 = urgent.map(|(_, rate)| rate).sum();
        let own = load.offered.iter().find(|(other, _)| *other == priority);
        let own = own.map_or(0.0, |(_, rate)| *rate);
        let left = self.ratio * capacity - continued(load) - urgent;
        if own <= left {
            return 1.0;
        }
        (left / own).clamp(0.0, 1.0)
    }

    /// Returns whether callers ask for more than is admitted.
    #[must_use]
    pub fn is_exceeded(&self, capacity: f64, load: &Load) -> bool {
        let offered: f64 = load.offered.iter().map(|(_, rate)| rate).sum();
        continued(load) + offered > self.ratio * capacity
    }
}

/// Requests per second on flows that were open before, which can't be refused.
fn continued(load: &Load) -> f64 {
    (load.requests - load.opened).max(0.0)
}
