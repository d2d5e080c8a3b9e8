use serde::Serialize;

use crate::Window;
use crate::time_series::{HOUR, MINUTE};

/// What an alert asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Wake somebody.
    Page,
    /// Look at it on a working day.
    Ticket,
}

/// A rule over two windows: the long one shows that enough of the budget is spent to matter, the
/// short one that it is still being spent, so that the alert ends when its cause does.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Rule {
    /// What it asks for.
    pub severity: Severity,
    /// The long window, in seconds.
    pub long: u64,
    /// The short window, in seconds: a twelfth of the long one.
    pub short: u64,
    /// The burn rate above which it fires.
    pub factor: f64,
}

/// The usual rules for a budget over 30 days (720 h).
pub const RULES: [Rule; 3] = [
    // 2 % of the month's budget in one hour: at this rate it is gone in 50 hours.
    Rule {
        severity: Severity::Page,
        long: HOUR,
        short: 5 * MINUTE,
        factor: 14.4,
    },
    // 5 % in six hours: gone in five days; too slow for the first rule, too fast for a working day.
    Rule {
        severity: Severity::Page,
        long: 6 * HOUR,
        short: 30 * MINUTE,
        factor: 6.0,
    },
    // 10 % in three days: the budget is just used up; nobody need be woken.
    Rule {
        severity: Severity::Ticket,
        long: 72 * HOUR,
        short: 6 * HOUR,
        factor: 1.0,
    },
];

/// Failed flows in the long window below which no rule fires. 3: at night one broken feed among
/// ten is a burn rate of 100, and says nothing about the service.
const LEAST_FAILED: u64 = 3;

/// A rule that fires.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Alert {
    /// The rule.
    pub rule: Rule,
    /// The least burn rate in the long window, see [`Window::certain`].
    pub certain: f64,
}

/// The rules that fire on a service's windows.
///
/// After balancers were replaced, their memory covers only a part of the long window. The burn
/// rate over that part would fire the slow rules on a few minutes of trouble, and young balancers
/// beside old ones would give the last minutes too much weight. So what is not known counts as
/// flows that went well: an alert never claims more than is known. A total outage (a rate of
/// 1,000 at 99.9 %) still fires the first rule after 52 s of memory.
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
    let fire = |rule: &Rule| {
        let (long, short) = (find(rule.long)?, find(rule.short)?);
        let certain = long.certain?;
        let fires =
            certain > rule.factor && short.burn? > rule.factor && long.failed >= LEAST_FAILED;
        fires.then_some(Alert {
            rule: *rule,
            certain,
        })
    };
    RULES.iter().filter_map(fire).collect()
}
