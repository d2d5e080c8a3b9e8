//! Detects that the routers no longer check whether this balancer is ready.
//!
//! If a router or the link to it fails, callers' packets stop arriving. Without a log line, the
//! balancer could not be told from one that has no callers.

use std::time::Duration;

/// Time without a check after which the routers are considered lost. They check twice a second.
const LOST_AFTER: Duration = Duration::from_secs(3);

/// When the last check arrived, and whether the routers are considered lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Checks {
    last: Option<Duration>,
    lost: bool,
}

/// A change to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No check has arrived for this long.
    Lost(Duration),
    /// A check arrived after this long without one.
    Regained(Duration),
}

impl Checks {
    /// Records a check that arrived at `now`. Returns a change if the routers were considered lost.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_node::cookie::checks::{Change, Checks};
    /// let second = Duration::from_secs;
    /// let mut checks = Checks::default();
    /// assert_eq!(checks.record(second(1)), None);
    /// assert_eq!(checks.detect_loss(second(5)), Some(Change::Lost(second(4))));
    /// assert_eq!(checks.record(second(9)), Some(Change::Regained(second(8))));
    /// ```
    pub fn record(&mut self, now: Duration) -> Option<Change> {
        let silence = now.saturating_sub(self.last.unwrap_or(now));
        self.last = Some(now);
        std::mem::take(&mut self.lost).then_some(Change::Regained(silence))
    }

    /// Returns a change once when the routers have become lost. Before the first check, none is expected.
    pub fn detect_loss(&mut self, now: Duration) -> Option<Change> {
        let silence = now.saturating_sub(self.last?);
        let lost = silence >= LOST_AFTER && !self.lost;
        self.lost |= lost;
        lost.then_some(Change::Lost(silence))
    }
}

impl Change {
    /// Logs the change.
    pub fn log(self) {
        match self {
            Change::Lost(silence) => {
                log::warn!("event=routers-lost silent_ms={}", silence.as_millis());
            }
            Change::Regained(silence) => {
                log::info!("event=routers-regained silent_ms={}", silence.as_millis());
            }
        }
    }
}
