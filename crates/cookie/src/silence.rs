//! Detects servers that no longer answer (silent servers).
//!
//! A server may crash without closing its connections, or a network partition may make all servers
//! of a data centre unreachable, seconds before their entries expire in the store. The first sign
//! is a caller's retransmission. One lost packet looks the same, so a retransmission only starts an
//! examination, which checks whether the server's address still accepts connections. A live server
//! accepts one within a round trip, however busy it is.
//!
//! In a large data centre, a few balancers examine a server and the others adopt their result.
//!
//! [`probe`](crate::probe) describes the probes of an examination and what counts as proof.

use std::{sync::Arc, time::Duration};

use acacia_wire::collections::Map;

/// Maximum number of servers examined or probed together.
pub const MAX_EXAMINED: usize = 64;
/// Minimum interval between two probes of a silent server, and the delay from the verdict to the
/// first one.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two probes of a silent server as a fraction of the time since the verdict. The
/// return of a server is detected at once if it was unreachable for a moment, and otherwise within
/// a quarter of the time that it was unreachable.
const BACKOFF_RATIO: f64 = 0.25;
/// Maximum interval between two probes of a silent server.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// How long to wait for the result of an examination. If there is none by then, the examination was
/// never run, as too many were under way, and the server may be suspected again.
const RESULT_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of peers that must report a server as silent before a balancer that did not examine it
/// adopts the result. A single peer may itself be cut off from the network.
pub(crate) const QUORUM: usize = 2;
/// How long a peer's report remains valid.
pub(crate) const REPORT_TTL: Duration = Duration::from_secs(2);
/// How long peers' reports on a server are ignored after it answered a probe of this balancer: it
/// may be unreachable only from those peers.
pub const PEER_TRUST: Duration = Duration::from_secs(2);
/// Minimum fraction of silent servers at which this balancer considers itself cut off from the
/// network. Its callers are then better served by another balancer.
const ISOLATION_RATIO: f64 = 0.95;

/// Whether a server answers, as far as is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It answered a probe at that time.
    Responsive(Duration),
    /// It has been waiting for an examination since that time.
    Suspected(Duration),
    /// Its examination started at that time.
    Examined(Duration),
    /// It does not answer.
    Silent {
        /// When it was found silent.
        since: Duration,
        /// When it is to be probed next.
        next_probe: Duration,
        /// Whether the verdict was adopted from peers rather than reached by an own examination.
        adopted: bool,
    },
}

/// A peer's report that a server is silent, or that a data centre can't be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Report {
    pub(crate) reporter: u64,
    /// When it arrived.
    pub(crate) at: Duration,
}

/// The servers to examine now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Due {
    /// Servers that may no longer answer.
    pub suspected: Vec<Arc<str>>,
    /// Silent servers that may answer again. A single probe without a control shows it.
    pub silent: Vec<Arc<str>>,
}

/// Result of an examination.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The server answered a probe.
    Answered,
    /// The server answered no probe, and the control did.
    Silent,
    /// Nothing can be concluded: the server answered no probe, and probes of the control went
    /// unanswered too or there was no control.
    Unknown,
}

/// Change of a server's state that the control thread acts upon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing changes.
    Same,
    /// The server no longer answers.
    Silent,
    /// The server answers again.
    Back,
}

/// Tracks which servers are suspected, examined or silent.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    states: Map<Arc<str>, State>,
    /// Suspected servers that left a packet unanswered here, which are examined before the others.
    unanswered: Vec<Arc<str>>,
    reports: Map<Arc<str>, Vec<Report>>,
}

impl Detector {
    /// Marks a server as suspected because a packet to it went unanswered or a peer reported it as
    /// silent. Returns true if it is to be examined. A server that answered a probe within the last
    /// `trust` is not.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::silence::{Detector, Finding, Verdict};
    /// let ms = Duration::from_millis;
    /// let mut detector = Detector::default();
    /// assert!(detector.suspect(&"host-1".into(), ms(300), ms(0)));
    /// assert_eq!(detector.due(ms(0)).suspected, ["host-1".into()]);
    /// assert_eq!(detector.found(&"host-1".into(), Finding::Silent, ms(85)), Verdict::Silent);
    /// assert_eq!(detector.found(&"host-1".into(), Finding::Answered, ms(700)), Verdict::Back);
    /// ```
    pub fn suspect(&mut self, server: &Arc<str>, trust: Duration, now: Duration) -> bool {
        match self.states.get(server) {
            Some(State::Responsive(at)) if now < *at + trust => false,
            Some(State::Suspected(at) | State::Examined(at)) if now < *at + RESULT_TIMEOUT => false,
            Some(State::Silent { .. }) => false,
            _ => {
                self.states
                    .insert(Arc::clone(server), State::Suspected(now));
                true
            }
        }
    }

    /// As [`Detector::suspect`], for a server that left a packet of a caller unanswered here. It is examined
    /// before others, as its callers are waiting.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::silence::Detector;
    /// let mut detector = Detector::default();
    /// assert!(detector.suspect_unanswered(&"host-1".into(), Duration::ZERO, Duration::ZERO));
    /// assert_eq!(detector.due(Duration::ZERO).suspected, ["host-1".into()]);
    /// ```
    pub fn suspect_unanswered(
        &mut self,
        server: &Arc<str>,
        trust: Duration,
        now: Duration,
    ) -> bool {
        let examine = self.suspect(server, trust, now);
        let is_suspected = matches!(self.states.get(server), Some(State::Suspected(_)));
        if is_suspected && !self.unanswered.contains(server) {
            self.unanswered.push(Arc::clone(server));
        }
        examine
    }

    /// Returns the servers to examine or probe now, at most [`MAX_EXAMINED`]. The others wait for
    /// the next call. Suspected servers come before silent ones.
    ///
    /// A network partition may make a thousand servers of a data centre unreachable. Probing them
    /// all at once would need more file descriptors than a small balancer has left.
    pub fn due(&mut self, now: Duration) -> Due {
        let mut due = Due::default();
        let first = self.unanswered.len().min(MAX_EXAMINED);
        for server in self.unanswered.drain(..first) {
            if let Some(state @ State::Suspected(_)) = self.states.get_mut(&server) {
                *state = State::Examined(now);
                due.suspected.push(server);
            }
        }
        let room = MAX_EXAMINED - due.suspected.len();
        let suspected = self.states.iter_mut();
        let suspected = suspected.filter(|(_, state)| matches!(state, State::Suspected(_)));
        for (server, state) in suspected.take(room) {
            *state = State::Examined(now);
            due.suspected.push(Arc::clone(server));
        }
        for (server, state) in &mut self.states {
            if due.suspected.len() + due.silent.len() == MAX_EXAMINED {
                break;
            }
            if let State::Silent {
                since,
                next_probe,
                adopted,
            } = state
                && now >= *next_probe
            {
                *next_probe = now + probe_interval(now.saturating_sub(*since), *adopted);
                due.silent.push(Arc::clone(server));
            }
        }
        due.suspected.sort_unstable();
        due.silent.sort_unstable();
        due
    }

    /// Records the result of an examination or probe.
    pub fn found(&mut self, server: &Arc<str>, finding: Finding, now: Duration) -> Verdict {
        let state = self.states.get(server).copied();
        match (finding, state) {
            (Finding::Answered, state) => {
                self.states
                    .insert(Arc::clone(server), State::Responsive(now));
                match state {
                    Some(State::Silent { .. }) => Verdict::Back,
                    _ => Verdict::Same,
                }
            }
            (Finding::Silent, Some(State::Examined(_))) => {
                self.states
                    .insert(Arc::clone(server), new_silent(false, now));
                Verdict::Silent
            }
            (Finding::Unknown, Some(State::Examined(_))) => {
                self.states.remove(server);
                Verdict::Same
            }
            _ => Verdict::Same,
        }
    }

    /// Records that the peer `reporter` found a server silent by its own examination. Once
    /// [`QUORUM`] peers have reported it, the server is silent for this balancer as well, without a
    /// probe.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::silence::{Detector, Verdict};
    /// let mut detector = Detector::default();
    /// let server = "host-1".into();
    /// assert_eq!(detector.peer_found_silent(&server, 1, Duration::ZERO), Verdict::Same);
    /// assert_eq!(detector.peer_found_silent(&server, 1, Duration::ZERO), Verdict::Same);
    /// assert_eq!(detector.peer_found_silent(&server, 2, Duration::ZERO), Verdict::Silent);
    /// ```
    pub fn peer_found_silent(
        &mut self,
        server: &Arc<str>,
        reporter: u64,
        now: Duration,
    ) -> Verdict {
        match self.states.get(server) {
            Some(State::Responsive(at)) if now < *at + PEER_TRUST => return Verdict::Same,
            Some(State::Suspected(at) | State::Examined(at)) if now < *at + RESULT_TIMEOUT => {
                return Verdict::Same;
            }
            Some(State::Silent { .. }) => return Verdict::Same,
            _ => {}
        }
        let reports = self.reports.entry(Arc::clone(server)).or_default();
        reports.retain(|report| report.reporter != reporter && now < report.at + REPORT_TTL);
        reports.push(Report { reporter, at: now });
        if reports.len() < QUORUM {
            return Verdict::Same;
        }
        self.reports.remove(server);
        self.states
            .insert(Arc::clone(server), new_silent(true, now));
        Verdict::Silent
    }

    /// Records that a silent server answered a peer's probe. If this balancer found it silent by
    /// its own examination, the server is probed at once instead of being trusted.
    pub fn peer_found_back(&mut self, server: &Arc<str>, now: Duration) -> Verdict {
        self.reports.remove(server);
        match self.states.get_mut(server) {
            Some(state @ State::Silent { adopted: true, .. }) => {
                // Older reports that are still in transit must not end its flows again.
                *state = State::Responsive(now);
                Verdict::Back
            }
            Some(State::Silent { next_probe, .. }) => {
                *next_probe = now;
                Verdict::Same
            }
            _ => Verdict::Same,
        }
    }

    /// Lets a silent server be probed at once, as it may answer again.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::silence::{Detector, Finding};
    /// let mut detector = Detector::default();
    /// let server = "host-1".into();
    /// detector.suspect(&server, Duration::ZERO, Duration::ZERO);
    /// detector.due(Duration::ZERO);
    /// detector.found(&server, Finding::Silent, Duration::ZERO);
    /// detector.probe_at_once(&server, Duration::ZERO);
    /// assert_eq!(detector.due(Duration::ZERO).silent, [server]);
    /// ```
    pub fn probe_at_once(&mut self, server: &str, now: Duration) {
        if let Some(State::Silent { next_probe, .. }) = self.states.get_mut(server) {
            *next_probe = now;
        }
    }

    /// When the next examination or probe is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.states
            .values()
            .filter_map(|state| match state {
                State::Responsive(_) | State::Examined(_) => None,
                State::Suspected(at) | State::Silent { next_probe: at, .. } => Some(*at),
            })
            .min()
    }

    /// Whether a server is silent.
    #[must_use]
    pub fn is_silent(&self, server: &str) -> bool {
        matches!(self.states.get(server), Some(State::Silent { .. }))
    }

    /// Whether a server may be the control of an examination, as it is neither suspected nor
    /// silent.
    #[must_use]
    pub fn is_trusted(&self, server: &str) -> bool {
        matches!(self.states.get(server), None | Some(State::Responsive(_)))
    }

    /// The servers that this balancer found silent by its own examination. Only these are reported
    /// to peers: adopted verdicts would return to their origin as if many balancers had confirmed
    /// them.
    #[must_use]
    pub fn found_silent(&self) -> Vec<Arc<str>> {
        let found = self
            .states
            .iter()
            .filter(|(_, state)| matches!(state, State::Silent { adopted: false, .. }));
        found.map(|(server, _)| Arc::clone(server)).collect()
    }

    /// All silent servers, whether examined here or adopted from peers.
    #[must_use]
    pub fn silent(&self) -> Vec<Arc<str>> {
        let silent = self
            .states
            .iter()
            .filter(|(_, state)| matches!(state, State::Silent { .. }));
        silent.map(|(server, _)| Arc::clone(server)).collect()
    }

    /// Discards the state of a server that has restarted.
    pub fn forget(&mut self, server: &str) {
        self.reports.remove(server);
        self.states.remove(server);
    }

    /// Keeps only the servers for which `is_known` returns true.
    pub fn retain(&mut self, is_known: impl Fn(&Arc<str>) -> bool) {
        self.states.retain(|server, _| is_known(server));
        self.unanswered.retain(&is_known);
        self.reports.retain(|server, _| is_known(server));
    }
}

/// Whether so many of `all` servers are silent that this balancer itself is probably cut off from the
/// network. One or two silent servers are never taken as a sign of that.
///
/// ```
/// use acacia_cookie::silence::is_isolated;
/// assert!(is_isolated(20, 21));
/// assert!(!is_isolated(2, 2));
/// ```
#[must_use]
pub fn is_isolated(silent: usize, all: usize) -> bool {
    silent > 2 && silent as f64 >= ISOLATION_RATIO * all as f64
}

/// The state of a server that is found silent now.
fn new_silent(adopted: bool, now: Duration) -> State {
    State::Silent {
        since: now,
        next_probe: now + probe_interval(Duration::ZERO, adopted),
        adopted,
    }
}

/// Interval until the next probe of a server that has been silent for `silent`. Balancers that
/// examined it report its return to those that adopted the verdict. The latter probe it less often,
/// only in case no report arrives.
pub(crate) fn probe_interval(silent: Duration, adopted: bool) -> Duration {
    let min = if adopted {
        MAX_PROBE_INTERVAL
    } else {
        MIN_PROBE_INTERVAL
    };
    silent.mul_f64(BACKOFF_RATIO).clamp(min, MAX_PROBE_INTERVAL)
}
