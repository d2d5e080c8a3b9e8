use std::sync::Arc;

use serde::Serialize;

use crate::ledger::Book;
use crate::time_series::{HOUR, MINUTE};
use crate::{Alert, Count, Error, Ledger, Mark, alerts};

/// The windows of a report, in seconds: 5 min, 30 min, 1 h, 6 h, 3 days.
pub const WINDOWS: [u64; 5] = [5 * MINUTE, 30 * MINUTE, HOUR, 6 * HOUR, 72 * HOUR];
/// Points of the plotted history: the last 6 hours.
const POINTS: u64 = 72;
/// Seconds between them. 5 min: the shortest window, so a point is what the fast rule sees.
pub(crate) const STEP: u64 = 5 * MINUTE;

/// What was promised for a service and mark.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Objective {
    /// Share of flows that must go well, below 1.
    pub target: f64,
    /// Days over which it is promised.
    pub days: u32,
    /// Whether a refusal counts as failed.
    pub refused_fails: bool,
    /// Whether a slow flow counts as failed.
    pub slow_fails: bool,
}

impl Objective {
    /// 99.9 % over 30 days. Refusals fail paying callers only: under contention, refusing trial
    /// callers is what was promised to the paying.
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

    /// The flows that failed it.
    #[must_use]
    pub fn failed(&self, count: &Count) -> u64 {
        let refused = if self.refused_fails { count.refused } else { 0 };
        let slow = if self.slow_fails { count.slow } else { 0 };
        count.broken + refused + slow
    }

    /// How many times faster than allowed the budget is spent; none without flows.
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
    /// Its length, in seconds.
    pub seconds: u64,
    /// For how many of them every balancer that answered has counts.
    pub covered: u64,
    /// For how many of them at least one balancer that answered has counts.
    pub partly: u64,
    /// The counts.
    pub count: Count,
    /// The flows that failed the objective.
    pub failed: u64,
    /// The burn rate over what is known; none without flows.
    pub burn: Option<f64>,
    /// The burn rate if all that is not known went well: the least that was spent. It is this
    /// that alerts rest on.
    pub certain: Option<f64>,
}

/// One service and mark.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// The service.
    pub service: Arc<str>,
    /// Trial or paying.
    pub mark: Mark,
    /// What was promised.
    pub objective: Objective,
    /// One for each of [`WINDOWS`].
    pub windows: Vec<Window>,
    /// The rules that fire.
    pub alerts: Vec<Alert>,
    /// Seconds before now and the burn rate in the 5 min up to then, oldest first; steps without
    /// flows are left out.
    pub history: Vec<(u64, f64)>,
}

/// The report on all services.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Seconds since 1970.
    pub now: u64,
    /// How many balancers' counts are in it.
    pub sources: usize,
    /// Balancers that are known but gave no answer: their flows are missing.
    pub unanswered: Vec<u16>,
    /// By service and mark.
    pub rows: Vec<Row>,
}

/// Makes the report from what the balancers counted. `objective` gives what was promised;
/// `unanswered` are the balancers that were asked in vain.
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
        let point = |ago: u64| Some((ago, objective.burn(&count(now.checked_sub(ago)?, STEP))?));
        let history = (0..POINTS)
            .rev()
            .filter_map(|step| point(step * STEP))
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
        sources: ledger.books.len(),
        unanswered: unanswered.to_vec(),
        rows: ledger.keys().into_iter().map(row).collect(),
    }
}

fn window(ledger: &Ledger, now: u64, seconds: u64, objective: &Objective, count: Count) -> Window {
    let books = || ledger.books.values();
    let current = || books().filter(|book| book.is_current(now));
    let known = |book: &Book| book.known(now, seconds);
    let burn = objective.burn(&count);
    let wanted = current().count() as u64 * seconds;
    let share = share(books().map(known).sum(), wanted);
    Window {
        seconds,
        covered: current().map(known).min().unwrap_or(0),
        partly: books().map(known).max().unwrap_or(0),
        count,
        failed: objective.failed(&count),
        burn,
        certain: burn.map(|burn| burn * share),
    }
}

/// The share of the window's flows that was counted, at most 1. The balancers see equal shares of
/// the flows, so those that were not counted are estimated from the flows per second that were:
/// `known` seconds out of the `wanted` ones, both added up over the balancers.
fn share(known: u64, wanted: u64) -> f64 {
    if wanted == 0 {
        return 1.0;
    }
    (known.max(1) as f64 / wanted as f64).min(1.0)
}

/// The report as JSON.
pub fn json(report: &Report) -> Result<String, Error> {
    Ok(serde_json::to_string_pretty(report)?)
}
