//! Whether the routers still ask if this balancer is ready.
//!
//! What goes wrong: a router, or the line to it, is lost, and callers' packets stop coming. Without
//! a line in the log, a balancer without traffic looks like one that nobody needs.

use std::time::Duration;

/// Without a check for so long, the routers are lost. They ask twice a second.
const LOST_AFTER: Duration = Duration::from_secs(3);

/// When checks came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Checks {
    last: Option<Duration>,
    lost: bool,
}

/// A change worth a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No check has come for so long.
    Lost(Duration),
    /// A check came after a silence of so long.
    Regained(Duration),
}

impl Checks {
    /// A check has come.
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

    /// Looks whether the routers are lost; says so once. Before the first check nothing is expected.
    pub fn detect_loss(&mut self, now: Duration) -> Option<Change> {
        let silence = now.saturating_sub(self.last?);
        let lost = silence >= LOST_AFTER && !self.lost;
        self.lost |= lost;
        lost.then_some(Change::Lost(silence))
    }
}

impl Change {
    /// Writes the line.
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
