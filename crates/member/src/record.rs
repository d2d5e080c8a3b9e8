use std::collections::VecDeque;
use std::time::Duration;

use crate::{Contact, Phase, Settings, State};

/// How many of our heartbeats to one peer are remembered by their sending time. 64: at the least
/// gap of 100 ms that reaches back 6.4 s, three times the bound of a small group. An echo of an
/// older one proves nothing anyway.
const SENT: usize = 64;

/// A line of the platform's list of VMs. The list lags; it never overrides what is heard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hint {
    /// Whom to contact.
    pub contact: Contact,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// What the platform's list said of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Listed {
    /// Nothing yet.
    Never,
    /// It is there.
    Live,
    /// It is leaving, or no longer there after having been there.
    Ending,
}

/// Everything kept of one other member.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: u16,
    pub(crate) contact: Option<Contact>,
    pub(crate) listed: Listed,
    pub(crate) incarnation: Option<u64>,
    /// The last accepted heartbeat's number.
    pub(crate) number: u64,
    pub(crate) phase: Phase,
    pub(crate) state: State,
    /// When the last accepted heartbeat arrived.
    pub(crate) heard: Option<Duration>,
    /// Since when it has not been in a heard state; from here the bound for death runs.
    pub(crate) quiet: Duration,
    /// Whether it has proven, since it was last unheard, that it lives now: it echoed a recent
    /// heartbeat of our present incarnation. Replays can't.
    pub(crate) proven: bool,
    /// The sending time of the latest of our heartbeats that it echoed.
    pub(crate) echoed: Option<Duration>,
    pub(crate) acknowledged: u64,
    /// Between its heartbeats, as it said itself.
    pub(crate) interval: Duration,
    pub(crate) ask: Vec<u16>,
    pub(crate) hear: Vec<u16>,
    pub(crate) revision: u64,
    pub(crate) table: u64,
    /// Numbers and times of our last heartbeats to it.
    sent: VecDeque<(u64, Duration)>,
    /// Whether the next heartbeat shall not wait for the interval.
    pub(crate) urgent: bool,
    /// Whether that heartbeat shall ask for a prompt answer.
    pub(crate) prompt: bool,
}

impl Record {
    pub(crate) fn new(id: u16, now: Duration) -> Self {
        Record {
            id,
            contact: None,
            listed: Listed::Never,
            incarnation: None,
            number: 0,
            phase: Phase::Joining,
            state: State::Unheard,
            heard: None,
            quiet: now,
            proven: false,
            echoed: None,
            acknowledged: 0,
            interval: Duration::ZERO,
            ask: Vec::new(),
            hear: Vec::new(),
            revision: 0,
            table: 0,
            sent: VecDeque::new(),
            urgent: true,
            prompt: true,
        }
    }

    /// Forgets what the member has proven: after its restart or ours.
    pub(crate) fn distrust(&mut self, now: Duration) {
        self.proven = false;
        self.echoed = None;
        self.acknowledged = 0;
        self.ask.clear();
        self.hear.clear();
        self.quiet = now;
        self.urgent = true;
        self.prompt = true;
        if self.state != State::Dead {
            self.state = State::Unheard;
        }
    }

    /// Forgets which heartbeats were sent: their numbers belong to our former incarnation.
    pub(crate) fn forget_sent(&mut self) {
        self.sent.clear();
    }

    pub(crate) fn remember_sent(&mut self, number: u64, now: Duration) {
        if self.sent.len() == SENT {
            self.sent.pop_front();
        }
        self.sent.push_back((number, now));
    }

    pub(crate) fn last_sent(&self) -> Option<Duration> {
        self.sent.back().map(|(_, at)| *at)
    }

    pub(crate) fn sent_at(&self, number: u64) -> Option<Duration> {
        let at = self
            .sent
            .binary_search_by_key(&number, |(sent, _)| *sent)
            .ok()?;
        Some(self.sent[at].1)
    }

    /// The bound after which it is unheard, and its echo stale, by the slower of both sides: it
    /// echoes ours no more often than it sends.
    pub(crate) fn freshness_timeout(&self, settings: &Settings, interval: Duration) -> Duration {
        interval.max(self.interval) * settings.fresh_intervals
    }

    /// The bound after which it is dead if nobody hears it.
    pub(crate) fn death_timeout(&self, settings: &Settings, interval: Duration) -> Duration {
        interval.max(self.interval) * settings.death_intervals
    }

    /// Whether a heartbeat arrived within the bound.
    pub(crate) fn is_arriving(&self, now: Duration, bound: Duration) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_sub(heard) <= bound)
    }

    /// Whether it echoed a heartbeat that was sent within the bound.
    pub(crate) fn is_fresh(&self, now: Duration, bound: Duration) -> bool {
        self.echoed
            .is_some_and(|echoed| now.saturating_sub(echoed) <= bound)
    }
}

impl Record {
    /// Whether its end is known to be near: then silence means that it has ended.
    pub(crate) fn is_ending(&self) -> bool {
        self.listed == Listed::Ending || self.phase == Phase::Leaving
    }

    /// When it last gave a sign of life; before the first one, since when it is awaited.
    pub(crate) fn last_sign(&self) -> Duration {
        match self.heard {
            Some(heard) if self.state.is_heard() => heard,
            heard => self.quiet.max(heard.unwrap_or_default()),
        }
    }
}
