use serde::Serialize;

use crate::Window;
use crate::time_series::{HOUR, MINUTE};

/// How urgently an alert has to be handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Notify the on-call engineer at once.
    Page,
    /// Handle it on a working day.
    Ticket,
}

/// An alert rule over two windows. The long window shows that a significant part of the error
/// budget is spent, the short one that it is still being spent, so that the alert ends soon after
/// its cause.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Rule {
    /// The severity of the rule's alerts.
    pub severity: Severity,
    /// The long window, in seconds.
    pub long: u64,
    /// The short window, in seconds: one twelfth of the long one.
    pub short: u64,
    /// The burn rate above which the rule fires.
    pub factor: f64,
}

/// The alert rules for an error budget over 30 days (720 h).
pub const RULES: [Rule; 3] = [
    // Spends 2 % of the 30-day budget in 1 hour, and all of it in 50 hours.
    Rule {
        severity: Severity::Page,
        long: HOUR,
        short: 5 * MINUTE,
        factor: 14.4,
    },
    // Spends 5 % of the budget in 6 hours, and all of it in 5 days: too slow for the first rule,
    // too fast to wait for a working day.
    Rule {
        severity: Severity::Page,
        long: 6 * HOUR,
        short: 30 * MINUTE,
        factor: 6.0,
    },
    // Spends 10 % of the budget in 3 days, and all of it in just 30 days: not urgent.
    Rule {
        severity: Severity::Ticket,
        long: 72 * HOUR,
        short: 6 * HOUR,
        factor: 1.0,
    },
];

/// Minimum number of failed flows in the long window for a rule to fire.
///
/// At night, 1 broken feed out of 10 is a burn rate of 100 but says nothing about the service.
const MIN_FAILED_FLOWS: u64 = 3;

/// A rule that fires, with its burn rate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Alert {
    /// The rule that fires.
    pub rule: Rule,
    /// The lower bound of the burn rate in the long window, see [`Window::certain`].
    pub certain: f64,
}

/// Returns the alerts for the windows of a service.
///
/// After balancers have been replaced, their counts cover only part of the long window. The burn
/// rate over that part would fire the slow rules after a few minutes of failures, and recently
/// started balancers among older ones would give the last minutes too much weight. Flows that are
/// not known are therefore taken as successful, so that an alert never overstates the burn rate. A
/// total outage (a burn rate of 1,000 at 99.9 %) still fires the first rule once 52 s are covered.
///
/// ```
/// use acacia_burn::{Count, Window, alerts};
/// let window = |seconds| Window {
///     seconds, covered: seconds, partly: seconds, failed: 20, burn: Some(20.0), certain: Some(20.0),
///     count: Count { good: 980, broken: 20, ..Count::default() },
/// };
/// let windows: Vec<_> = acacia_burn::WINDOWS.map(window).to_vec();
/// assert_eq!(alerts(&windows).len(), 3);
/// ```
#[must_use]
pub fn alerts(windows: &[Window]) -> Vec<Alert> {
    let find = |seconds| windows.iter().find(|window| window.seconds == seconds);
    let alert = |rule: &Rule| {
        let (long, short) = (find(rule.long)?, find(rule.short)?);
        let certain = long.certain?;
        let fires =
            certain > rule.factor && short.burn? > rule.factor && long.failed >= MIN_FAILED_FLOWS;
        fires.then_some(Alert {
            rule: *rule,
            certain,
        })
    };
    RULES.iter().filter_map(alert).collect()
}
