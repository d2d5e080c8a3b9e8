use std::time::Duration;

/// Ratio of requests to the servers' capacity above which less urgent flows are refused. It is above
/// 1, since servers refuse some of the requests anyway, and slots that are kept free are wasted.
const MAX_DEMAND: f64 = 1.15;
/// Ratio of the answer time to that without queueing below which no flows are refused: the requests
/// seen by this balancer may come from a few busy callers.
pub const MIN_WAIT_RATIO: f64 = 1.5;
/// Time in which the refused fraction rises to 1 at twice the demand of [`MAX_DEMAND`].
const RISE: Duration = Duration::from_millis(200);
/// Time in which the refused fraction falls to 0 without any demand.
const FALL: Duration = Duration::from_millis(300);
/// Upper bound on the time since the previous update. After a longer pause, the first answers say
/// little about the load.
const MAX_STEP: Duration = Duration::from_millis(50);

/// Load of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pressure {
    /// Ratio of the requests per second to the capacity of the service's servers.
    pub demand: f64,
    /// Ratio of the answer time to that without queueing.
    pub wait: f64,
}

impl Pressure {
    /// Returns the smaller one of the relative excesses over [`MAX_DEMAND`] and
    /// [`MIN_WAIT_RATIO`], which is negative if the load is below either.
    fn excess(&self) -> f64 {
        (self.demand / MAX_DEMAND - 1.0).min(self.wait / MIN_WAIT_RATIO - 1.0)
    }
}

/// Computes the fraction of new flows to refuse on the less urgent routes of a service, so that its
/// servers keep slots free for the urgent routes.
///
/// Servers with short queues refuse requests, urgent ones included, long before answers are late. A
/// limit on the expected answer time of each server doesn't prevent that: with many servers, a
/// balancer sees few answers of each, so one of them always looks free.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Throttle {
    part: f64,
    at: Duration,
}

impl Throttle {
    /// Updates the fraction by the present load of the service, and returns it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::throttle::{Pressure, Throttle};
    /// let mut throttle = Throttle::default();
    /// for step in 1..=10 {
    ///     let pressure = Pressure { demand: 2.5, wait: 4.0 };
    ///     throttle.follow(&pressure, Duration::from_millis(step * 100));
    /// }
    /// assert_eq!(throttle.part(), 1.0);
    /// ```
    pub fn follow(&mut self, pressure: &Pressure, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).min(MAX_STEP).as_secs_f64();
        self.at = self.at.max(now);
        let excess = pressure.excess();
        let time = if excess > 0.0 { RISE } else { FALL };
        let step = passed * excess.min(1.0) / time.as_secs_f64();
        self.part = (self.part + step).clamp(0.0, 1.0);
        self.part
    }

    /// Returns the fraction of new flows to refuse on the less urgent routes.
    #[must_use]
    pub const fn part(&self) -> f64 {
        self.part
    }
}
