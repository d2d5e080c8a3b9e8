use std::time::Duration;

use crate::tally::Count;

/// Exponentially decaying counts, whose ratios are recent means.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Window {
    /// Time that the counts cover, in seconds.
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
    /// Decays the counts by `passed`, then adds those of that time.
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

    /// Returns the mean time of an opening, in seconds, or `None` without samples. The server's
    /// kernel answers openings, so this is the network's part of any answer time.
    #[must_use]
    pub fn network(&self) -> Option<f64> {
        (self.completed >= 1.0).then(|| self.opening / self.completed)
    }

    /// Returns the mean time of a request at the server, in seconds, or `None` without samples: from
    /// the caller's data to the acknowledgement of the answer, less the network's part.
    #[must_use]
    pub fn work(&self, network: f64) -> Option<f64> {
        /// Lower bound on the difference of the two means, in seconds.
        const MIN_WORK: f64 = 1e-4;
        (self.timed >= 1.0).then(|| (self.answering / self.timed - network).max(MIN_WORK))
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        if self.span > 0.0 {
            self.asked / self.span
        } else {
            0.0
        }
    }
}

/// Returns the utilization (0 to 1) of a server with `progress` requests in progress per slot.
///
/// Inverts Sakasegawa's approximation (1977) of the mean queue length with several servers, where
/// `u` is the utilization: progress = u + u^sqrt(2 (slots + 1)) / (slots (1 - u)). The formula
/// doesn't contain the server's speed, so work in progress tells a loaded server from a slow one,
/// which times don't.
///
/// ```
/// use acacia_load::signal::utilization;
/// assert!(utilization(0.1, 2) > 0.09 && utilization(0.1, 2) < 0.1);
/// assert!(utilization(50.0, 2) > 0.97);
/// ```
#[must_use]
pub fn utilization(progress: f64, slots: u32) -> f64 {
    /// Number of bisections; the error is then below a thousandth.
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
