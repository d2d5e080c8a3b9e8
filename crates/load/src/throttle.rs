use std::time::Duration;

/// Requests, over what the servers can do, from which on the less urgent make room. Above 1: some of what
/// comes would be turned away, and places that are kept free are lost.
const FULL: f64 = 1.15;
/// Times that an answer takes, over what it takes when nothing waits, below which nobody makes room: the
/// requests seen here may come from a few busy callers.
pub const WAITS: f64 = 1.5;
/// Time in which all of the less urgent are refused where twice of what is borne is asked.
const RISE: Duration = Duration::from_millis(200);
/// Time in which none is refused any more where nothing is asked.
const FALL: Duration = Duration::from_millis(300);
/// Longest time between two looks that counts. After a quiet time the first answers say little.
const STEP_MOST: Duration = Duration::from_millis(50);

/// What is known of a service's load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pressure {
    /// Requests a second over what its servers can do.
    pub demand: f64,
    /// How long its answers take over what they take when nothing waits.
    pub wait: f64,
}

impl Pressure {
    /// By how much it is beyond what the servers bear; negative where it is below.
    fn excess(&self) -> f64 {
        (self.demand / FULL - 1.0).min(self.wait / WAITS - 1.0)
    }
}

/// Part of the new flows of a service's less urgent routes that is refused, so that its servers keep
/// places for the urgent ones.
///
/// Servers with short queues turn requests away long before answers are late, the urgent like the others.
/// A limit on each server's expected time doesn't see it: among many servers, of each of which a balancer
/// sees few answers, one always seems free.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Throttle {
    part: f64,
    at: Duration,
}

impl Throttle {
    /// Takes in the service's load at present; gives the part to refuse.
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
        let passed = now.saturating_sub(self.at).min(STEP_MOST).as_secs_f64();
        self.at = self.at.max(now);
        let excess = pressure.excess();
        let time = if excess > 0.0 { RISE } else { FALL };
        let step = passed * excess.min(1.0) / time.as_secs_f64();
        self.part = (self.part + step).clamp(0.0, 1.0);
        self.part
    }

    /// The part of the less urgent routes' new flows that is refused.
    #[must_use]
    pub const fn part(&self) -> f64 {
        self.part
    }
}
