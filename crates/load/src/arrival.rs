use std::time::Duration;

use crate::delay::decay;

/// Time constants of a rate, which is the larger of the two means: the short one shows the start of a
/// burst, and the long one is stable at low rates.
const TIME_CONSTANTS: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(2)];
/// Minimum time over which a rate is averaged.
const MIN_AGE: Duration = Duration::from_millis(1);

/// Recent rate of events per second, from exponentially decaying counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    sums: [f64; TIME_CONSTANTS.len()],
    since: Duration,
    at: Duration,
}

impl Rate {
    /// Creates a rate without events, which starts at `now`.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Rate {
            sums: [0.0; TIME_CONSTANTS.len()],
            since: now,
            at: now,
        }
    }

    /// Records an event.
    pub fn add(&mut self, now: Duration) {
        for (sum, constant) in self.sums.iter_mut().zip(TIME_CONSTANTS) {
            *sum = *sum * decay(now.saturating_sub(self.at), constant) + 1.0;
        }
        self.at = self.at.max(now);
    }

    /// Returns the events per second. Soon after the start, they are averaged over the time since
    /// then.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::arrival::Rate;
    /// let mut rate = Rate::new(Duration::ZERO);
    /// for step in 1..=200 {
    ///     rate.add(Duration::from_millis(step * 10));
    /// }
    /// let rate = rate.per_second(Duration::from_secs(2));
    /// assert!((95.0..110.0).contains(&rate), "{rate}");
    /// ```
    #[must_use]
    pub fn per_second(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.since).max(MIN_AGE);
        let rates = self.sums.iter().zip(TIME_CONSTANTS).map(|(sum, constant)| {
            let left = sum * decay(now.saturating_sub(self.at), constant);
            left / (constant.as_secs_f64() * (1.0 - decay(age, constant)))
        });
        rates.fold(0.0, f64::max)
    }
}
