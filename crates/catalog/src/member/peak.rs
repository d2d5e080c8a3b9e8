use std::time::Duration;

/// How long the largest size of the fleet is kept. A balancer that is partitioned from the others for
/// a shorter time still counts them as present.
const PEAK_RETENTION: Duration = Duration::from_secs(600);

/// The largest recent number of known balancers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Peak {
    count: usize,
    at: Duration,
}

impl Peak {
    /// Records the number of balancers known at `now`, and returns the largest recent one.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut peak = acacia_catalog::member::Peak::default();
    /// assert_eq!(peak.follow(60, Duration::ZERO), 60);
    /// assert_eq!(peak.follow(20, Duration::from_secs(30)), 60);
    /// assert_eq!(peak.follow(20, Duration::from_secs(900)), 20);
    /// ```
    pub fn follow(&mut self, count: usize, now: Duration) -> usize {
        if count >= self.count || now >= self.at + PEAK_RETENTION {
            *self = Peak { count, at: now };
        }
        self.count
    }
}
