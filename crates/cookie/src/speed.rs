//! Estimates how fast each server is from the packets of its callers.
//!
//! Servers do not report their speeds, which differ by more than two to one. With equal shares, the
//! slow ones are nearly full while the fast ones idle. The time from a caller's data to the
//! acknowledgement of the answer shows the speed; [`Speed`] converts these times into a capacity
//! that does not depend on how busy the server was.
//!
//! Traffic threads count requests and their times ([`Counts`]). The control thread derives the
//! speeds ([`Speeds`]) from its own counts and those of its peers: one balancer of nine sees too
//! few answers of a server to estimate its speed within ten seconds.

use std::{sync::Arc, time::Duration};

use acacia_load::{delay::Idle, limits::Limits, signal::Window, speed::Speed, tally};
use acacia_wire::collections::Map;

use crate::snapshot::Snapshot;

/// Interval between two evaluations, and between two reports of counts.
const TICK: Duration = Duration::from_secs(1);
/// Maximum ratio between a server's weight and the mean of its service, in either direction. An
/// estimate beyond it is more likely wrong than right.
const MAX_FACTOR: f64 = 2.5;
/// Minimum relative change of a speed that is reported. Each reported change creates a new
/// snapshot, which iterates over all servers, and a difference of 5 % moves hardly any flows.
const MIN_CHANGE: f64 = 0.05;

/// Counts of one server's requests. The counts of several balancers can be summed up.
#[derive(Debug, Clone, PartialEq)]
pub struct Count {
    /// The server.
    pub server: Arc<str>,
    /// Its counts.
    pub count: tally::Count,
}

/// The counts of one traffic thread since its last report.
#[derive(Debug, Default)]
pub struct Counts {
    servers: Map<Arc<str>, tally::Count>,
    /// When the counts were last reported.
    reported: Duration,
}

impl Counts {
    /// Counts a request: data to a server that had nothing left to answer on the flow.
    pub fn asked(&mut self, server: &Arc<str>) {
        self.count(server).asked += 1;
    }

    /// Counts an answer whose first part was acknowledged `took` after the request.
    pub fn answered(&mut self, server: &Arc<str>, took: Duration) {
        let count = self.count(server);
        count.answered += 1;
        count.timed += 1;
        count.answering += took;
    }

    /// Counts an opening that completed after `took`, which is the network's share of an answer's
    /// time.
    pub fn opened(&mut self, server: &Arc<str>, took: Duration) {
        let count = self.count(server);
        count.completed += 1;
        count.opening += took;
    }

    /// Counts a request that was given up, or answered too soon to have been processed.
    pub fn failed(&mut self, server: &Arc<str>) {
        self.count(server).failed += 1;
    }

    fn count(&mut self, server: &Arc<str>) -> &mut tally::Count {
        self.servers.entry(Arc::clone(server)).or_default()
    }

    /// Returns the counts since the last report once per second, and nothing in between.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::speed::Counts;
    /// let mut counts = Counts::default();
    /// counts.asked(&"host-1".into());
    /// assert_eq!(counts.take(Duration::from_millis(200)), []);
    /// assert_eq!(counts.take(Duration::from_secs(1))[0].count.asked, 1);
    /// ```
    pub fn take(&mut self, now: Duration) -> Vec<Count> {
        if now < self.reported + TICK {
            return Vec::new();
        }
        self.reported = now;
        let counts = self.servers.drain();
        counts
            .map(|(server, count)| Count { server, count })
            .collect()
    }
}

/// A server whose speed has changed by enough to be reported.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The server.
    pub server: Arc<str>,
    /// Requests per second that it answers with each slot.
    pub speed: f64,
}

/// State of one server.
#[derive(Debug, Default)]
struct Entry {
    /// Counts since the last evaluation.
    count: tally::Count,
    speed: Speed,
    slots: u32,
    /// The speed that was last reported, in requests per second and slot.
    reported: f64,
}

impl Entry {
    /// Requests per second that it answers with each slot; `None` before the first measurement.
    fn speed_per_slot(&self) -> Option<f64> {
        Some(self.speed.requests_per_second()? / f64::from(self.slots.max(1)))
    }
}

/// Speeds of all servers, estimated from the counts of this balancer and its peers.
#[derive(Debug, Default)]
pub struct Speeds {
    servers: Map<Arc<str>, Entry>,
    /// Counts of all servers, from which the network's share of an answer's time is estimated.
    all: Window,
    /// The network's share of an answer's time, in seconds.
    network: f64,
    limits: Limits,
    /// When the speeds were last evaluated.
    evaluated: Duration,
}

impl Speeds {
    /// Adds counts of a server from this balancer or a peer.
    pub fn add(&mut self, counted: &Count) {
        let entry = self.servers.entry(Arc::clone(&counted.server)).or_default();
        entry.count.add(&counted.count);
    }

    /// Evaluates the counts since the last evaluation once per second and returns the servers whose
    /// speed has changed; returns `None` in between.
    ///
    /// `visible` is the fraction of all answers that the counts contain. `slots` returns the slots
    /// of a server, or `None` if the server is no longer known; it is then removed.
    pub fn tick(
        &mut self,
        now: Duration,
        visible: f64,
        slots: impl Fn(&str) -> Option<u32>,
    ) -> Option<Vec<Change>> {
        let passed = now.saturating_sub(self.evaluated);
        if passed < TICK {
            return None;
        }
        self.evaluated = now;
        let mut sum = tally::Count::default();
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
            let speed = entry.speed_per_slot().unwrap_or_default();
            if (speed - entry.reported).abs() > MIN_CHANGE * entry.reported {
                entry.reported = speed;
                changed.push(Change {
                    server: Arc::clone(server),
                    speed,
                });
            }
            true
        });
        Some(changed)
    }

    /// Discards the speed of a server that has restarted, as it may run on another VM.
    pub fn forget(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// How long the server takes to answer when no request is queued.
    fn idle(&self, server: &str) -> Option<Idle> {
        let speed = self.servers.get(server)?.speed_per_slot()?;
        (speed > 0.0).then(|| Idle {
            network: self.network,
            work: 1.0 / speed,
        })
    }

    /// Sets the answer times of a snapshot's servers and scales their weights by their speeds. Visits only
    /// the servers whose speeds are known, which are few in a large fleet.
    pub fn apply(&self, snapshot: &mut Snapshot) {
        let mut services: Map<Arc<str>, Vec<usize>> = Map::default();
        for (id, entry) in &self.servers {
            let position = snapshot.position(id).map(|position| position as usize);
            if let (Some(position), Some(_)) = (position, entry.speed_per_slot()) {
                let service = Arc::clone(&snapshot.servers[position].service);
                services.entry(service).or_default().push(position);
            }
        }
        for mut positions in services.into_values() {
            positions.sort_unstable();
            for &position in &positions {
                let idle = self.idle(&snapshot.servers[position].id);
                snapshot.servers[position].idle = idle;
            }
            positions.retain(|position| snapshot.servers[*position].standing.takes_flows());
            self.apply_to_pool(snapshot, &positions);
            let ids = positions
                .iter()
                .map(|position| &*snapshot.servers[*position].id);
            let factors = self.factors(ids);
            for (position, factor) in positions.into_iter().zip(factors) {
                snapshot.servers[position].weight *= factor;
            }
        }
    }

    /// Sets the answer time of a pool from the mean speed of its servers at `positions`.
    fn apply_to_pool(&self, snapshot: &mut Snapshot, positions: &[usize]) {
        let Some(first) = positions.first() else {
            return;
        };
        let service = Arc::clone(&snapshot.servers[*first].service);
        let ids = positions
            .iter()
            .map(|position| &snapshot.servers[*position].id);
        let speeds = ids.filter_map(|id| self.servers.get(id)?.speed_per_slot());
        let (sum, count) = speeds.fold((0.0, 0), |(sum, count), speed| (sum + speed, count + 1));
        let pools = snapshot.pools.iter_mut();
        if let Some(pool) = pools.into_iter().find(|pool| pool.service == service)
            && sum > 0.0
        {
            pool.idle = Some(Idle {
                network: self.network,
                work: f64::from(count) / sum,
            });
        }
    }

    /// Returns the weight factors of some servers of one service, in the given order. A factor is
    /// the ratio of the server's speed per slot to the mean; a server whose speed is not yet known
    /// is assumed to have the mean.
    ///
    /// ```
    /// use acacia_cookie::speed::Speeds;
    /// assert_eq!(Speeds::default().factors(["a", "b"]), [1.0, 1.0]);
    /// ```
    pub fn factors<'a>(&self, servers: impl IntoIterator<Item = &'a str>) -> Vec<f64> {
        let speed = |server: &str| self.servers.get(server)?.speed_per_slot();
        let speeds: Vec<Option<f64>> = servers.into_iter().map(speed).collect();
        let known = speeds.iter().flatten();
        let mean = known.clone().sum::<f64>() / known.count().max(1) as f64;
        let factor = |speed: &Option<f64>| match speed {
            Some(speed) if mean > 0.0 => (speed / mean).clamp(1.0 / MAX_FACTOR, MAX_FACTOR),
            _ => 1.0,
        };
        speeds.iter().map(factor).collect()
    }
}
