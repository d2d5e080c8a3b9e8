//! How many new flows go to servers that have just started.
//!
//! A cold server bears few requests a second, and the bound on them holds for the sum over all balancers,
//! whoever is cut off, has just started or holds old news. Within that second they can't agree on
//! anything. So each sends there only a random part of the new flows that it sees, small enough that
//! the sum stays below the bound although nobody knows it: it is then nearly Poisson distributed,
//! whichever balancers the flows arrive at. An equal share for each balancer would not do: of hundreds,
//! each would have to get less than one flow.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use acacia_load::arrival::Rate;
use acacia_wire::{
    collections::Map,
    flow::{mix, uniform},
};

/// Standard deviations between the mean number of new flows in a second and the bound.
const MARGIN: f64 = 7.0;
/// For how long a new flow counts at its server: the second of the bound, and what packets may be held
/// up on their way.
const COUNTED: Duration = Duration::from_millis(1_300);
/// Tells the draw from the flow's other uses of its hash.
const SALT: u64 = 0x636f_6c64;

/// What the fleet together may send to each cold server of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ration {
    /// Most new flows in any second.
    pub bound: f64,
    /// Balancers, this one included.
    pub balancers: u32,
}

impl Ration {
    /// The mean number of new flows a second at which the bound holds all the same.
    ///
    /// ```
    /// use acacia_cookie::cold::Ration;
    /// let mean = |bound| Ration { bound, balancers: 1 }.mean();
    /// assert!(mean(35.0) < 15.0);
    /// assert!(mean(6.0) < 1.0);
    /// ```
    #[must_use]
    pub fn mean(&self) -> f64 {
        let bound = self.bound.floor().max(0.0);
        let root = ((MARGIN * MARGIN + 4.0 * bound).sqrt() - MARGIN) / 2.0;
        root * root
    }

    /// Part of a balancer's new flows that goes to `servers` cold servers, where it sees `rate` of them a
    /// second.
    fn part(&self, servers: usize, rate: f64) -> f64 {
        let seen = rate * f64::from(self.balancers.max(1));
        (self.mean() * servers as f64 / seen).min(1.0)
    }

    /// Most new flows that one balancer sends to one server in a second.
    fn most(&self) -> usize {
        let share = self.bound / f64::from(self.balancers.max(1));
        (share.floor() as usize).max(1).min(self.bound as usize)
    }
}

/// What one balancer has sent to cold servers.
#[derive(Debug, Default)]
pub struct Sent {
    rates: Map<Arc<str>, Rate>,
    /// When each cold server got its latest new flows.
    servers: Map<Arc<str>, VecDeque<Duration>>,
}

impl Sent {
    /// Takes in a new flow of a service; whether it is to go to one of its cold servers, of which there are
    /// `servers`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::cold::{Ration, Sent};
    /// let ration = Ration { bound: 14.0, balancers: 60 };
    /// let mut sent = Sent::default();
    /// let flows = (0..1_000u64).filter(|flow| {
    ///     sent.draws(&"live".into(), &ration, 2, *flow, Duration::from_millis(*flow))
    /// });
    /// assert!(flows.count() < 10);
    /// ```
    pub fn draws(
        &mut self,
        service: &Arc<str>,
        ration: &Ration,
        servers: usize,
        flow: u64,
        now: Duration,
    ) -> bool {
        let rate = self.rates.entry(Arc::clone(service));
        let rate = rate.or_insert_with(|| Rate::new(now));
        rate.add(now);
        let rate = rate.per_second(now);
        uniform(mix(flow ^ SALT)) < ration.part(servers, rate)
    }

    /// Whether a cold server may get another new flow from this balancer.
    #[must_use]
    pub fn has_room(&self, server: &str, ration: &Ration, now: Duration) -> bool {
        let sent = self.servers.get(server);
        let recent = sent.map_or(0, |sent| {
            sent.iter().filter(|at| **at + COUNTED > now).count()
        });
        recent < ration.most()
    }

    /// A cold server gets a new flow.
    pub fn add(&mut self, server: &Arc<str>, now: Duration) {
        let sent = self.servers.entry(Arc::clone(server)).or_default();
        sent.retain(|at| *at + COUNTED > now);
        sent.push_back(now);
    }

    /// Forgets services that `is_service` doesn't name.
    pub fn retain(&mut self, is_service: impl Fn(&Arc<str>) -> bool) {
        self.rates.retain(|name, _| is_service(name));
    }

    /// Forgets what is too old to count.
    pub fn sweep(&mut self, now: Duration) {
        self.servers
            .retain(|_, sent| sent.iter().any(|at| *at + COUNTED > now));
    }
}
