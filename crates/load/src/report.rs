use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::tally::{Count, Tally};

/// Unit of times in a report. Coarse, since the sums of many samples round away.
const TICK: Duration = Duration::from_micros(100);

/// One server in a report: about 10 bytes with variable-length integers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerReport {
    /// See [`Count`]; all but `open` are since the last report.
    pub opened: u32,
    /// See [`Count`].
    pub completed: u32,
    /// In units of 100 µs, summed.
    pub opening: u32,
    /// See [`Count`].
    pub asked: u32,
    /// See [`Count`].
    pub answered: u32,
    /// See [`Count`].
    pub timed: u32,
    /// In units of 100 µs, summed.
    pub answering: u32,
    /// Flows opened less flows closed here since the start; below zero at a balancer that is
    /// younger than the flows. Absolute, so that a lost report does no lasting harm.
    pub open: i32,
}

impl ServerReport {
    /// Rounds a count into a line.
    #[must_use]
    pub fn new(count: &Count, open: i32) -> Self {
        let ticks = |time: Duration| {
            let ticks = time.as_nanos() / TICK.as_nanos();
            u32::try_from(ticks).unwrap_or(u32::MAX)
        };
        ServerReport {
            opened: count.opened,
            completed: count.completed,
            opening: ticks(count.opening),
            asked: count.asked,
            answered: count.answered,
            timed: count.timed,
            answering: ticks(count.answering),
            open,
        }
    }

    /// The counts in the line.
    #[must_use]
    pub fn count(&self) -> Count {
        Count {
            opened: self.opened,
            completed: self.completed,
            opening: TICK * self.opening,
            asked: self.asked,
            answered: self.answered,
            timed: self.timed,
            answering: TICK * self.answering,
            closed: 0,
            ..Count::default()
        }
    }
}

/// One class in a report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassReport {
    /// Since the last report.
    pub admitted: u32,
    /// Since the last report.
    pub refused: u32,
    /// Flows opened less flows closed here since the start.
    pub open: i32,
}

/// What a balancer tells its peers about one pool in each heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Revision of the configuration that numbers servers and classes.
    pub revision: u64,
    /// Rises by one with each report; a repeated one isn't merged twice.
    pub sequence: u32,
    /// By index of server.
    pub servers: Vec<ServerReport>,
    /// By index of class.
    pub classes: Vec<ClassReport>,
}

impl Report {
    /// The counts since the report before.
    #[must_use]
    pub fn tally(&self) -> Tally {
        let mut tally = Tally::new(0, self.classes.len());
        tally
            .servers
            .extend(self.servers.iter().map(ServerReport::count));
        for (to, from) in tally.classes.iter_mut().zip(&self.classes) {
            to.admitted = from.admitted;
            to.refused = from.refused;
        }
        tally
    }
}
