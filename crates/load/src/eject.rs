use std::time::Duration;

use crate::{limits::Limits, signal::Window};

/// Returns the fraction of the expected responses that a server hasn't given, or 0 if that may be
/// chance. `seen` of `base` openings or requests had a response, and `usual` is the fraction at all
/// servers together.
///
/// For openings, the missing part is what the server sheds, as its connections are used up or it
/// protects itself. The server resets those openings, and with direct server return the reset
/// passes no balancer: a balancer only sees that no packet follows the opening.
///
/// For requests, a missing part means that the server has become slow and its queue grows, so that
/// every flow placed there waits. This shows earlier than in the answer times, since slow answers
/// come late.
#[must_use]
pub fn missing(base: f64, seen: f64, usual: f64, limits: &Limits) -> f64 {
    let expected = (base * usual).max(1.0);
    let part = 1.0 - seen / expected;
    let least = (limits.certainty / expected.sqrt()).max(limits.shed);
    if part >= least { part } else { 0.0 }
}

/// Ejection history of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Record {
    /// End of the present ejection; `None` if the server is in use.
    pub until: Option<Duration>,
    /// Number of ejections in a row.
    times: u32,
    /// End of the last ejection.
    returned: Duration,
}

/// Returns whether a server answers far less than the others do, see [`Limits::silence`].
///
/// A server may hang while its kernel still accepts connections and its health endpoint reports no
/// failure; every flow placed there then waits without an answer. Balancers see that data goes to
/// the server but no acknowledgement advances. Each balancer sees only a part of the packets, so the
/// fraction of answers is compared with that of the others and not with 1. `trusted` is false while
/// the health endpoint reports a failure; half of the evidence is then enough.
#[must_use]
pub fn silent(window: &Window, others: &Window, trusted: bool, limits: &Limits) -> bool {
    let evidence = if trusted {
        limits.evidence
    } else {
        limits.evidence / 2.0
    };
    let lacks = |seen: f64, of: f64, usual: f64, base: f64| {
        let expected = if base > 0.0 { of * usual / base } else { 0.0 };
        expected >= evidence && seen < limits.silence * expected
    };
    lacks(window.answered, window.asked, others.answered, others.asked)
        || lacks(
            window.completed,
            window.opened,
            others.completed,
            others.opened,
        )
}

/// Tracks which servers are ejected.
///
/// The number of ejected servers is capped: if more than a set fraction of the pool looks silent,
/// the signal is more likely to be wrong than the servers, so the other servers stay in the table.
#[derive(Debug, Clone, Default)]
pub struct Ejections {
    records: Vec<Record>,
}

impl Ejections {
    /// Creates a state without ejections.
    #[must_use]
    pub fn new(servers: usize) -> Self {
        Ejections {
            records: vec![Record::default(); servers],
        }
    }

    /// Returns the state for a changed configuration; `from` contains the old index of each server,
    /// or `None` for a new one.
    #[must_use]
    pub fn remap(&self, from: &[Option<usize>]) -> Self {
        let old = |index: &Option<usize>| index.and_then(|index| self.records.get(index).copied());
        Ejections {
            records: from
                .iter()
                .map(|index| old(index).unwrap_or_default())
                .collect(),
        }
    }

    /// Returns whether the server is ejected now.
    #[must_use]
    pub fn ejected(&self, server: usize) -> bool {
        self.records
            .get(server)
            .is_some_and(|record| record.until.is_some())
    }

    /// Ends the ejections that are over, and ejects the `silent` servers up to the cap. Returns the
    /// servers whose ejection has ended.
    pub fn step(&mut self, silent: &[bool], now: Duration, limits: &Limits) -> Vec<usize> {
        let mut returned = Vec::new();
        for (server, record) in self.records.iter_mut().enumerate() {
            if record.until.is_some_and(|until| until <= now) {
                record.until = None;
                record.returned = now;
                returned.push(server);
            }
        }
        let most = (limits.eject * self.records.len() as f64).floor() as usize;
        let mut ejected = self
            .records
            .iter()
            .filter(|record| record.until.is_some())
            .count();
        for (record, silent) in self.records.iter_mut().zip(silent) {
            if !silent || record.until.is_some() || ejected >= most {
                continue;
            }
            ejected += 1;
            // A relapse soon after the return doubles the time, so that a dead server affects ever
            // fewer callers. A server that was fine for longer begins with the first time again.
            let relapse = record.times > 0 && now < record.returned + 4 * limits.ejection_time;
            record.times = if relapse { record.times + 1 } else { 1 };
            let time = limits.ejection_time * (1 << (record.times - 1).min(16));
            record.until = Some(now + time.min(limits.ejection_time_max));
        }
        returned
    }
}
