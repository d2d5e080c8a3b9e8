//! Whether this balancer is in the routers' rotation.

use std::time::Duration;

/// How long packets still come after the routers are told to send none: they ask twice a second
/// and take a balancer out after two misses, so up to 1 s and the way of the last packets. Without
/// this wait, what is in flight when a balancer ends is lost with it.
pub const DRAIN_TIME: Duration = Duration::from_millis(1_400);

/// Where a balancer stands between its start and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It does not know enough to serve.
    Starting,
    /// It serves.
    Serving,
    /// It was asked to end at that time, and forwards what still comes.
    Leaving {
        /// When.
        since: Duration,
    },
}

impl Phase {
    /// Whether the routers should send packets here.
    ///
    /// ```
    /// use acacia_node::cookie::rotation::Phase;
    /// assert!(Phase::Serving.is_ready());
    /// assert!(!Phase::Starting.is_ready());
    /// ```
    #[must_use]
    pub const fn is_ready(self) -> bool {
        matches!(self, Phase::Serving)
    }

    /// When the process may end, if it was asked to: when the routers have noticed, and in any case
    /// well within the `grace` that it is given.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_node::cookie::rotation::{DRAIN_TIME, Phase};
    /// let leaving = Phase::Leaving { since: Duration::from_secs(5) };
    /// assert_eq!(leaving.end(Duration::from_secs(6)), Some(Duration::from_secs(5) + DRAIN_TIME));
    /// ```
    #[must_use]
    pub fn end(self, grace: Duration) -> Option<Duration> {
        match self {
            Phase::Leaving { since } => Some(since + DRAIN_TIME.min(grace / 2)),
            Phase::Starting | Phase::Serving => None,
        }
    }
}
