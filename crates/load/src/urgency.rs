use std::time::Duration;

/// Time constant of what is remembered of a service's new flows.
const MEMORY: Duration = Duration::from_secs(5);
/// Part of a service's new flows from which on a priority counts as in use. Routes that next to nobody
/// uses decide nothing.
const IN_USE: f64 = 0.02;
/// Least sum that is remembered.
const FORGOTTEN: f64 = 1e-3;

/// How a new flow stands to others that use the same servers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rank {
    /// Less urgent ones do.
    pub urgent: bool,
    /// More urgent ones do.
    pub yields: bool,
}

/// The priorities of a service's new flows of late.
///
/// By the configuration alone, a route that nobody uses would decide which of the others makes room.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Priorities {
    /// New flows by priority, each counting less the older it is.
    sums: Vec<(u32, f64)>,
    at: Duration,
}

impl Priorities {
    /// Takes in a new flow with that priority, 0 being the most urgent.
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
        let keep = (-passed / MEMORY.as_secs_f64()).exp();
        self.sums.iter_mut().for_each(|(_, sum)| *sum *= keep);
        self.sums.retain(|(_, sum)| *sum > FORGOTTEN);
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
