//! Summary of the core's state for operators and metrics.

use std::{sync::Arc, time::Duration};

use super::Core;

/// A data centre under evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The store's revision at which the operators set the evacuation.
    pub revision: u64,
    /// How long the evacuation has been in force here.
    pub enforced: Duration,
}

/// Demand for a service from the callers of one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: Arc<str>,
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Requests and new flows per second.
    pub per_second: u64,
    /// Age of the data centre's report; `None` if there is no valid one, and the rate is extrapolated from
    /// this balancer's data centre.
    pub age: Option<Duration>,
}

/// The main facts for operators and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Summary {
    /// The version of the configuration in force, as numbered by the operators; 0 if there is none.
    pub version: u64,
    /// The store's revision up to which everything is known.
    pub revision: u64,
    /// How long ago that was known to be the store's latest revision; `None` if it never was.
    pub age: Option<Duration>,
    /// Number of other balancers known: those of the own data centre, and the representatives of the
    /// others.
    pub peers: usize,
    /// Number of balancers of the whole fleet, including this one, as representatives announced it.
    pub fleet: usize,
    /// Number of backend servers considered silent, with those of unreachable data centres.
    pub silent: usize,
    /// Number of data centres none of whose servers can be reached.
    pub lost_data_centres: usize,
    /// Whether this balancer watches the store on behalf of the others.
    pub reads: bool,
    /// How long the version has been in force; `None` before the first one.
    pub enforced: Option<Duration>,
    /// The data centres under evacuation.
    pub evacuations: Vec<Evacuation>,
    /// Demand for the known services, by service and data centre.
    pub demand: Vec<Demand>,
}

impl Core {
    /// Summarizes the state at `now`.
    #[must_use]
    pub fn summary(&self, now: Duration) -> Summary {
        Summary {
            version: self.version().unwrap_or_default(),
            revision: self.catalog.revision(),
            age: self
                .schedule
                .fresh_until()
                .map(|fresh| now.saturating_sub(fresh)),
            peers: self.peers().len(),
            fleet: self.group.population() + 1,
            silent: self.unreachable_servers(),
            lost_data_centres: self.paths.lost().len(),
            reads: self.reads,
            enforced: self.enforced.map(|(_, since)| now.saturating_sub(since)),
            evacuations: self.evacuations(now),
            demand: self.known_demand(now),
        }
    }

    fn evacuations(&self, now: Duration) -> Vec<Evacuation> {
        let evacuations = self.evacuated.iter();
        let evacuation = |(centre, (revision, since)): (&Arc<str>, &(u64, Duration))| Evacuation {
            data_centre: Arc::clone(centre),
            revision: *revision,
            enforced: now.saturating_sub(*since),
        };
        evacuations.map(evacuation).collect()
    }

    /// Records which evacuations are in force at `now`. Those already recorded keep their start
    /// time.
    pub(super) fn enforce_evacuations(&mut self, now: Duration) {
        let since = |centre: &Arc<str>| self.evacuated.get(centre).map(|(_, since)| *since);
        let evacuations = self.catalog.evacuations();
        let evacuations = evacuations.map(|(centre, revision)| {
            let since = since(centre).unwrap_or(now);
            (Arc::clone(centre), (revision, since))
        });
        self.evacuated = evacuations.collect();
    }
}
