//! Which servers have fallen silent.
//!
//! A server may die without a word, or a cut may put all servers of a data centre out of reach, seconds
//! before the store drops their entries. The sign is a caller's packet that is sent again. As one lost
//! packet looks the same, it only starts an examination: whether the server's address still accepts a
//! connection. A server that lives accepts one within a round trip however busy it is.
//!
//! In a large data centre a few balancers examine a server for all; the others take their word.
//!
//! How an examination goes, and what is proof, stands in [`trial`](crate::trial).

use std::{sync::Arc, time::Duration};

use acacia_wire::collections::Map;

/// Servers examined together.
pub const MAX_EXAMINED: usize = 64;
/// From the verdict to the first probe of a silent server, and the part of the time since the verdict
/// that passes between later ones. A server that was away for a moment is found at once, one that was
/// away for long within a quarter of that time.
const AGAIN: Duration = Duration::from_millis(400);
/// See [`AGAIN`].
const BACK_OFF: f64 = 0.25;
/// Longest time between two probes of a silent server.
const AGAIN_MOST: Duration = Duration::from_secs(3);
/// After this long an examination without a result is given up: it was never made, as too many were
/// under way.
const EXPIRY: Duration = Duration::from_millis(500);
/// Peers that must have found a server silent before a balancer that didn't examine it takes their word:
/// one that is cut off itself convinces nobody.
const QUORUM: usize = 2;
/// How long a peer's report counts.
const REPORTED: Duration = Duration::from_secs(2);
/// How long a server that has answered a probe here is trusted whatever peers say of it: it may be out of
/// reach for them alone.
pub const PEER_TRUST: Duration = Duration::from_secs(2);
/// Where at least this part of all servers is silent, it is this balancer that is cut off, and its
/// callers are better served through another.
const ISOLATED: f64 = 0.95;

/// What is known of a server's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It answered a probe at that time.
    Content(Duration),
    /// It is to be examined, since that time.
    Doubted(Duration),
    /// It is being examined, since that time.
    Examined(Duration),
    /// Silent since that time; it is to be probed again at the other.
    Silent {
        /// When it was found silent.
        since: Duration,
        /// When it is to be probed again.
        again: Duration,
        /// Whether peers found it silent, and not an examination of this balancer's own.
        adopted: bool,
    },
}

/// A peer that has found a server silent, and when it said so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Report {
    reporter: u64,
    at: Duration,
}

/// The servers to examine now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Due {
    /// Those of which it is in question whether they live.
    pub suspected: Vec<Arc<str>>,
    /// Silent ones, which may be back: a single probe without a control tells.
    pub silent: Vec<Arc<str>>,
}

/// What an examination has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// The server answered a probe.
    Answered,
    /// It answered none, and the control did.
    Silent,
    /// It answered none, nor did the control.
    Unknown,
}

/// A change that the control thread acts upon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing changes.
    Same,
    /// The server has fallen silent.
    Silent,
    /// The server answers again.
    Back,
}

/// The servers under suspicion.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    states: Map<Arc<str>, State>,
    reports: Map<Arc<str>, Vec<Report>>,
}

impl Detector {
    /// Takes in that a server is said to be silent, by a packet that went unanswered or by a peer.
    /// True if it is to be examined; one that answered a probe within the time of `trust` is not.
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
            Some(State::Content(at)) if now < *at + trust => false,
            Some(State::Doubted(at) | State::Examined(at)) if now < *at + EXPIRY => false,
            Some(State::Silent { .. }) => false,
            _ => {
                self.states.insert(Arc::clone(server), State::Doubted(now));
                true
            }
        }
    }

    /// The servers to examine now, [`MAX_EXAMINED`] at most; the others wait for the next time.
    ///
    /// A cut puts a thousand servers of a data centre out of reach; probed together, they would take more
    /// descriptors than a small balancer has left.
    pub fn due(&mut self, now: Duration) -> Due {
        let mut due = Due::default();
        for (server, state) in &mut self.states {
            if due.suspected.len() + due.silent.len() == MAX_EXAMINED {
                break;
            }
            match state {
                State::Doubted(_) => {
                    *state = State::Examined(now);
                    due.suspected.push(Arc::clone(server));
                }
                State::Silent {
                    since,
                    again,
                    adopted,
                } if now >= *again => {
                    *again = now + pause(now.saturating_sub(*since), *adopted);
                    due.silent.push(Arc::clone(server));
                }
                _ => {}
            }
        }
        due.suspected.sort_unstable();
        due.silent.sort_unstable();
        due
    }

    /// Takes in what an examination has shown.
    pub fn found(&mut self, server: &Arc<str>, finding: Finding, now: Duration) -> Verdict {
        let state = self.states.get(server).copied();
        match (finding, state) {
            (Finding::Answered, state) => {
                self.states.insert(Arc::clone(server), State::Content(now));
                match state {
                    Some(State::Silent { .. }) => Verdict::Back,
                    _ => Verdict::Same,
                }
            }
            (Finding::Silent, Some(State::Examined(_))) => {
                self.states.insert(Arc::clone(server), silent(false, now));
                Verdict::Silent
            }
            (Finding::Unknown, Some(State::Examined(_))) => {
                self.states.remove(server);
                Verdict::Same
            }
            _ => Verdict::Same,
        }
    }

    /// Takes in that the peer `reporter` has found a server silent by its own examination. Once
    /// [`QUORUM`] peers have, it is silent here as well, without a probe.
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
            Some(State::Content(at)) if now < *at + PEER_TRUST => return Verdict::Same,
            Some(State::Doubted(at) | State::Examined(at)) if now < *at + EXPIRY => {
                return Verdict::Same;
            }
            Some(State::Silent { .. }) => return Verdict::Same,
            _ => {}
        }
        let reports = self.reports.entry(Arc::clone(server)).or_default();
        reports.retain(|report| report.reporter != reporter && now < report.at + REPORTED);
        reports.push(Report { reporter, at: now });
        if reports.len() < QUORUM {
            return Verdict::Same;
        }
        self.reports.remove(server);
        self.states.insert(Arc::clone(server), silent(true, now));
        Verdict::Silent
    }

    /// Takes in that a silent server has answered a peer's probe. One that was found silent here is probed
    /// at once.
    pub fn peer_found_back(&mut self, server: &Arc<str>, now: Duration) -> Verdict {
        self.reports.remove(server);
        match self.states.get_mut(server) {
            Some(state @ State::Silent { adopted: true, .. }) => {
                // Words from before that are still under way must not end its flows again.
                *state = State::Content(now);
                Verdict::Back
            }
            Some(State::Silent { again, .. }) => {
                *again = now;
                Verdict::Same
            }
            _ => Verdict::Same,
        }
    }

    /// When the next examination is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.states
            .values()
            .filter_map(|state| match state {
                State::Content(_) | State::Examined(_) => None,
                State::Doubted(at) | State::Silent { again: at, .. } => Some(*at),
            })
            .min()
    }

    /// Whether a server is silent.
    #[must_use]
    pub fn is_silent(&self, server: &str) -> bool {
        matches!(self.states.get(server), Some(State::Silent { .. }))
    }

    /// Whether a server may serve as the control of an examination: nothing speaks against it.
    #[must_use]
    pub fn is_trusted(&self, server: &str) -> bool {
        matches!(self.states.get(server), None | Some(State::Content(_)))
    }

    /// The servers that this balancer has found silent by its own examination: only these are told to
    /// others, or their word would come back to them as that of many.
    #[must_use]
    pub fn found_silent(&self) -> Vec<Arc<str>> {
        let found = self
            .states
            .iter()
            .filter(|(_, state)| matches!(state, State::Silent { adopted: false, .. }));
        found.map(|(server, _)| Arc::clone(server)).collect()
    }

    /// The silent servers.
    #[must_use]
    pub fn silent(&self) -> Vec<Arc<str>> {
        let silent = self
            .states
            .iter()
            .filter(|(_, state)| matches!(state, State::Silent { .. }));
        silent.map(|(server, _)| Arc::clone(server)).collect()
    }

    /// Forgets what is known of a server: it has started anew.
    pub fn forget(&mut self, server: &str) {
        self.reports.remove(server);
        self.states.remove(server);
    }

    /// Forgets servers that `is_known` doesn't name.
    pub fn retain(&mut self, is_known: impl Fn(&Arc<str>) -> bool) {
        self.states.retain(|server, _| is_known(server));
        self.reports.retain(|server, _| is_known(server));
    }

    /// Whether so many of `all` servers are silent that it is this balancer that is cut off. One or
    /// two servers that die are no sign of it.
    ///
    /// ```
    /// assert!(!acacia_cookie::silence::Detector::default().is_isolated(10));
    /// ```
    #[must_use]
    pub fn is_isolated(&self, all: usize) -> bool {
        let silent = self.silent().len();
        silent > 2 && silent as f64 >= ISOLATED * all as f64
    }
}

/// The state of a server that is found silent now.
fn silent(adopted: bool, now: Duration) -> State {
    State::Silent {
        since: now,
        again: now + pause(Duration::ZERO, adopted),
        adopted,
    }
}

/// From one probe of a server that has been silent for so long to the next. Those that examined it tell
/// the others when it is back, which probe it in case no word of that comes.
fn pause(silent: Duration, adopted: bool) -> Duration {
    let least = if adopted { AGAIN_MOST } else { AGAIN };
    silent.mul_f64(BACK_OFF).clamp(least, AGAIN_MOST)
}
