use std::time::Duration;

/// Highest limit, as a fraction of the latency objective; it applies while most answers are in time.
/// A flow is admitted if its answer is expected within the limit.
const MAX_PART: f64 = 0.65;
/// Lowest limit, for callers of the least urgent routes after answers have been slow for a while.
/// It is this low because only a part of the demand can be refused: requests on open flows can't be.
const MIN_PART: f64 = 0.3;
/// Mean answer time, as a fraction of the latency objective, above which the limit falls. Answer
/// times scatter, so many answers are late when the mean is above this.
const TARGET: f64 = 0.5;
/// Time in which the limit falls from the highest to the lowest value. It is several times the time
/// of an answer under load, so that the effect of a lower limit is visible before it falls further.
const FALL: Duration = Duration::from_millis(500);
/// Time in which the limit rises again. It rises more slowly than it falls, since a flow that is
/// admitted too early delays all answers.
const RISE: Duration = Duration::from_secs(2);
/// Limit for more urgent routes. It doesn't fall, so that flows of the other routes are refused first.
const URGENT_PART: f64 = MAX_PART;
/// A server takes new flows in any case while its answers take at most this many times their time
/// without queueing. Otherwise a tight objective would admit nothing.
const MIN_QUEUEING: f64 = 1.3;

/// Limit on the expected answer time for new flows, which adapts to the demand.
///
/// The limit falls while answers are slow, and rises again afterwards. A fixed limit would refuse
/// callers that could be served if every request opens a flow, or would admit too many if most
/// requests come on open flows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    part: f64,
    at: Duration,
}

impl Default for Limit {
    fn default() -> Self {
        Limit {
            part: MAX_PART,
            at: Duration::ZERO,
        }
    }
}

impl Limit {
    /// Adapts the limit to the service's present mean answer time, `mean` seconds, and the objective
    /// `latency`.
    pub fn follow(&mut self, mean: f64, latency: Duration, now: Duration) {
        let passed = now.saturating_sub(self.at).min(FALL).as_secs_f64();
        self.at = self.at.max(now);
        let step = if mean > TARGET * latency.as_secs_f64() {
            -passed / FALL.as_secs_f64()
        } else {
            passed / RISE.as_secs_f64()
        };
        self.part = (self.part + step * (MAX_PART - MIN_PART)).clamp(MIN_PART, MAX_PART);
    }

    /// Returns the limit for callers of the least urgent routes, as a fraction of their latency
    /// objective.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::overload::Limit;
    /// let (mut limit, latency) = (Limit::default(), Duration::from_millis(200));
    /// let before = limit.part();
    /// limit.follow(0.15, latency, Duration::from_millis(100));
    /// assert!(limit.part() < before);
    /// ```
    #[must_use]
    pub fn part(&self) -> f64 {
        self.part
    }
}

/// Latency and priority that the operators configure for a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objective {
    /// Time within which an answer has its full value to them.
    pub latency: Duration,
    /// Priority, 0 being the most urgent; `None` if the operators set none.
    pub priority: Option<u32>,
}

/// Conditions under which a flow is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Objective of the flow's route.
    pub objective: Objective,
    /// Whether less urgent flows use the same servers.
    pub urgent: bool,
    /// See [`Limit::part`].
    pub part: f64,
}

/// Expected answer time of a server at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prospect {
    /// Time that an answer would take, in seconds.
    pub expected: f64,
    /// Time of an answer without queueing, in seconds; `None` before it is measured.
    pub idle: Option<f64>,
}

impl Terms {
    /// Returns whether the server takes a new flow.
    ///
    /// Only openings can be refused without harm, since no work has run for them. They are refused
    /// while the other answers are still in time; behind a full queue, all answers would be late.
    /// See [`Terms::limit`] for the limit.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::overload::{Objective, Prospect, Terms};
    /// let objective = Objective { latency: Duration::from_millis(200), priority: None };
    /// let terms = Terms { objective, urgent: false, part: 0.35 };
    /// let prospect = |expected| Prospect { expected, idle: Some(0.04) };
    /// assert!(terms.admits(&prospect(0.06)));
    /// assert!(!terms.admits(&prospect(0.08)));
    /// assert!(Terms { urgent: true, ..terms }.admits(&prospect(0.08)));
    /// ```
    #[must_use]
    pub fn admits(&self, server: &Prospect) -> bool {
        server.expected <= self.limit(server)
    }

    /// Returns the longest expected answer time, in seconds, at which the server still takes the
    /// flow. It is the whole objective while the answer time without queueing isn't known.
    #[must_use]
    pub fn limit(&self, server: &Prospect) -> f64 {
        let latency = self.objective.latency.as_secs_f64();
        let part = if self.urgent { URGENT_PART } else { self.part };
        match server.idle {
            Some(_) if !self.is_met_by(server) => part * latency,
            Some(idle) => (part * latency).max(MIN_QUEUEING * idle),
            None => latency,
        }
    }

    /// Returns whether the server could answer in time without queueing.
    fn is_met_by(&self, server: &Prospect) -> bool {
        let latency = self.objective.latency.as_secs_f64();
        server.idle.is_none_or(|idle| idle <= latency)
    }
}

/// Why a flow is refused: the server that came closest to its limit, and both times.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal<S> {
    /// The server closest to its limit.
    pub server: S,
    /// Time that its answer would take, in seconds.
    pub expected: f64,
    /// Longest time at which the flow would be admitted, in seconds.
    pub limit: f64,
}

/// Returns the server for a new flow: the one where it was `placed` if that is below its limit, else
/// the one of `others` that is furthest below its limit.
///
/// If none of `others` could meet the objective even without queueing, the flow stays where it was
/// placed: the objective then says nothing about load.
///
/// # Errors
/// Returns a [`Refusal`] if all servers are above their limits.
///
/// ```
/// use std::time::Duration;
/// use acacia_load::overload::{Objective, Prospect, Terms, admit};
/// let objective = Objective { latency: Duration::from_millis(200), priority: None };
/// let terms = Terms { objective, urgent: false, part: 0.35 };
/// let prospect = |server: u32| Prospect {
///     expected: [0.15, 0.05, 0.3][server as usize],
///     idle: Some(0.04),
/// };
/// assert_eq!(admit(&terms, 0, 0..3, prospect), Ok(1));
/// assert!(admit(&terms, 0, [0, 2], prospect).is_err());
/// ```
pub fn admit<S: Copy>(
    terms: &Terms,
    placed: S,
    others: impl IntoIterator<Item = S>,
    prospect: impl Fn(S) -> Prospect,
) -> Result<S, Refusal<S>> {
    if terms.admits(&prospect(placed)) {
        return Ok(placed);
    }
    let (mut best, mut excess, mut can_meet) = (placed, f64::INFINITY, false);
    for server in others {
        let prospect = prospect(server);
        can_meet |= terms.is_met_by(&prospect);
        let over = prospect.expected - terms.limit(&prospect);
        if over < excess {
            (best, excess) = (server, over);
        }
    }
    let prospect = prospect(best);
    if !can_meet {
        return Ok(placed);
    }
    if excess <= 0.0 {
        return Ok(best);
    }
    Err(Refusal {
        server: best,
        expected: prospect.expected,
        limit: terms.limit(&prospect),
    })
}
