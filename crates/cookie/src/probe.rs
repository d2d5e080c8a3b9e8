//! One examination of suspected servers: when to probe which, and what the answers prove.
//!
//! If a server is wrongly found silent, all its flows are ended, which is the worst that a balancer
//! can do. On a saturated link, callers' packets and probes are queued or lost although every
//! server is healthy. A server is therefore found silent only if a *control*, another server,
//! answers in the same period. Probes of the two alternate, and the server's probes come first and
//! last, so that anything that delays or loses packets for longer than [`STEP_GAP`] affects the
//! control too. If the control were probed last, a draining queue could deliver its probe in time
//! although the earlier probes of the server had waited too long.

use std::time::Duration;

use crate::silence::Finding;

/// Timeout of a probe: twice the longest round trip between regions.
pub const WAIT: Duration = Duration::from_millis(60);
/// Delay from the first probe to the second. Most suspected servers are alive and answer the first
/// probe within it.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(25);
/// Delay between a probe of the servers and one of the control, in either order.
const STEP_GAP: Duration = Duration::from_millis(5);
/// Number of refused connections that prove a server silent without further probes. A refusal is
/// sent by the server's host, so packet loss cannot explain it.
const MIN_REFUSALS: u32 = 2;

/// Target of the probes in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Servers,
    Control,
}

/// The steps of a sequence, each with the delay after the previous one. With fewer probes of the
/// servers or of the control, live servers are found silent over a lossy link.
const STEPS: [(Duration, Step); 10] = [
    (Duration::ZERO, Step::Servers),
    (SECOND_PROBE_DELAY, Step::Servers),
    (STEP_GAP, Step::Control),
    (STEP_GAP, Step::Servers),
    (STEP_GAP, Step::Control),
    (STEP_GAP, Step::Servers),
    (STEP_GAP, Step::Control),
    (STEP_GAP, Step::Servers),
    (STEP_GAP, Step::Control),
    (STEP_GAP, Step::Servers),
];

/// Number of probes of each server in a complete sequence.
const SERVER_PROBES: u32 = count(Step::Servers);
/// Number of probes of the control in a complete sequence.
const CONTROL_PROBES: u32 = count(Step::Control);

const fn count(step: Step) -> u32 {
    let (mut total, mut index) = (0, 0);
    while index < STEPS.len() {
        total += (STEPS[index].1 as u32 == step as u32) as u32;
        index += 1;
    }
    total
}

/// Target of one probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The suspected server with this index.
    Server(usize),
    /// The control.
    Control,
}

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The connection was accepted.
    Accepted,
    /// The connection was refused.
    Refused,
    /// No answer arrived within [`WAIT`].
    Missing,
}

/// Results of the probes of one server.
#[derive(Debug, Clone, Copy, Default)]
struct Server {
    answered: bool,
    /// Number of refused probes.
    refused: u32,
    /// Number of probes without an answer.
    missing: u32,
}

impl Server {
    fn is_refusing(self) -> bool {
        !self.answered && self.refused >= MIN_REFUSALS
    }

    /// Whether further probes may change the result for this server.
    fn is_undecided(self) -> bool {
        !self.answered && self.refused < MIN_REFUSALS
    }
}

/// The sequence of probes in one examination, and their results so far.
#[derive(Debug, Clone)]
pub struct Sequence {
    servers: Vec<Server>,
    /// Index of the next step.
    step: usize,
    /// When the next step is due.
    step_due: Duration,
    /// Number of probes without a result yet.
    pending: usize,
    /// Number of accepted probes of the control.
    controls: u32,
    /// Whether a probe of the control was not accepted, or there is no control. Nothing can be
    /// concluded then.
    uncontrolled: bool,
    has_control: bool,
}

impl Sequence {
    /// Creates the sequence for `servers` servers that starts at `now`. `has_control` tells whether
    /// there is a server to be the control.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::{silence::Finding, probe::{Answer, Probe, Sequence}};
    /// let mut sequence = Sequence::new(1, true, Duration::ZERO);
    /// assert_eq!(sequence.due(Duration::ZERO), [Probe::Server(0)]);
    /// sequence.record(Probe::Server(0), Answer::Accepted);
    /// assert!(sequence.is_over());
    /// assert_eq!(sequence.findings(), [Finding::Answered]);
    /// ```
    #[must_use]
    pub fn new(servers: usize, has_control: bool, now: Duration) -> Self {
        Sequence {
            servers: vec![Server::default(); servers],
            step: 0,
            step_due: now,
            pending: 0,
            controls: 0,
            uncontrolled: false,
            has_control,
        }
    }

    /// Returns the probes to send now. Call [`Sequence::record`] with the result of each.
    pub fn due(&mut self, now: Duration) -> Vec<Probe> {
        let Some((_, step)) = self.next_step().filter(|(at, _)| now >= *at) else {
            return Vec::new();
        };
        self.step += 1;
        // The delay counts from now rather than from the scheduled time. Otherwise the late steps
        // would all run at once after this process was suspended.
        self.step_due = now + STEPS.get(self.step).map_or(Duration::ZERO, |(gap, _)| *gap);
        let probes = self.probes(step);
        self.pending += probes.len();
        probes
    }

    fn probes(&mut self, step: Step) -> Vec<Probe> {
        match step {
            Step::Servers => {
                let servers = self.servers.iter().enumerate();
                let undecided = servers.filter(|(_, server)| server.is_undecided());
                undecided.map(|(index, _)| Probe::Server(index)).collect()
            }
            Step::Control if self.has_control => vec![Probe::Control],
            Step::Control => {
                self.uncontrolled = true;
                Vec::new()
            }
        }
    }

    fn next_step(&self) -> Option<(Duration, Step)> {
        let (_, step) = STEPS.get(self.step).filter(|_| !self.is_decided())?;
        Some((self.step_due, *step))
    }

    /// When to call [`Sequence::due`] next; `None` if no probes remain.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.next_step().map(|(at, _)| at)
    }

    /// Records the result of a probe.
    pub fn record(&mut self, probe: Probe, answer: Answer) {
        self.pending -= 1;
        match probe {
            Probe::Server(index) => {
                let server = &mut self.servers[index];
                match answer {
                    Answer::Accepted => server.answered = true,
                    Answer::Refused => server.refused += 1,
                    Answer::Missing => server.missing += 1,
                }
            }
            Probe::Control if answer == Answer::Accepted => self.controls += 1,
            Probe::Control => self.uncontrolled = true,
        }
    }

    /// Whether further probes cannot change the findings.
    fn is_decided(&self) -> bool {
        let undecided = self.servers.iter().any(|server| server.is_undecided());
        let refusing = self.servers.iter().any(|server| server.is_refusing());
        self.uncontrolled || (!undecided && (!refusing || self.controls > 0))
    }

    /// Whether the findings are final.
    #[must_use]
    pub fn is_over(&self) -> bool {
        // A server may still answer a pending probe although the control did not.
        let waits = self.uncontrolled && self.pending > 0;
        let done = self.is_decided() || self.step == STEPS.len() && self.pending == 0;
        done && !waits
    }

    /// The finding for each server, by index.
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        self.servers.iter().map(|one| self.finding(*one)).collect()
    }

    fn finding(&self, server: Server) -> Finding {
        let silent =
            server.refused + server.missing >= SERVER_PROBES && self.controls >= CONTROL_PROBES;
        match server.answered {
            true => Finding::Answered,
            false if self.uncontrolled => Finding::Unknown,
            false if server.is_refusing() && self.controls > 0 => Finding::Silent,
            false if silent => Finding::Silent,
            false => Finding::Unknown,
        }
    }
}
