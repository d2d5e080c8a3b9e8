use std::time::Duration;

/// Part of their latency objective within which an answer must be expected for a caller to be let in,
/// while most answers are in time.
const LOOSE: f64 = 0.65;
/// The same for callers of the least urgent routes after a while in which answers took long. What can
/// be refused is only a part of the demand, as requests on open flows can't be.
const STRICT: f64 = 0.3;
/// Part of the latency objective that the mean answer may take before the limit falls. Answer times
/// scatter, and beyond it many are late.
const TARGET: f64 = 0.5;
/// Time in which the limit falls from the loosest to the strictest. Some times what an answer takes
/// under load, so that it is seen what a lower limit brings.
const FALL: Duration = Duration::from_millis(500);
/// Time in which it rises again. Slower than it falls: what is let in too early is late for everybody.
const RISE: Duration = Duration::from_secs(2);
/// The part for more urgent routes: it doesn't fall, so that the others make room for them.
const URGENT: f64 = LOOSE;
/// A server is free in any case as long as its answers take no more than this many times what they
/// take when nothing waits. Where the objective is tight, nothing would be let in otherwise.
const QUEUED: f64 = 1.3;

/// How much is expected of a server before it is given a new flow; follows the demand.
///
/// The limit falls while answers take long, and rises again. A fixed one either refuses callers that could
/// be served, where all of them open flows, or lets too many in, where most requests come on open flows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    part: f64,
    at: Duration,
}

impl Default for Limit {
    fn default() -> Self {
        Limit {
            part: LOOSE,
            at: Duration::ZERO,
        }
    }
}

impl Limit {
    /// Takes in that an answer of the service takes `mean` seconds at present, where callers want it
    /// within `latency`.
    pub fn follow(&mut self, mean: f64, latency: Duration, now: Duration) {
        let passed = now.saturating_sub(self.at).min(FALL).as_secs_f64();
        self.at = self.at.max(now);
        let step = if mean > TARGET * latency.as_secs_f64() {
            -passed / FALL.as_secs_f64()
        } else {
            passed / RISE.as_secs_f64()
        };
        self.part = (self.part + step * (LOOSE - STRICT)).clamp(STRICT, LOOSE);
    }

    /// The part of their latency objective that callers of the least urgent routes get.
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

/// What the callers of a route expect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyObjective {
    /// Within which time an answer is worth all to them.
    pub latency: Duration,
    /// How urgent they are, 0 being the most; none if the operators don't say.
    pub priority: Option<u32>,
}

/// What a flow is let in by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// What its callers expect.
    pub objective: LatencyObjective,
    /// Whether less urgent flows use the same servers.
    pub urgent: bool,
    /// See [`Limit::part`].
    pub part: f64,
}

/// What a server would do with a request at present.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prospect {
    /// How long its answer would take, in seconds.
    pub expected: f64,
    /// How long when nothing waits, in seconds; nothing before it is measured.
    pub idle: Option<f64>,
}

impl Terms {
    /// Whether the server is to take a new flow with such a request.
    ///
    /// Only openings can be refused without harm, as nothing of them has run. They are refused while the
    /// rest is still in time: behind a full queue, all answers are late. The limit is the time within
    /// which callers gain from the answer, see [`Terms::limit`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_load::overload::{LatencyObjective, Prospect, Terms};
    /// let objective = LatencyObjective { latency: Duration::from_millis(200), priority: None };
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

    /// The longest answer, in seconds, with which the server is still free for such a request. As
    /// long as it is not known what an answer takes when nothing waits, the whole objective.
    #[must_use]
    pub fn limit(&self, server: &Prospect) -> f64 {
        let latency = self.objective.latency.as_secs_f64();
        let part = if self.urgent { URGENT } else { self.part };
        match server.idle {
            Some(_) if !self.is_met_by(server) => part * latency,
            Some(idle) => (part * latency).max(QUEUED * idle),
            None => latency,
        }
    }

    /// Whether the server could answer in time when nothing waits there.
    fn is_met_by(&self, server: &Prospect) -> bool {
        let latency = self.objective.latency.as_secs_f64();
        server.idle.is_none_or(|idle| idle <= latency)
    }
}

/// A flow that is to be refused: which server would answer it first, and how late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal<S> {
    /// The server.
    pub server: S,
    /// How long its answer would take, in seconds.
    pub expected: f64,
    /// How long it may take for the flow to be let in, in seconds.
    pub limit: f64,
}

/// The server for a new flow: the one that it was `placed` at if that one is free, or else the one of
/// `others` that is furthest below its limit. Where that is none, the flow is refused, but not where
/// no server could be in time at all: then the objective says nothing of load.
///
/// # Errors
/// By what the flow is to be refused.
///
/// ```
/// use std::time::Duration;
/// use acacia_load::overload::{LatencyObjective, Prospect, Terms, admit};
/// let objective = LatencyObjective { latency: Duration::from_millis(200), priority: None };
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
    let (mut first, mut excess, mut met) = (placed, f64::INFINITY, false);
    for server in others {
        let prospect = prospect(server);
        met |= terms.is_met_by(&prospect);
        let over = prospect.expected - terms.limit(&prospect);
        if over < excess {
            (first, excess) = (server, over);
        }
    }
    let prospect = prospect(first);
    if !met {
        return Ok(placed);
    }
    if excess <= 0.0 {
        return Ok(first);
    }
    Err(Refusal {
        server: first,
        expected: prospect.expected,
        limit: terms.limit(&prospect),
    })
}
