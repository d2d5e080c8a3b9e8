//! Limits the rate of new flows to servers that have just started (cold servers).
//!
//! A cold server can handle only a few requests per second. The bound applies to the sum over all
//! balancers, including those that are partitioned, have just started or hold stale state. They
//! cannot coordinate within one second, so each balancer independently sends a random sample of its
//! new flows to cold servers. The total is then close to a Poisson distribution, whichever
//! balancers the flows arrive at, and the sampling probability keeps it below the bound without
//! anyone knowing the total. An equal quota per balancer does not work: with hundreds of balancers,
//! each quota would be less than one flow.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use acacia_load::arrival::Rate;
use acacia_wire::{
    collections::Map,
    flow::{mix, uniform},
};

/// Standard deviations between the mean number of new flows per second and the bound.
const MARGIN_SIGMAS: f64 = 7.0;
/// How long a new flow counts towards its server's bound: the one second that the bound refers to,
/// plus an allowance for packets that are delayed in the network.
const COUNT_WINDOW: Duration = Duration::from_millis(1_300);
/// Makes the sampling decision independent of other decisions based on the flow's hash.
const SALT: u64 = 0x636f_6c64;

/// The rate limit of the whole fleet for each cold server of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Maximum number of new flows within any second.
    pub bound: f64,
    /// Number of balancers, including this one.
    pub balancers: u32,
}

impl Limit {
    /// The mean number of new flows per second that keeps random peaks below the bound.
    ///
    /// ```
    /// use acacia_cookie::cold::Limit;
    /// let mean = |bound| Limit { bound, balancers: 1 }.mean();
    /// assert!(mean(35.0) < 15.0);
    /// assert!(mean(6.0) < 1.0);
    /// ```
    #[must_use]
    pub fn mean(&self) -> f64 {
        let bound = self.bound.floor().max(0.0);
        let root = ((MARGIN_SIGMAS * MARGIN_SIGMAS + 4.0 * bound).sqrt() - MARGIN_SIGMAS) / 2.0;
        root * root
    }

    /// Probability with which a balancer that receives `rate` new flows per second sends one to the
    /// `servers` cold servers.
    fn probability(&self, servers: usize, rate: f64) -> f64 {
        let fleet_rate = rate * f64::from(self.balancers.max(1));
        (self.mean() * servers as f64 / fleet_rate).min(1.0)
    }

    /// Maximum number of new flows that one balancer sends to one server within [`COUNT_WINDOW`].
    fn max_per_server(&self) -> usize {
        let share = self.bound / f64::from(self.balancers.max(1));
        (share.floor() as usize).max(1).min(self.bound as usize)
    }
}

/// Samples and limits the new flows that one balancer sends to cold servers.
#[derive(Debug, Default)]
pub struct Limiter {
    /// Rate of new flows of each service.
    rates: Map<Arc<str>, Rate>,
    /// Times at which each cold server received its most recent new flows.
    recent_flows: Map<Arc<str>, VecDeque<Duration>>,
}

impl Limiter {
    /// Counts a new flow of a service and decides at random whether it goes to one of the service's
    /// `servers` cold servers.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_cookie::cold::{Limit, Limiter};
    /// let limit = Limit { bound: 14.0, balancers: 60 };
    /// let mut limiter = Limiter::default();
    /// let flows = (0..1_000u64).filter(|flow| {
    ///     limiter.samples(&"live".into(), &limit, 2, *flow, Duration::from_millis(*flow))
    /// });
    /// assert!(flows.count() < 10);
    /// ```
    pub fn samples(
        &mut self,
        service: &Arc<str>,
        limit: &Limit,
        servers: usize,
        flow: u64,
        now: Duration,
    ) -> bool {
        let rate = self.rates.entry(Arc::clone(service));
        let rate = rate.or_insert_with(|| Rate::new(now));
        rate.add(now);
        let rate = rate.per_second(now);
        uniform(mix(flow ^ SALT)) < limit.probability(servers, rate)
    }

    /// Whether this balancer may send another new flow to a cold server.
    #[must_use]
    pub fn has_room(&self, server: &str, limit: &Limit, now: Duration) -> bool {
        let times = self.recent_flows.get(server);
        let recent = times.map_or(0, |times| {
            times.iter().filter(|at| **at + COUNT_WINDOW > now).count()
        });
        recent < limit.max_per_server()
    }

    /// Records a new flow to a cold server.
    pub fn add(&mut self, server: &Arc<str>, now: Duration) {
        let times = self.recent_flows.entry(Arc::clone(server)).or_default();
        times.retain(|at| *at + COUNT_WINDOW > now);
        times.push_back(now);
    }

    /// Keeps only the services for which `is_service` returns true.
    pub fn retain(&mut self, is_service: impl Fn(&Arc<str>) -> bool) {
        self.rates.retain(|name, _| is_service(name));
    }

    /// Removes servers whose flows are all too old to count.
    pub fn sweep(&mut self, now: Duration) {
        self.recent_flows
            .retain(|_, times| times.iter().any(|at| *at + COUNT_WINDOW > now));
    }
}
