//! Whether the routers are to send packets to this balancer.

use std::time::Duration;

/// How long packets may still arrive after the routers' checks have begun to fail. The routers check
/// twice a second and remove a balancer after two failed checks, so this is up to 1 s plus the transit
/// time of the last packets. If the process exited sooner, packets in flight would be lost.
pub const DRAIN_TIME: Duration = Duration::from_millis(1_400);

/// Phase of a balancer's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It doesn't know enough of the routes and servers to serve yet.
    Starting,
    /// It serves, and the routers' checks succeed unless it is cut off from the servers.
    Serving,
    /// It was asked to stop: the routers' checks fail, and it forwards the packets that still arrive.
    Leaving {
        /// When it was asked to stop.
        since: Duration,
    },
}

impl Phase {
    /// Whether the routers should send packets to this balancer.
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

    /// Returns when a process that was asked to stop may exit: once the routers have reacted, but no later
    /// than half of the grace period `grace` after the request. `None` if it was not asked to stop.
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
