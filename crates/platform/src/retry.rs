//! Schedules retries of reads. Writes are never retried: the answer may have been lost after the
//! write took effect, and only a later read shows whether it did.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// Number of attempts of a read and the pauses between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Total number of attempts, the first included.
    pub tries: u32,
    /// Upper bound of the first pause; it doubles with each attempt.
    pub base: Duration,
    /// Upper bound of every pause.
    pub cap: Duration,
}

impl Schedule {
    /// The pause after attempt number `tried` (from 1); `None` after the last.
    ///
    /// After an outage of the platform the whole fleet and all operators retry at the same time,
    /// and synchronized retries would overload it again. The pause is therefore drawn uniformly
    /// between zero and its upper bound (full jitter), which spreads the retries best. Attempts are
    /// few, as the caller knows better whether to go on.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_platform::retry::Schedule;
    /// use rand::SeedableRng as _;
    /// let schedule = Schedule { tries: 2, base: Duration::from_millis(100), cap: Duration::from_secs(1) };
    /// let mut random = rand_pcg::Pcg64::seed_from_u64(1);
    /// assert!(schedule.pause(1, &mut random).is_some_and(|pause| pause <= Duration::from_millis(100)));
    /// assert_eq!(schedule.pause(2, &mut random), None);
    /// ```
    #[must_use]
    pub fn pause(&self, tried: u32, random: &mut impl Rng) -> Option<Duration> {
        if tried >= self.tries {
            return None;
        }
        let doubled = self
            .base
            .saturating_mul(1 << tried.saturating_sub(1).min(16));
        let upper = doubled.min(self.cap).as_secs_f64();
        Some(Duration::from_secs_f64(upper * random.random::<f64>()))
    }
}
