use std::time::Duration;

/// Time constant of the mean.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Time constant for answers that take more than [`SLOW_FACTOR`] times the mean. They have usually
/// waited in a queue; only if they stay slow for minutes has the work itself become longer.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(300);
/// See [`SLOW_TIME_CONSTANT`].
const SLOW_FACTOR: f64 = 2.0;
/// Upper bound on the time since the previous answer, and so on the weight of a single answer.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Answer time of a service without queueing: a moving mean that slow answers barely raise.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Baseline {
    mean: Option<f64>,
    at: Duration,
}

impl Baseline {
    /// Records an answer that took `took`.
    pub fn add(&mut self, took: Duration, now: Duration) {
        let took = took.as_secs_f64();
        let passed = now.saturating_sub(self.at).min(MAX_STEP);
        self.at = self.at.max(now);
        let mean = self.mean.get_or_insert(took);
        let time_constant = if took > SLOW_FACTOR * *mean {
            SLOW_TIME_CONSTANT
        } else {
            TIME_CONSTANT
        };
        let gain = 1.0 - (-passed.as_secs_f64() / time_constant.as_secs_f64()).exp();
        *mean += gain * (took - *mean);
    }

    /// Returns the mean in seconds, or `None` before the first answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::baseline::Baseline;
    /// let mut baseline = Baseline::default();
    /// for step in 0..200 {
    ///     let took = if step < 100 { 30 } else { 300 };
    ///     baseline.add(Duration::from_millis(took), Duration::from_millis(step * 100));
    /// }
    /// assert!(baseline.mean().is_some_and(|mean| mean < 0.05));
    /// ```
    #[must_use]
    pub const fn mean(&self) -> Option<f64> {
        self.mean
    }
}
