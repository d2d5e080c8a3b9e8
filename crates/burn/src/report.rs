use std::sync::Arc;

use serde::Serialize;

use crate::ledger::Counts;
use crate::time_series::{HOUR, MINUTE};
use crate::{Alert, Count, Error, Ledger, Mark, alerts};

/// The windows of a report, in seconds: 5 min, 30 min, 1 h, 6 h and 3 days.
pub const WINDOWS: [u64; 5] = [5 * MINUTE, 30 * MINUTE, HOUR, 6 * HOUR, 72 * HOUR];
/// Number of points in the plotted history, which covers the last 6 hours.
const HISTORY_POINTS: u64 = 72;
/// Seconds between the points of the history. 5 minutes is the shortest window, so each point is
/// the burn rate that the fastest rule evaluates.
pub(crate) const HISTORY_STEP: u64 = 5 * MINUTE;

/// The service-level objective of a service for one mark.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Objective {
    /// The share of flows that must succeed, below 1.
    pub target: f64,
    /// The period of the objective, in days.
    pub days: u32,
    /// Whether refused flows count as failed.
    pub refused_fails: bool,
    /// Whether slow flows count as failed.
    pub slow_fails: bool,
}

impl Objective {
    /// Returns the default objective, 99.9 % over 30 days.
    ///
    /// Refusals count as failed for paying callers only: paying customers are promised that trial
    /// callers are refused first under contention.
    ///
    /// ```
    /// use acacia_burn::{Count, Mark, Objective};
    /// let count = Count { good: 998, refused: 1, broken: 1, ..Count::default() };
    /// let paying = Objective::default_for(Mark::Paying).burn(&count).unwrap();
    /// let trial = Objective::default_for(Mark::Trial).burn(&count).unwrap();
    /// assert!((paying - 2.0).abs() < 1e-9 && (trial - 1.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn default_for(mark: Mark) -> Self {
        Objective {
            target: 0.999,
            days: 30,
            refused_fails: mark == Mark::Paying,
            slow_fails: true,
        }
    }

    /// Returns the number of flows that failed the objective.
    #[must_use]
    pub fn failed(&self, count: &Count) -> u64 {
        let refused = if self.refused_fails { count.refused } else { 0 };
        let slow = if self.slow_fails { count.slow } else { 0 };
        count.broken + refused + slow
    }

    /// Returns the burn rate: how many times faster than allowed the error budget is spent, or
    /// `None` without flows.
    #[must_use]
    pub fn burn(&self, count: &Count) -> Option<f64> {
        let budget = (1.0 - self.target).max(f64::EPSILON);
        let total = count.total();
        (total > 0).then(|| self.failed(count) as f64 / total as f64 / budget)
    }
}

/// A service's counts in one window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Window {
    /// The length of the window, in seconds.
    pub seconds: u64,
    /// How many of these seconds are covered by the counts of every balancer that answered.
    pub covered: u64,
    /// How many of these seconds are covered by the counts of at least one balancer.
    pub partly: u64,
    /// The flows in the window.
    pub count: Count,
    /// The number of flows that failed the objective.
    pub failed: u64,
    /// The burn rate of the counted flows, or `None` without flows.
    pub burn: Option<f64>,
    /// The lower bound of the burn rate, which assumes that all flows that were not counted
    /// succeeded. Alerts are based on it.
    pub certain: Option<f64>,
}

/// The burn of one service for one mark.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The service.
    pub service: Arc<str>,
    /// Trial or paying.
    pub mark: Mark,
    /// The objective for this service and mark.
    pub objective: Objective,
    /// The windows, one for each of [`WINDOWS`].
    pub windows: Vec<Window>,
    /// The alerts that fire, in the order of the rules.
    pub alerts: Vec<Alert>,
    /// Pairs of seconds before now and the burn rate in the 5 minutes up to then, oldest first.
    /// Steps without flows are omitted.
    pub history: Vec<(u64, f64)>,
}

/// The report on all services.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The time of the report, in seconds since the Unix epoch.
    pub now: u64,
    /// The number of sources in the report.
    pub sources: usize,
    /// The known balancers that did not answer. Their flows are missing.
    pub unanswered: Vec<u16>,
    /// The rows, sorted by service and mark.
    pub rows: Vec<Row>,
}

/// Creates the report from the merged counts of the balancers. `objective` returns the objective
/// of a service and mark, and `unanswered` lists the balancers that did not answer.
///
/// ```
/// use acacia_burn::{Count, Ledger, Mark, Objective, Source, report};
/// let source = Source { balancer: 1, incarnation: 1 };
/// let mut ledger = Ledger::new(source, 1_000_000);
/// let count = Count { good: 99, broken: 1, ..Count::default() };
/// ledger.add(source, 1_000_060, &"talkoo-live".into(), Mark::Paying, count);
/// let report = report(&ledger, 1_000_060, &[], |_, mark| Objective::default_for(mark));
/// assert_eq!(report.rows[0].windows[0].covered, 60);
/// ```
#[must_use]
pub fn report(
    ledger: &Ledger,
    now: u64,
    unanswered: &[u16],
    objective: impl Fn(&str, Mark) -> Objective,
) -> Report {
    let row = |(service, mark): (Arc<str>, Mark)| {
        let objective = objective(&service, mark);
        let count = |at, seconds| ledger.sum(&service, mark, at, seconds);
        let windows: Vec<Window> = WINDOWS
            .iter()
            .map(|seconds| window(ledger, now, *seconds, &objective, count(now, *seconds)))
            .collect();
        let point = |ago: u64| {
            Some((
                ago,
                objective.burn(&count(now.checked_sub(ago)?, HISTORY_STEP))?,
            ))
        };
        let history = (0..HISTORY_POINTS)
            .rev()
            .filter_map(|step| point(step * HISTORY_STEP))
            .collect();
        let alerts = alerts(&windows);
        Row {
            service,
            mark,
            objective,
            windows,
            alerts,
            history,
        }
    };
    Report {
        now,
        sources: ledger.by_source.len(),
        unanswered: unanswered.to_vec(),
        rows: ledger.keys().into_iter().map(row).collect(),
    }
}

fn window(ledger: &Ledger, now: u64, seconds: u64, objective: &Objective, count: Count) -> Window {
    let sources = || ledger.by_source.values();
    let current = || sources().filter(|counts| counts.is_current(now));
    let covered = |counts: &Counts| counts.covered(now, seconds);
    let burn = objective.burn(&count);
    let expected = current().count() as u64 * seconds;
    let share = covered_share(sources().map(covered).sum(), expected);
    Window {
        seconds,
        covered: current().map(covered).min().unwrap_or(0),
        partly: sources().map(covered).max().unwrap_or(0),
        count,
        failed: objective.failed(&count),
        burn,
        certain: burn.map(|burn| burn * share),
    }
}

/// Estimates the share of the window's flows that was counted, at most 1.
///
/// All balancers receive equal shares of the flows, so the share of counted flows is that of
/// counted time: `covered` of the `expected` seconds, both summed over the balancers.
fn covered_share(covered: u64, expected: u64) -> f64 {
    if expected == 0 {
        return 1.0;
    }
    (covered.max(1) as f64 / expected as f64).min(1.0)
}

/// Encodes the report as JSON.
pub fn json(report: &Report) -> Result<String, Error> {
    Ok(serde_json::to_string_pretty(report)?)
}
