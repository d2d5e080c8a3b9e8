//! One examination of servers under suspicion: what to probe when, and what the answers show.
//!
//! A server that is wrongly found silent has all its flows ended, the worst that a balancer can do. Behind
//! a full link callers' packets and probes wait or are lost while every server is well. So a server is
//! silent only beside a *control*, another server that answers meanwhile. Probes of
//! the two alternate, and the probes come first and last: whatever delays or loses packets for
//! longer than [`BETWEEN`] then meets the control too. Were the control probed last, a queue that
//! drains would let it through in time where the probes before it had waited too long.

use std::time::Duration;

use crate::silence::Finding;

/// How long a probe waits: twice the longest round trip between regions.
pub const WAIT: Duration = Duration::from_millis(60);
/// From the first probe to the second. Most servers live and answer the first within it.
const APART: Duration = Duration::from_millis(25);
/// Between a probe and the control that follows it, or the other way round.
const BETWEEN: Duration = Duration::from_millis(5);
/// Refused connections that are proof without further probes: a refusal is an answer of the server's
/// machine, so that no loss explains it.
const REFUSALS: u32 = 2;

/// What is probed in a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Servers,
    Control,
}

/// The steps, each with the time since the one before. With fewer of either, a lossy link lets living
/// servers look silent.
const STEPS: [(Duration, Step); 10] = [
    (Duration::ZERO, Step::Servers),
    (APART, Step::Servers),
    (BETWEEN, Step::Control),
    (BETWEEN, Step::Servers),
    (BETWEEN, Step::Control),
    (BETWEEN, Step::Servers),
    (BETWEEN, Step::Control),
    (BETWEEN, Step::Servers),
    (BETWEEN, Step::Control),
    (BETWEEN, Step::Servers),
];

/// Probes of a server in a whole trial.
const PROBES: u32 = count(Step::Servers);
/// Probes of the control.
const CONTROLS: u32 = count(Step::Control);

const fn count(step: Step) -> u32 {
    let (mut found, mut at) = (0, 0);
    while at < STEPS.len() {
        found += (STEPS[at].1 as u32 == step as u32) as u32;
        at += 1;
    }
    found
}

/// Something to probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Probe {
    /// The server under suspicion with this index.
    Server(usize),
    /// The control.
    Control,
}

/// How a probe ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The connection was accepted.
    Accepted,
    /// It was refused.
    Refused,
    /// Nothing came within [`WAIT`].
    Missing,
}

/// What is known of a server.
#[derive(Debug, Clone, Copy, Default)]
struct Server {
    answered: bool,
    refused: u32,
    missing: u32,
}

impl Server {
    fn is_refusing(self) -> bool {
        !self.answered && self.refused >= REFUSALS
    }

    /// Whether further probes may tell something of it.
    fn is_open(self) -> bool {
        !self.answered && self.refused < REFUSALS
    }
}

/// An examination under way.
#[derive(Debug, Clone)]
pub struct Trial {
    servers: Vec<Server>,
    step: usize,
    /// When the next step is due.
    at: Duration,
    /// Probes that have not ended.
    under_way: usize,
    /// Controls that were answered.
    controls: u32,
    /// Whether a control went unanswered, or there is none: nothing is concluded then.
    uncontrolled: bool,
    has_control: bool,
}

impl Trial {
    /// A trial of so many servers that begins at `now`, with or without a server to be its control.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::{silence::Finding, trial::{Answer, Probe, Trial}};
    /// let mut trial = Trial::new(1, true, Duration::ZERO);
    /// assert_eq!(trial.due(Duration::ZERO), [Probe::Server(0)]);
    /// trial.record(Probe::Server(0), Answer::Accepted);
    /// assert!(trial.is_over());
    /// assert_eq!(trial.findings(), [Finding::Answered]);
    /// ```
    #[must_use]
    pub fn new(servers: usize, has_control: bool, now: Duration) -> Self {
        Trial {
            servers: vec![Server::default(); servers],
            step: 0,
            at: now,
            under_way: 0,
            controls: 0,
            uncontrolled: false,
            has_control,
        }
    }

    /// What to probe now. Call [`Trial::record`] as each probe ends.
    pub fn due(&mut self, now: Duration) -> Vec<Probe> {
        let Some((_, step)) = self.next_step().filter(|(at, _)| now >= *at) else {
            return Vec::new();
        };
        self.step += 1;
        // From now and not from the time planned: where this process was held up, steps that are late
        // must not be made together.
        self.at = now + STEPS.get(self.step).map_or(Duration::ZERO, |(gap, _)| *gap);
        let probes = self.probes(step);
        self.under_way += probes.len();
        probes
    }

    fn probes(&mut self, step: Step) -> Vec<Probe> {
        match step {
            Step::Servers => {
                let servers = self.servers.iter().enumerate();
                let open = servers.filter(|(_, server)| server.is_open());
                open.map(|(index, _)| Probe::Server(index)).collect()
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
        Some((self.at, *step))
    }

    /// When [`Trial::due`] is to be asked next; none if nothing more is to be probed.
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        self.next_step().map(|(at, _)| at)
    }

    /// Takes in how a probe ended.
    pub fn record(&mut self, probe: Probe, answer: Answer) {
        self.under_way -= 1;
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

    /// Whether further probes would change nothing.
    fn is_decided(&self) -> bool {
        let open = self.servers.iter().any(|server| server.is_open());
        let refusing = self.servers.iter().any(|server| server.is_refusing());
        self.uncontrolled || (!open && (!refusing || self.controls > 0))
    }

    /// Whether all is known that this trial can show.
    #[must_use]
    pub fn is_over(&self) -> bool {
        // A server may answer yet when the control has not.
        let waits = self.uncontrolled && self.under_way > 0;
        let done = self.is_decided() || self.step == STEPS.len() && self.under_way == 0;
        done && !waits
    }

    /// What was found of each server, by index.
    #[must_use]
    pub fn findings(&self) -> Vec<Finding> {
        self.servers.iter().map(|one| self.finding(*one)).collect()
    }

    fn finding(&self, server: Server) -> Finding {
        let silent = server.refused + server.missing >= PROBES && self.controls >= CONTROLS;
        match server.answered {
            true => Finding::Answered,
            false if self.uncontrolled => Finding::Unknown,
            false if server.is_refusing() && self.controls > 0 => Finding::Silent,
            false if silent => Finding::Silent,
            false => Finding::Unknown,
        }
    }
}
