use std::time::Duration;

use acacia_code::Code;
use rand::{Rng, RngExt as _};
use thiserror::Error;

use crate::limits::Limits;

/// Why a new flow is not let in. Nothing has been sent to a server, so the work did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
pub enum Reason {
    /// The class is beyond its share and nothing is left to borrow.
    #[error("beyond the share, and nothing left to borrow")]
    Share,
    /// The class's part of the connections is in use.
    #[error("no connection left in the share")]
    Connections,
    /// The pool has no backend server.
    #[error("no backend server")]
    Empty,
}

impl Reason {
    /// Its number in the table of result codes.
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

/// The final answer to a caller whose work will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// How long the caller should wait before it comes back.
    pub after: Duration,
}

impl Refusal {
    /// Gives the reason a time to come back.
    ///
    /// Load: a burst of some thousands of callers refused within a second. Harm: told the same
    /// time, they return as the same burst. So the time is drawn evenly from half to one and a
    /// half times the mean, which spreads a burst over the mean. `pressure` is demand over what is
    /// let in: ten times too many callers need ten times as long to be served, hence the mean is
    /// `back` times it, at most `back_most` so that a wrong figure doesn't send callers away for
    /// good.
    pub fn new(reason: Reason, pressure: f64, limits: &Limits, rng: &mut impl Rng) -> Self {
        let mean = limits.retry_after.as_secs_f64() * pressure.max(1.0);
        let mean = mean.min(limits.retry_after_max.as_secs_f64());
        let after = Duration::from_secs_f64(mean * rng.random_range(0.5..1.5));
        Refusal { reason, after }
    }
}
