use std::time::Duration;

use crate::delay::decay;

/// Time constants of a rate, which is the larger of the two means: the short one shows the start of a
/// burst, and the long one is stable at low rates.
const TIME_CONSTANTS: [Duration; 2] = [Duration::from_millis(250), Duration::from_secs(2)];
/// Standard deviations by which the short mean may differ from the long one by chance.
const MAX_DEVIATIONS: f64 = 2.0;
/// Minimum time over which a rate is averaged.
const MIN_AGE: Duration = Duration::from_millis(1);

/// One of the two means of a rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Window {
    /// The one that shows the start and the end of a burst.
    Short,
    /// The one that is stable at low rates.
    Long,
}

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
        self.add_sample(1.0, now);
    }

    /// Records an event that stands for `weight` events, of which the others weren't counted.
    pub fn add_sample(&mut self, weight: f64, now: Duration) {
        for (sum, constant) in self.sums.iter_mut().zip(TIME_CONSTANTS) {
            *sum = *sum * decay(now.saturating_sub(self.at), constant) + weight;
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
        self.means(now).into_iter().fold(0.0, f64::max)
    }

    /// Returns the events per second without the bias of [`Rate::per_second`] towards high rates: the long
    /// mean, or the short one if they differ by more than chance explains. The sum over many balancers is
    /// then neither too high in calm nor for seconds after a burst.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::arrival::Rate;
    /// let mut rate = Rate::new(Duration::ZERO);
    /// for step in 1..=2_000 {
    ///     rate.add(Duration::from_millis(step));
    /// }
    /// assert!((950.0..1050.0).contains(&rate.current(Duration::from_secs(2))));
    /// assert!(rate.current(Duration::from_secs(3)) < 50.0);
    /// ```
    #[must_use]
    pub fn current(&self, now: Duration) -> f64 {
        self.mean(self.window(now), now)
    }

    /// Returns the mean that [`Rate::current`] gives.
    #[must_use]
    pub fn window(&self, now: Duration) -> Window {
        let [short, long] = self.means(now);
        // The standard deviation of an exponentially weighted mean of Poisson arrivals.
        let deviation = (short.max(long) / (2.0 * TIME_CONSTANTS[0].as_secs_f64())).sqrt();
        if (short - long).abs() > MAX_DEVIATIONS * deviation {
            Window::Short
        } else {
            Window::Long
        }
    }

    /// Returns one of the means. The difference between two rates is only right with the same mean of both.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::arrival::{Rate, Window};
    /// let mut rate = Rate::new(Duration::ZERO);
    /// for step in 1..=2_000 {
    ///     rate.add(Duration::from_millis(step));
    /// }
    /// let second_later = Duration::from_secs(3);
    /// assert!(rate.mean(Window::Short, second_later) < 50.0);
    /// assert!(rate.mean(Window::Long, second_later) > 400.0);
    /// ```
    #[must_use]
    pub fn mean(&self, window: Window, now: Duration) -> f64 {
        let [short, long] = self.means(now);
        match window {
            Window::Short => short,
            Window::Long => long,
        }
    }

    /// The mean with each of [`TIME_CONSTANTS`].
    fn means(&self, now: Duration) -> [f64; TIME_CONSTANTS.len()] {
        let age = now.saturating_sub(self.since).max(MIN_AGE);
        std::array::from_fn(|index| {
            let constant = TIME_CONSTANTS[index];
            let left = self.sums[index] * decay(now.saturating_sub(self.at), constant);
            left / (constant.as_secs_f64() * (1.0 - decay(age, constant)))
        })
    }
}
