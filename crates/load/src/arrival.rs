use std::time::Duration;

use crate::delay::faded;

/// Time constants of a rate. The larger rate counts: the short one sees a burst begin, the long one is
/// steady where little comes.
const MEMORIES: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(2)];
/// Shortest time over which a rate is taken.
const SHORTEST: Duration = Duration::from_millis(1);

/// How many of something come a second, each counting less the older it is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    sums: [f64; MEMORIES.len()],
    since: Duration,
    at: Duration,
}

impl Rate {
    /// Nothing has come before `now`.
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Rate {
            sums: [0.0; MEMORIES.len()],
            since: now,
            at: now,
        }
    }

    /// One comes.
    pub fn add(&mut self, now: Duration) {
        for (sum, memory) in self.sums.iter_mut().zip(MEMORIES) {
            *sum = *sum * faded(now.saturating_sub(self.at), memory) + 1.0;
        }
        self.at = self.at.max(now);
    }

    /// How many come a second. What has just begun is taken over the time since.
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
        let age = now.saturating_sub(self.since).max(SHORTEST);
        let rates = self.sums.iter().zip(MEMORIES).map(|(sum, memory)| {
            let left = sum * faded(now.saturating_sub(self.at), memory);
            left / (memory.as_secs_f64() * (1.0 - faded(age, memory)))
        });
        rates.fold(0.0, f64::max)
    }
}
