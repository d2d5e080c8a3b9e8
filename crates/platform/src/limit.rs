//! Limits the rate of calls to the platform with one token bucket per client.

use std::time::Duration;

/// The rate at which a client may make calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rate {
    /// Sustained number of calls per second.
    pub per_second: f64,
    /// Number of calls that may be made at once by a client that was idle before.
    pub burst: f64,
}

/// A token bucket. In any interval of length `t` it grants at most `burst + per_second * t` calls.
///
/// The platform serves about two thousand reads a second in total, and this capacity grows more
/// slowly than the fleet. A client that loops on an error would starve all others while the store
/// is recovering. Every call, retries included, therefore passes this limit in the client; callers
/// don't have to limit themselves.
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

    /// Takes a token at the time `now`, measured from any fixed start.
    ///
    /// # Errors
    /// The time until the next token if there is none.
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
