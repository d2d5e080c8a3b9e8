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
/// Time constant of [`Level`], once answers have confirmed it for as long. A flood whose refusals lower the
/// mean lasts for a few seconds and must hardly change it.
const LEVEL_TIME_CONSTANT: Duration = Duration::from_secs(60);
/// Upper bound on the time for which a level is kept without answers that confirm it.
const MAX_SUPPORT: Duration = SLOW_TIME_CONSTANT;
/// Minimum number of answers in a run from which the mean is raised.
const MIN_RUN: u32 = 10;
/// Minimum ratio of slow answers to others in a run. A few errors and refusals remain after a flood.
const MIN_SLOW_RATIO: u32 = 20;
/// Duration of a run after which the mean returns to an earlier level.
const RETURN_AFTER: Duration = Duration::from_secs(1);
/// Duration of a run after which the mean rises above any earlier level. An overload of ten seconds, and
/// the time in which its queues drain, must not raise it.
const RAISE_AFTER: Duration = Duration::from_secs(12);

/// Answer time that was usual over minutes, and the evidence for it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Level {
    /// In seconds.
    time: f64,
    /// Time for which answers confirmed the level minus that for which they didn't.
    support: Duration,
}

impl Level {
    /// Records an answer that took `took`, after which the mean is `mean`, both in seconds.
    fn add(&mut self, took: f64, mean: f64, passed: Duration) {
        self.support = if is_near(took, self.time) {
            (self.support + passed).min(MAX_SUPPORT)
        } else {
            self.support.saturating_sub(passed)
        };
        if is_near(mean, self.time) {
            let constant = self.support.clamp(TIME_CONSTANT, LEVEL_TIME_CONSTANT);
            self.time += gain(passed, constant) * (mean - self.time);
        } else if self.support.is_zero() {
            self.time = mean;
        }
    }
}

/// Consecutive answers, nearly all of which were slow.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Run {
    length: Duration,
    slow: u32,
    others: u32,
    /// Shortest time of the slow answers, in seconds.
    shortest: Option<f64>,
}

impl Run {
    fn add(&mut self, took: f64, is_slow: bool, passed: Duration) {
        self.length = self.length.saturating_add(passed);
        if is_slow {
            self.slow = self.slow.saturating_add(1);
            let shortest = self.shortest.unwrap_or(took);
            self.shortest = Some(shortest.min(took));
        } else {
            self.others = self.others.saturating_add(1);
        }
        if self.slow / MIN_SLOW_RATIO < self.others {
            *self = Run::default();
        }
    }
}

/// Answer time of a service without queueing: a moving mean that slow answers barely raise.
///
/// Refusals of full servers can't be told from answers while the servers' speed isn't known. In a flood
/// they lower the mean to a fraction of the time of any real answer, and all of these then count as slow.
/// Therefore the mean is raised when nearly all answers are slow:
///
/// - after [`RETURN_AFTER`], to an earlier level that has not been contradicted for as long as it was
///   confirmed. A queue can't raise the mean above what was usual before.
/// - after [`RAISE_AFTER`], if there is no such level. Answer times alone don't show whether a mean that
///   was never higher is wrong or all servers have queues, so queues of a longer overload raise it too. It
///   falls again with the first answers without queueing.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Baseline {
    mean: Option<f64>,
    at: Duration,
    level: Level,
    run: Run,
}

impl Baseline {
    /// Records an answer that took `took`.
    pub fn add(&mut self, took: Duration, now: Duration) {
        let took = took.as_secs_f64();
        let passed = now.saturating_sub(self.at).min(MAX_STEP);
        self.at = self.at.max(now);
        let mean = self.mean.unwrap_or(took);
        let is_slow = took > SLOW_FACTOR * mean;
        let time_constant = if is_slow {
            SLOW_TIME_CONSTANT
        } else {
            TIME_CONSTANT
        };
        let mean = mean + gain(passed, time_constant) * (took - mean);
        self.level.add(took, mean, passed);
        self.run.add(took, is_slow, passed);
        self.mean = Some(self.raised(mean).unwrap_or(mean));
    }

    /// Returns the mean to which the present one is to be raised, if it is.
    fn raised(&mut self, mean: f64) -> Option<f64> {
        let shortest = self.run.shortest.filter(|_| self.run.slow >= MIN_RUN)?;
        let is_below_level = self.level.time > SLOW_FACTOR * mean;
        if is_below_level && self.run.length >= RETURN_AFTER {
            self.run = Run::default();
            return Some(shortest.min(self.level.time).max(mean));
        }
        if self.level.support.is_zero() && self.run.length >= RAISE_AFTER {
            self.run = Run::default();
            let raised = shortest.max(mean);
            self.level.time = raised;
            return Some(raised);
        }
        None
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

/// Whether two times differ by at most [`SLOW_FACTOR`].
fn is_near(time: f64, other: f64) -> bool {
    time <= SLOW_FACTOR * other && other <= SLOW_FACTOR * time
}

/// Weight of a new value in a moving mean.
fn gain(passed: Duration, constant: Duration) -> f64 {
    1.0 - (-passed.as_secs_f64() / constant.as_secs_f64()).exp()
}
