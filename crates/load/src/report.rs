use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::tally::{Count, Tally};

/// Unit of the times in a report. It can be this coarse because times are sums of many samples.
const TIME_UNIT: Duration = Duration::from_micros(100);

/// Counts of one server in a report; encoded in about 10 bytes, with variable-length integers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// See [`Count`]; all fields but `open` count since the last report.
    pub opened: u32,
    /// See [`Count`].
    pub completed: u32,
    /// Sum, in units of 100 µs; see [`Count`].
    pub opening: u32,
    /// See [`Count`].
    pub asked: u32,
    /// See [`Count`].
    pub answered: u32,
    /// See [`Count`].
    pub timed: u32,
    /// Sum, in units of 100 µs; see [`Count`].
    pub answering: u32,
    /// Opened minus closed flows at this balancer since its start; negative if flows close here that
    /// opened elsewhere. A total and not a difference, so that a lost report has no lasting effect.
    pub open: i32,
}

impl Server {
    /// Converts the counts of a server, with times rounded down to 100 µs.
    #[must_use]
    pub fn new(count: &Count, open: i32) -> Self {
        let units = |time: Duration| {
            let units = time.as_nanos() / TIME_UNIT.as_nanos();
            u32::try_from(units).unwrap_or(u32::MAX)
        };
        Server {
            opened: count.opened,
            completed: count.completed,
            opening: units(count.opening),
            asked: count.asked,
            answered: count.answered,
            timed: count.timed,
            answering: units(count.answering),
            open,
        }
    }

    /// Returns the counts, without the fields that reports don't contain.
    #[must_use]
    pub fn count(&self) -> Count {
        Count {
            opened: self.opened,
            completed: self.completed,
            opening: TIME_UNIT * self.opening,
            asked: self.asked,
            answered: self.answered,
            timed: self.timed,
            answering: TIME_UNIT * self.answering,
            closed: 0,
            ..Count::default()
        }
    }
}

/// Counts of one class in a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// New flows admitted since the last report.
    pub admitted: u32,
    /// New flows refused since the last report.
    pub refused: u32,
    /// Opened minus closed flows at this balancer since its start.
    pub open: i32,
}

/// Load report on one pool, which a balancer sends to its peers in each heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Revision of the configuration to which the indices of servers and classes refer.
    pub revision: u64,
    /// Sequence number; a report that arrives twice is merged once.
    pub sequence: u32,
    /// Counts by index of server.
    pub servers: Vec<Server>,
    /// Counts by index of class.
    pub classes: Vec<Class>,
}

impl Report {
    /// Returns the counts since the previous report.
    #[must_use]
    pub fn tally(&self) -> Tally {
        let mut tally = Tally::new(0, self.classes.len());
        tally.servers.extend(self.servers.iter().map(Server::count));
        for (to, from) in tally.classes.iter_mut().zip(&self.classes) {
            to.admitted = from.admitted;
            to.refused = from.refused;
        }
        tally
    }
}
