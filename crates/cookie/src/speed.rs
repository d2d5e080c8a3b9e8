//! How fast each server is, as far as callers' packets show it.
//!
//! Nobody tells the servers' speeds, which differ by more than two to one; with equal parts the slow ones
//! are nearly full while the fast ones idle. The times from a caller's data to the acknowledgement of the
//! answer show the speed; [`Speed`] turns them into a capacity that doesn't depend on how busy
//! the server was.
//!
//! Traffic threads count ([`Counts`]), and the control thread judges ([`Speeds`]) what they and its
//! peers have counted: one balancer of nine sees too few answers of a server to tell its speed within
//! ten seconds.

use std::{sync::Arc, time::Duration};

use acacia_load::{delay::Idle, limits::Limits, signal::Window, speed::Speed, tally::Count};
use acacia_wire::collections::Map;

use crate::snapshot::Snapshot;

/// Between two evaluations, and between two reports of counts.
const TICK: Duration = Duration::from_secs(1);
/// Largest ratio between a server's weight and the mean of its service. Beyond it, an estimate is
/// more likely wrong than true.
const MOST: f64 = 2.5;
/// Part of a speed by which it must have changed to be told: each change makes a new snapshot, which
/// goes through all servers, and 5 % more or less moves next to no flow.
const STEP: f64 = 0.05;

/// What some server was seen to do. What several balancers have seen adds up.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// The server.
    pub server: Arc<str>,
    /// Its counts.
    pub count: Count,
}

/// What one traffic thread has seen of the servers since it last told.
#[derive(Debug, Default)]
pub struct Counts {
    servers: Map<Arc<str>, Count>,
    told: Duration,
}

impl Counts {
    /// Data went to a server that had nothing to answer on the flow before.
    pub fn asked(&mut self, server: &Arc<str>) {
        self.count(server).asked += 1;
    }

    /// The first part of the answer was acknowledged after `took`.
    pub fn answered(&mut self, server: &Arc<str>, took: Duration) {
        let count = self.count(server);
        count.answered += 1;
        count.timed += 1;
        count.answering += took;
    }

    /// An opening was answered after `took`, which is the network's time.
    pub fn opened(&mut self, server: &Arc<str>, took: Duration) {
        let count = self.count(server);
        count.completed += 1;
        count.opening += took;
    }

    /// A request was given up, or answered too soon to have been worked on.
    pub fn failed(&mut self, server: &Arc<str>) {
        self.count(server).failed += 1;
    }

    fn count(&mut self, server: &Arc<str>) -> &mut Count {
        self.servers.entry(Arc::clone(server)).or_default()
    }

    /// What was seen since the last time, once a second; nothing between.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::speed::Counts;
    /// let mut counts = Counts::default();
    /// counts.asked(&"host-1".into());
    /// assert_eq!(counts.take(Duration::from_millis(200)), []);
    /// assert_eq!(counts.take(Duration::from_secs(1))[0].count.asked, 1);
    /// ```
    pub fn take(&mut self, now: Duration) -> Vec<Seen> {
        if now < self.told + TICK {
            return Vec::new();
        }
        self.told = now;
        let counts = self.servers.drain();
        counts
            .map(|(server, count)| Seen { server, count })
            .collect()
    }
}

/// A server whose speed has changed by enough to be told.
#[derive(Debug, Clone, PartialEq)]
pub struct Measure {
    /// The server.
    pub server: Arc<str>,
    /// Requests a second that it answers with each slot.
    pub speed: f64,
}

/// One server.
#[derive(Debug, Default)]
struct Entry {
    count: Count,
    speed: Speed,
    slots: u32,
    /// The speed that was last told.
    told: f64,
}

impl Entry {
    /// Requests a second that it answers with each slot; nothing before the first measurement.
    fn speed_a_slot(&self) -> Option<f64> {
        Some(self.speed.requests_per_second()? / f64::from(self.slots.max(1)))
    }
}

/// The servers' speeds, by all that this balancer and its peers have seen.
#[derive(Debug, Default)]
pub struct Speeds {
    servers: Map<Arc<str>, Entry>,
    /// Counts of all servers, for the network's part of a time.
    all: Window,
    /// The network's part of an answer's time, in seconds.
    network: f64,
    limits: Limits,
    ticked: Duration,
}

impl Speeds {
    /// Takes in what was seen of a server, here or at a peer.
    pub fn add(&mut self, seen: &Seen) {
        let entry = self.servers.entry(Arc::clone(&seen.server)).or_default();
        entry.count.add(&seen.count);
    }

    /// Evaluates what came since the last time, once a second; gives the servers whose speed has
    /// changed, or nothing between. `slots` gives a server's, or nothing where it is not known any
    /// more; `visible` is the part of all answers that was taken in.
    pub fn tick(
        &mut self,
        now: Duration,
        visible: f64,
        slots: impl Fn(&str) -> Option<u32>,
    ) -> Option<Vec<Measure>> {
        let passed = now.saturating_sub(self.ticked);
        if passed < TICK {
            return None;
        }
        self.ticked = now;
        let mut sum = Count::default();
        for entry in self.servers.values() {
            sum.add(&entry.count);
        }
        self.all.add(&sum, passed, self.limits.slow);
        let network = self.all.network().unwrap_or_default();
        self.network = network;
        let mut changed = Vec::new();
        self.servers.retain(|server, entry| {
            let Some(slots) = slots(server) else {
                return false;
            };
            entry.slots = slots;
            let count = std::mem::take(&mut entry.count);
            entry
                .speed
                .learn(&count, passed, network, visible, slots, &self.limits);
            let speed = entry.speed_a_slot().unwrap_or_default();
            if (speed - entry.told).abs() > STEP * entry.told {
                entry.told = speed;
                changed.push(Measure {
                    server: Arc::clone(server),
                    speed,
                });
            }
            true
        });
        Some(changed)
    }

    /// Forgets a server that has started anew: it may run on another VM.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// How long an answer of the server takes when nothing waits.
    fn idle(&self, server: &str) -> Option<Idle> {
        let speed = self.servers.get(server)?.speed_a_slot()?;
        (speed > 0.0).then(|| Idle {
            network: self.network,
            work: 1.0 / speed,
        })
    }

    /// Puts what is known into a snapshot's servers.
    pub fn apply(&self, snapshot: &mut Snapshot) {
        for server in &mut snapshot.servers {
            server.idle = self.idle(&server.id);
        }
        for pool in &snapshot.pools {
            let open = || pool.open.iter().map(|position| *position as usize);
            let factors = self.factors(open().map(|position| &*snapshot.servers[position].id));
            for (position, factor) in open().zip(factors) {
                snapshot.servers[position].weight *= factor;
            }
        }
    }

    /// Factors on the weights of some servers of one service, in their order: their speed a slot in
    /// proportion to the mean. A server whose speed is not known yet has the mean.
    ///
    /// ```
    /// use acacia_cookie::speed::Speeds;
    /// assert_eq!(Speeds::default().factors(["a", "b"]), [1.0, 1.0]);
    /// ```
    pub fn factors<'a>(&self, servers: impl IntoIterator<Item = &'a str>) -> Vec<f64> {
        let speed = |server: &str| self.servers.get(server)?.speed_a_slot();
        let speeds: Vec<Option<f64>> = servers.into_iter().map(speed).collect();
        let known = speeds.iter().flatten();
        let mean = known.clone().sum::<f64>() / known.count().max(1) as f64;
        let factor = |speed: &Option<f64>| match speed {
            Some(speed) if mean > 0.0 => (speed / mean).clamp(1.0 / MOST, MOST),
            _ => 1.0,
        };
        speeds.iter().map(factor).collect()
    }
}
