//! When a read is tried again. Writes are never tried again here: an answer may have been lost
//! after the write took effect, and only reading back tells.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// How often and at which distances a read is tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Tries in all, the first included.
    pub tries: u32,
    /// Upper end of the first pause; it doubles with each try.
    pub base: Duration,
    /// Upper end of any pause.
    pub cap: Duration,
}

impl Schedule {
    /// The pause after the try with the given number (from 1), none after the last.
    ///
    /// Load: the whole fleet and all operators lose the platform in the same instant. Harm: if
    /// they all come back together, they bring it down again. Hence the pause is drawn evenly
    /// from zero to its upper end, which spreads them best, and tries are few: whoever called
    /// knows better whether it is worth going on.
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
