use std::time::Duration;

use acacia_code::Code;
use rand::{Rng, RngExt as _};
use thiserror::Error;

use crate::limits::Limits;

/// Why a new flow is refused. Nothing was sent to a server, so no work has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
pub enum Reason {
    /// The class is above its share, and there is no idle share to borrow.
    #[error("class is above its share and there is no idle share to borrow")]
    Share,
    /// The class's share of the connections is in use.
    #[error("the class's share of connections is in use")]
    Connections,
    /// The pool has no backend server.
    #[error("pool has no backend server")]
    Empty,
}

impl Reason {
    /// Returns the result code of the reason.
    ///
    /// ```
    /// assert_eq!(acacia_load::refuse::Reason::Share.code().number(), 260);
    /// ```
    #[must_use]
    pub fn code(self) -> Code {
        match self {
            Reason::Share => Code::LoadShareUsed,
            Reason::Connections => Code::LoadConnectionsUsed,
            Reason::Empty => Code::LoadNoServer,
        }
    }
}

/// Final refusal of a caller's new flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the flow is refused.
    pub reason: Reason,
    /// Time after which the caller may retry.
    pub after: Duration,
}

impl Refusal {
    /// Creates a refusal with a random time to retry.
    ///
    /// Thousands of callers may be refused within a second, and with equal retry times they would
    /// return as the same burst. So the time is uniform between 0.5 and 1.5 times a mean, which
    /// spreads the burst over a time as long as the mean. `pressure` is the ratio of demand to
    /// admitted flows. Ten times too many callers take ten times as long to serve, so the mean is
    /// [`Limits::retry_after`] times `pressure`. It is at most [`Limits::retry_after_max`], so that a
    /// wrong ratio doesn't keep callers away for good.
    pub fn new(reason: Reason, pressure: f64, limits: &Limits, rng: &mut impl Rng) -> Self {
        let mean = limits.retry_after.as_secs_f64() * pressure.max(1.0);
        let mean = mean.min(limits.retry_after_max.as_secs_f64());
        let after = Duration::from_secs_f64(mean * rng.random_range(0.5..1.5));
        Refusal { reason, after }
    }
}
