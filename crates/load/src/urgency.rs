use std::time::Duration;

/// Time constant of the counts of new flows.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Minimum fraction of a service's new flows for a priority to count as in use, so that routes that
/// are hardly used have no effect.
const IN_USE: f64 = 0.02;
/// Counts that decay below this are removed.
const MIN_COUNT: f64 = 1e-3;

/// Urgency of a new flow compared with others that use the same servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rank {
    /// Whether there are less urgent flows.
    pub urgent: bool,
    /// Whether there are more urgent flows.
    pub yields: bool,
}

/// Priorities of a service's recent new flows.
///
/// Only priorities in use count. By the configuration alone, a route that nobody uses would determine
/// whether the flows of other routes are refused.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Priorities {
    /// Decaying number of new flows by priority.
    sums: Vec<(u32, f64)>,
    at: Duration,
}

impl Priorities {
    /// Records a new flow with a priority, 0 being the most urgent, and returns its rank.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::urgency::Priorities;
    /// let mut priorities = Priorities::default();
    /// assert!(!priorities.add(2, Duration::ZERO).yields);
    /// assert!(priorities.add(1, Duration::ZERO).urgent);
    /// assert!(priorities.add(2, Duration::ZERO).yields);
    /// ```
    pub fn add(&mut self, priority: u32, now: Duration) -> Rank {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let keep = (-passed / TIME_CONSTANT.as_secs_f64()).exp();
        self.sums.iter_mut().for_each(|(_, sum)| *sum *= keep);
        self.sums.retain(|(_, sum)| *sum > MIN_COUNT);
        match self.sums.iter_mut().find(|(known, _)| *known == priority) {
            Some((_, sum)) => *sum += 1.0,
            None => self.sums.push((priority, 1.0)),
        }
        self.rank(priority)
    }

    fn rank(&self, own: u32) -> Rank {
        let total: f64 = self.sums.iter().map(|(_, sum)| sum).sum();
        let is_used = |which: &dyn Fn(u32) -> bool| {
            let sums = self.sums.iter();
            let sums = sums.filter(|(priority, _)| which(*priority));
            sums.map(|(_, sum)| sum).sum::<f64>() >= IN_USE * total
        };
        Rank {
            urgent: is_used(&|other| other > own),
            yields: is_used(&|other| other < own),
        }
    }
}
