//! The bound on calls to the platform: a token bucket for each client.

use std::time::Duration;

/// How many calls a client may make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Calls a second in the long run.
    pub per_second: f64,
    /// Calls that may be made at once after a quiet time.
    pub burst: f64,
}

/// A token bucket. Over any time `t` it grants at most `burst + per_second * t` calls.
///
/// Load: the platform serves about two thousand reads a second to everyone, and its rates grow
/// more slowly than the fleet. Harm: a client that loops on an error takes the store away from
/// all others just when it is recovering. Hence the limit stands here, below every retry and
/// every loop, and not with the callers.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: Rate,
    tokens: f64,
    filled: Duration,
}

impl Bucket {
    /// A full bucket.
    #[must_use]
    pub fn new(rate: Rate) -> Self {
        Bucket {
            rate,
            tokens: rate.burst,
            filled: Duration::ZERO,
        }
    }

    /// Takes a token at the time `now`, counted from any fixed start. Without one, the error says
    /// how long until the next.
    ///
    /// # Errors
    /// The wait until a token is there.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_platform::limit::{Bucket, Rate};
    /// let mut bucket = Bucket::new(Rate { per_second: 2.0, burst: 1.0 });
    /// assert_eq!(bucket.take(Duration::ZERO), Ok(()));
    /// assert_eq!(bucket.take(Duration::ZERO), Err(Duration::from_millis(500)));
    /// assert_eq!(bucket.take(Duration::from_millis(500)), Ok(()));
    /// ```
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate.per_second).min(self.rate.burst);
        self.filled = self.filled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        Err(Duration::from_secs_f64(missing / self.rate.per_second))
    }
}
