//! Which servers have fallen silent.
//!
//! Load: a server or its machine dies without a word, or a cut puts all servers of a data centre out
//! of reach at once. Harm: callers wait out their deadlines on flows that nobody answers, and new
//! flows join them until the store drops the server's entry, seconds later. One notices by callers'
//! packets that are sent again. That alone proves little (one lost packet looks the same), so it
//! only starts a probe: whether the server's address still accepts a connection. A server that
//! lives accepts one within a round trip however busy it is, so two probes in a row without an
//! answer, together with an unanswered packet, are taken as proof.

use std::{sync::Arc, time::Duration};

use acacia_wire::collections::Map;

/// How long a probe waits. 60 ms: twice the longest round trip between regions.
pub const WAIT: Duration = Duration::from_millis(60);
/// Probes in a row without an answer before a server is taken for silent. With one packet of ten
/// lost, two lose theirs in one of a hundred cases, and only after a packet has gone unanswered.
const PROBES: u32 = 2;
/// Between the two. They overlap, as each of them waits for next to nothing where the server lives;
/// one after the other they took 200 ms, in which callers wait.
const APART: Duration = Duration::from_millis(25);
/// After which probes that brought no result are given up: they were never sent, as too many were
/// under way.
const EXPIRY: Duration = Duration::from_millis(240);
/// Between two probes of a silent server.
const AGAIN: Duration = Duration::from_millis(400);
/// Where at least this part of all servers is silent, it is this balancer that is cut off, and its
/// callers are better served through another.
const ISOLATED: f64 = 0.95;

/// What is known of a server's silence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// It answered a probe at that time.
    Content(Duration),
    /// Probes are under way.
    Asked {
        /// How many were sent.
        sent: u32,
        /// How many of them had no answer in time.
        failed: u32,
        /// When the last was sent.
        at: Duration,
    },
    /// Silent; the last probe was sent at that time.
    Silent(Duration),
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
}

impl Detector {
    /// Takes in that a server is said to be silent, by a packet that went unanswered or by a peer.
    /// True if it is to be probed now; one that answered a probe within the time of `doubt` is not.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::silence::{Detector, Verdict};
    /// let ms = Duration::from_millis;
    /// let mut detector = Detector::default();
    /// assert!(detector.suspect(&"host-1".into(), ms(300), ms(0)));
    /// assert_eq!(detector.due(ms(0)), ["host-1".into()]);
    /// assert_eq!(detector.due(ms(25)), ["host-1".into()]);
    /// assert_eq!(detector.unanswered(&"host-1".into(), ms(60)), Verdict::Same);
    /// assert_eq!(detector.unanswered(&"host-1".into(), ms(85)), Verdict::Silent);
    /// assert_eq!(detector.answered(&"host-1".into(), ms(700)), Verdict::Back);
    /// ```
    pub fn suspect(&mut self, server: &Arc<str>, doubt: Duration, now: Duration) -> bool {
        match self.states.get(server) {
            Some(State::Content(at)) if now < *at + doubt => false,
            Some(State::Asked { at, .. }) if now < *at + EXPIRY => false,
            Some(State::Silent(_)) => false,
            _ => {
                let asked = State::Asked {
                    sent: 0,
                    failed: 0,
                    at: now,
                };
                self.states.insert(Arc::clone(server), asked);
                true
            }
        }
    }

    /// The server has answered a probe, or a flow.
    pub fn answered(&mut self, server: &Arc<str>, now: Duration) -> Verdict {
        match self.states.insert(Arc::clone(server), State::Content(now)) {
            Some(State::Silent(_)) => Verdict::Back,
            _ => Verdict::Same,
        }
    }

    /// A probe had no answer.
    pub fn unanswered(&mut self, server: &Arc<str>, now: Duration) -> Verdict {
        let Some(state) = self.states.get_mut(server) else {
            return Verdict::Same;
        };
        if let State::Asked { failed, .. } = state {
            *failed += 1;
            if *failed >= PROBES {
                *state = State::Silent(now);
                return Verdict::Silent;
            }
        }
        Verdict::Same
    }

    /// The servers to probe now; each counts as probed.
    pub fn due(&mut self, now: Duration) -> Vec<Arc<str>> {
        let mut due = Vec::new();
        for (server, state) in &mut self.states {
            match state {
                State::Asked { sent, at, .. } if is_due(*sent, *at, now) => {
                    (*sent, *at) = (*sent + 1, now);
                }
                State::Silent(at) if now >= *at + AGAIN => *at = now,
                _ => continue,
            }
            due.push(Arc::clone(server));
        }
        due.sort_unstable();
        due
    }

    /// When the next probe is due.
    #[must_use]
    pub fn next(&self) -> Option<Duration> {
        self.states
            .values()
            .filter_map(|state| match state {
                State::Content(_) => None,
                State::Asked { sent: 0, at, .. } => Some(*at),
                State::Asked { sent, at, .. } => (*sent < PROBES).then_some(*at + APART),
                State::Silent(at) => Some(*at + AGAIN),
            })
            .min()
    }

    /// Whether a server is silent.
    #[must_use]
    pub fn is_silent(&self, server: &str) -> bool {
        matches!(self.states.get(server), Some(State::Silent(_)))
    }

    /// The silent servers.
    #[must_use]
    pub fn silent(&self) -> Vec<Arc<str>> {
        let silent = self
            .states
            .iter()
            .filter(|(_, state)| matches!(state, State::Silent(_)));
        silent.map(|(server, _)| Arc::clone(server)).collect()
    }

    /// Forgets servers that `is_known` doesn't name.
    pub fn retain(&mut self, is_known: impl Fn(&Arc<str>) -> bool) {
        self.states.retain(|server, _| is_known(server));
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

/// The first probe leaves at once, the next a moment later.
fn is_due(sent: u32, at: Duration, now: Duration) -> bool {
    sent == 0 || sent < PROBES && now >= at + APART
}
