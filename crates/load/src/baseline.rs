use std::time::Duration;

/// Time constant of the baseline.
const MEMORY: Duration = Duration::from_secs(5);
/// The same where answers take more than [`LONG`] times as long: they wait in queues, and only if that
/// lasts for minutes has the work itself become longer.
const MEMORY_LONG: Duration = Duration::from_secs(300);
/// See [`MEMORY_LONG`].
const LONG: f64 = 2.0;
/// Longest time for which one answer counts.
const STEP_MOST: Duration = Duration::from_millis(500);

/// What the answers of a service take when nothing waits: a mean that hardly follows long answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Baseline {
    mean: Option<f64>,
    at: Duration,
}

impl Baseline {
    /// Takes in an answer that took so long.
    pub fn add(&mut self, took: Duration, now: Duration) {
        let took = took.as_secs_f64();
        let passed = now.saturating_sub(self.at).min(STEP_MOST);
        self.at = self.at.max(now);
        let mean = self.mean.get_or_insert(took);
        let memory = if took > LONG * *mean {
            MEMORY_LONG
        } else {
            MEMORY
        };
        let gain = 1.0 - (-passed.as_secs_f64() / memory.as_secs_f64()).exp();
        *mean += gain * (took - *mean);
    }

    /// The time in seconds; nothing before the first answer.
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
