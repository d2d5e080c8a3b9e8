use std::time::Duration;

use crate::tally::Count;

/// Counts that forget with a time constant, so that their ratios are recent means.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Window {
    /// Seconds that the counts stand for.
    pub span: f64,
    /// See [`Count`].
    pub opened: f64,
    /// See [`Count`].
    pub completed: f64,
    /// Seconds.
    pub opening: f64,
    /// See [`Count`].
    pub asked: f64,
    /// See [`Count`].
    pub answered: f64,
    /// See [`Count`].
    pub timed: f64,
    /// Seconds.
    pub answering: f64,
}

impl Window {
    /// Forgets for `passed`, then adds what was counted in that time.
    pub fn add(&mut self, count: &Count, passed: Duration, constant: Duration) {
        let seconds = passed.as_secs_f64();
        let keep = (-seconds / constant.as_secs_f64()).exp();
        let step = |value: &mut f64, new: f64| *value = *value * keep + new;
        step(&mut self.span, seconds);
        step(&mut self.opened, f64::from(count.opened));
        step(&mut self.completed, f64::from(count.completed));
        step(&mut self.opening, count.opening.as_secs_f64());
        step(&mut self.asked, f64::from(count.asked));
        step(&mut self.answered, f64::from(count.answered));
        step(&mut self.timed, f64::from(count.timed));
        step(&mut self.answering, count.answering.as_secs_f64());
    }

    /// Mean time that an opening takes, in seconds. The server's kernel answers it, so it is the
    /// network's part of any answer. Nothing without samples.
    #[must_use]
    pub fn network(&self) -> Option<f64> {
        (self.completed >= 1.0).then(|| self.opening / self.completed)
    }

    /// Mean time that the server takes for a question, in seconds: from data to the moving
    /// acknowledgement, less the network's part. Nothing without samples.
    #[must_use]
    pub fn work(&self, network: f64) -> Option<f64> {
        /// What the subtraction of two means leaves at least, in seconds.
        const LEAST: f64 = 1e-4;
        (self.timed >= 1.0).then(|| (self.answering / self.timed - network).max(LEAST))
    }

    /// Questions a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        if self.span > 0.0 {
            self.asked / self.span
        } else {
            0.0
        }
    }
}

/// The use of a server (0 to 1) whose `slots` have `progress` questions each in progress.
///
/// Inverts the approximation of Sakasegawa (1977) for the mean number in a queue with several
/// servers: progress = use + use^sqrt(2 (slots + 1)) / (slots (1 - use)). It depends on no speed,
/// and that is why work in progress, not time, tells a loaded server from a slow one.
///
/// ```
/// use acacia_load::signal::utilization;
/// assert!(utilization(0.1, 2) > 0.09 && utilization(0.1, 2) < 0.1);
/// assert!(utilization(50.0, 2) > 0.97);
/// ```
#[must_use]
pub fn utilization(progress: f64, slots: u32) -> f64 {
    /// Halvings of the interval: an error below a thousandth.
    const STEPS: usize = 12;
    let slots = f64::from(slots.max(1));
    let exponent = (2.0 * (slots + 1.0)).sqrt();
    let expected = |used: f64| used + used.powf(exponent) / (slots * (1.0 - used));
    let (mut low, mut high) = (0.0, 1.0);
    for _ in 0..STEPS {
        let middle = (low + high) / 2.0;
        if expected(middle) < progress {
            low = middle;
        } else {
            high = middle;
        }
    }
    (low + high) / 2.0
}
