use std::collections::VecDeque;
use std::time::Duration;

use crate::{Contact, Phase, Settings, State};

/// Number of our latest heartbeats to one peer whose sending times are kept. At the minimum gap of
/// 100 ms, 64 of them cover 6.4 s, three times the freshness timeout of a small group. An echo of an
/// older heartbeat is stale anyway.
const MAX_SENT: usize = 64;

/// An entry of the platform's list of VMs. The list lags, so it never overrides what heartbeats
/// show.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hint {
    /// The listed balancer.
    pub contact: Contact,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// A member's state according to the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Listed {
    /// It has not been listed so far.
    Never,
    /// It is listed.
    Live,
    /// It is listed as leaving, or was listed before and no longer is.
    Ending,
}

/// All state that is kept for one other member.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) id: u16,
    pub(crate) contact: Option<Contact>,
    pub(crate) listed: Listed,
    pub(crate) incarnation: Option<u64>,
    /// The number of the last accepted heartbeat.
    pub(crate) number: u64,
    pub(crate) phase: Phase,
    pub(crate) state: State,
    /// When the last accepted heartbeat arrived.
    pub(crate) heard: Option<Duration>,
    /// When the death timeout starts: at its last heartbeat before it became unheard, or when it
    /// was added or had to prove itself again.
    pub(crate) unheard_since: Duration,
    /// Whether it has echoed a recent heartbeat of our current incarnation since it was last
    /// unheard. That proves it is alive now; a replayed heartbeat can't echo a recent one.
    pub(crate) proven: bool,
    /// The sending time of the latest of our heartbeats that it echoed.
    pub(crate) echoed: Option<Duration>,
    pub(crate) acknowledged: u64,
    /// The time between its heartbeats, as it reports it.
    pub(crate) interval: Duration,
    pub(crate) ask: Vec<u16>,
    pub(crate) hear: Vec<u16>,
    pub(crate) revision: u64,
    pub(crate) table: u64,
    /// Numbers and sending times of our last heartbeats to it, in ascending order.
    sent: VecDeque<(u64, Duration)>,
    /// Whether the next heartbeat is sent without waiting for the interval.
    pub(crate) urgent: bool,
    /// Whether the next heartbeat asks for an immediate answer.
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
            unheard_since: now,
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

    /// Discards all evidence that the member is alive, after its restart or ours.
    pub(crate) fn discard_proof(&mut self, now: Duration) {
        self.proven = false;
        self.echoed = None;
        self.acknowledged = 0;
        self.ask.clear();
        self.hear.clear();
        self.unheard_since = now;
        self.urgent = true;
        self.prompt = true;
        if self.state != State::Dead {
            self.state = State::Unheard;
        }
    }

    /// Drops the sending times: the heartbeats' numbers belong to our previous incarnation.
    pub(crate) fn forget_sent(&mut self) {
        self.sent.clear();
    }

    pub(crate) fn remember_sent(&mut self, number: u64, now: Duration) {
        if self.sent.len() == MAX_SENT {
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

    /// The time after which the member is unheard and its echo stale. It follows the longer of both
    /// sides' intervals, as the member echoes our heartbeats no more often than it sends its own.
    pub(crate) fn freshness_timeout(&self, settings: &Settings, interval: Duration) -> Duration {
        interval.max(self.interval) * settings.fresh_intervals
    }

    /// The time after which the member is dead if no other heard member hears it.
    pub(crate) fn death_timeout(&self, settings: &Settings, interval: Duration) -> Duration {
        interval.max(self.interval) * settings.death_intervals
    }

    /// Whether its last heartbeat arrived within `bound`.
    pub(crate) fn is_arriving(&self, now: Duration, bound: Duration) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_sub(heard) <= bound)
    }

    /// Whether it echoed a heartbeat that we sent within `bound`.
    pub(crate) fn is_fresh(&self, now: Duration, bound: Duration) -> bool {
        self.echoed
            .is_some_and(|echoed| now.saturating_sub(echoed) <= bound)
    }
}

impl Record {
    /// Whether it is known to be stopping; silence then means that it has stopped.
    pub(crate) fn is_ending(&self) -> bool {
        self.listed == Listed::Ending || self.phase == Phase::Leaving
    }

    /// The time of its last sign of life; before the first one, when waiting for it began.
    pub(crate) fn last_sign_of_life(&self) -> Duration {
        match self.heard {
            Some(heard) if self.state.is_heard() => heard,
            heard => self.unheard_since.max(heard.unwrap_or_default()),
        }
    }
}
