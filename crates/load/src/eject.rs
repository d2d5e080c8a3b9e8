use std::time::Duration;

use crate::{limits::Limits, signal::Window};

/// The part of what a server should have given, by what is `usual` at the others, that it hasn't:
/// `seen` of `base` were given. 0 unless it is certain enough.
///
/// Load, for openings that are not completed: a server sheds, as its connections are used up or it
/// protects itself. Harm: each opening sent there is reset by the server. With direct server return
/// the reset passes no balancer, so one notices only that no further packet follows the opening.
///
/// Load, for questions that are not answered: a server has become slow, and its queue grows. Harm:
/// every flow placed there waits. It shows here before the times of answers do, as those come late.
#[must_use]
pub fn missing(base: f64, seen: f64, usual: f64, limits: &Limits) -> f64 {
    let expected = (base * usual).max(1.0);
    let part = 1.0 - seen / expected;
    let least = (limits.certainty / expected.sqrt()).max(limits.shed);
    if part >= least { part } else { 0.0 }
}

/// A server's record of having been left alone.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Record {
    /// Until when it is left alone; nothing if it is in use.
    pub until: Option<Duration>,
    /// How often in a row.
    times: u32,
    /// When it last came back.
    back: Duration,
}

/// Whether a server answers far less than the others do. See [`Limits::silence`].
///
/// Load: a server hangs while its kernel still accepts connections and its health endpoint says
/// fine. Harm: every flow placed there waits in silence. One notices that data goes there and no
/// acknowledgement moves; as each balancer sees but a part of the packets, the number is set
/// against what the others give, not against 1. `trusted` is false while its health endpoint says
/// that it fails: then half of the evidence is enough.
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

/// Which servers are left alone.
///
/// Ejection is capped: if more than a set part of the pool looks silent, then the signal is more
/// likely wrong than the servers, and the rest keep their places in the table.
#[derive(Debug, Clone, Default)]
pub struct Ejections {
    records: Vec<Record>,
}

impl Ejections {
    /// Nobody is left alone.
    #[must_use]
    pub fn new(servers: usize) -> Self {
        Ejections {
            records: vec![Record::default(); servers],
        }
    }

    /// The records of the servers that a changed configuration keeps: `from` gives the old index of
    /// each new one.
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

    /// Whether that server is left alone now.
    #[must_use]
    pub fn ejected(&self, server: usize) -> bool {
        self.records
            .get(server)
            .is_some_and(|record| record.until.is_some())
    }

    /// Takes back those whose rest is over and leaves the `silent` ones alone as far as the cap
    /// goes. Gives those that came back.
    pub fn step(&mut self, silent: &[bool], now: Duration, limits: &Limits) -> Vec<usize> {
        let mut back = Vec::new();
        for (server, record) in self.records.iter_mut().enumerate() {
            if record.until.is_some_and(|until| until <= now) {
                record.until = None;
                record.back = now;
                back.push(server);
            }
        }
        let most = (limits.eject * self.records.len() as f64).floor() as usize;
        let mut out = self
            .records
            .iter()
            .filter(|record| record.until.is_some())
            .count();
        for (record, silent) in self.records.iter_mut().zip(silent) {
            if !silent || record.until.is_some() || out >= most {
                continue;
            }
            out += 1;
            // A relapse soon after coming back doubles the rest, so that a dead server costs a
            // shrinking number of callers; one that did well for a while starts anew.
            let relapse = record.times > 0 && now < record.back + 4 * limits.ejection_time;
            record.times = if relapse { record.times + 1 } else { 1 };
            let rest = limits.ejection_time * (1 << (record.times - 1).min(16));
            record.until = Some(now + rest.min(limits.ejection_time_max));
        }
        back
    }
}
