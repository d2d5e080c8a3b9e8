//! How fast each server is, as far as callers' packets show it.
//!
//! Load: servers bought over the years, whose speeds differ by more than two to one and are told by
//! nobody. Harm: with equal parts the slow ones are nearly full while the fast ones idle, and their
//! callers wait. The times from a caller's data to the acknowledgement of the answer show the speed;
//! [`Speed`] turns them into a capacity that doesn't depend on how busy the server was.

use std::{sync::Arc, time::Duration};

use acacia_load::{limits::Limits, signal::Window, speed::Speed, tally::Count};
use acacia_wire::collections::Map;

/// Between two evaluations.
const TICK: Duration = Duration::from_secs(1);
/// Largest ratio between a server's weight and the mean of its service. Beyond it, an estimate is
/// more likely wrong than true.
const MOST: f64 = 2.5;

/// One server.
#[derive(Debug, Default)]
struct Entry {
    count: Count,
    speed: Speed,
    slots: u32,
}

/// The servers' speeds, as one traffic thread sees them.
#[derive(Debug, Default)]
pub struct Speeds {
    servers: Map<Arc<str>, Entry>,
    /// Counts of all servers, for the network's part of a time.
    all: Window,
    limits: Limits,
    ticked: Duration,
}

impl Speeds {
    /// Data went to a server that had nothing to answer on the flow before.
    pub fn asked(&mut self, server: &Arc<str>) {
        self.entry(server).asked += 1;
    }

    /// The first part of the answer was acknowledged after `took`.
    pub fn answered(&mut self, server: &Arc<str>, took: Duration) {
        let count = self.entry(server);
        count.answered += 1;
        count.timed += 1;
        count.answering += took;
    }

    /// An opening was answered after `took`, which is the network's time.
    pub fn opened(&mut self, server: &Arc<str>, took: Duration) {
        let count = self.entry(server);
        count.completed += 1;
        count.opening += took;
    }

    fn entry(&mut self, server: &Arc<str>) -> &mut Count {
        &mut self.servers.entry(Arc::clone(server)).or_default().count
    }

    /// Evaluates what came since the last time, once a second. `slots` gives a server's, or nothing
    /// where it is not known any more; `visible` is the part of all answers that is seen here.
    pub fn tick(&mut self, now: Duration, visible: f64, slots: impl Fn(&str) -> Option<u32>) {
        let passed = now.saturating_sub(self.ticked);
        if passed < TICK {
            return;
        }
        self.ticked = now;
        let mut sum = Count::default();
        for entry in self.servers.values() {
            sum.completed += entry.count.completed;
            sum.opening += entry.count.opening;
        }
        self.all.add(&sum, passed, self.limits.slow);
        let network = self.all.network().unwrap_or_default();
        self.servers.retain(|server, entry| match slots(server) {
            Some(slots) => {
                entry.slots = slots;
                let count = std::mem::take(&mut entry.count);
                entry
                    .speed
                    .learn(&count, passed, network, visible, slots, &self.limits);
                true
            }
            None => false,
        });
    }

    /// Factors on the weights of some servers of one service, in their order: their speed a slot in
    /// proportion to the mean. A server whose speed is not known yet has the mean.
    ///
    /// ```
    /// use acacia_cookie::speed::Speeds;
    /// assert_eq!(Speeds::default().factors(["a", "b"]), [1.0, 1.0]);
    /// ```
    pub fn factors<'a>(&self, servers: impl IntoIterator<Item = &'a str>) -> Vec<f64> {
        let speeds = servers.into_iter().map(|server| self.speed(server));
        let speeds: Vec<Option<f64>> = speeds.collect();
        let known = speeds.iter().flatten();
        let mean = known.clone().sum::<f64>() / known.count().max(1) as f64;
        let factor = |speed: &Option<f64>| match speed {
            Some(speed) if mean > 0.0 => (speed / mean).clamp(1.0 / MOST, MOST),
            _ => 1.0,
        };
        speeds.iter().map(factor).collect()
    }

    fn speed(&self, server: &str) -> Option<f64> {
        let entry = self.servers.get(server)?;
        Some(entry.speed.questions()? / f64::from(entry.slots.max(1)))
    }
}
