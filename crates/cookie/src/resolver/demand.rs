//! Rates of requests through this thread, and what follows from the demand of all data centres.

use std::{net::Ipv4Addr, sync::Arc, time::Duration};

use acacia_load::{
    arrival::Rate,
    demand::{self, Load, View},
    quota::Quota,
    spill::{self, Centre, Share},
};
use acacia_wire::{
    collections::{Map, Set},
    flow::{mix, uniform},
};

use super::{Notice, Resolver};
use crate::snapshot::{Pool, Snapshot};

/// Interval between two reports of rates.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between two reports of rates that have changed by much.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Ratio to the rate reported last, and difference in requests per second, above which a rate is
/// reported at once. A flood fills servers' queues before the next report is due, and callers would be refused
/// for seconds after it.
const CHANGE: (f64, f64) = (1.25, 10.0);
/// Time over which the first events are averaged. The first packet after a start would otherwise count as a
/// thousand per second.
const MIN_HISTORY: Duration = Duration::from_secs(1);
/// How long the parts of new flows for other data centres are used before they are computed anew.
const SHARES_TTL: Duration = Duration::from_millis(100);
/// Makes the choice of the data centre independent of other uses of the flow's hash.
const SALT: u64 = 0x7370_696c_6c6f;

/// Part of new flows that is admitted below which refused attempts are counted too. Too few admitted flows are left
/// to stand for them; demand is then rather estimated too high, which leaves room for urgent flows.
const MIN_SAMPLE: f64 = 0.05;
/// Attempts of a refused caller, as assumed for the counts below [`MIN_SAMPLE`].
const ASSUMED_ATTEMPTS: f64 = 3.0;
/// How long the choice among callers holds. Refused callers come back within this time, and none is left out
/// for long.
const CHOICE_PERIOD: Duration = Duration::from_secs(1);

/// Rates of one service through this thread. Only the services of routes with a latency objective have them.
#[derive(Debug)]
pub(super) struct Arrivals {
    pub(super) requests: Rate,
    pub(super) opened: Rate,
    /// New flows by priority, refused ones included.
    offered: Vec<(u32, Rate)>,
}

impl Arrivals {
    fn new(now: Duration) -> Self {
        Arrivals {
            requests: new_rate(now),
            opened: new_rate(now),
            offered: Vec::new(),
        }
    }

    /// Counts a new flow of a priority, of which the part `admitted` is admitted; see
    /// [`Resolver::is_admitted`].
    ///
    /// Refused callers come back at once and are refused again, so their attempts don't show how many they
    /// are. Each admitted flow stands for refused ones too.
    pub(super) fn offer(&mut self, priority: u32, admitted: f64, is_admitted: bool, now: Duration) {
        let weight = match is_admitted {
            true => 1.0 / admitted.max(MIN_SAMPLE),
            false if admitted < MIN_SAMPLE => 1.0 / ASSUMED_ATTEMPTS,
            false => return,
        };
        let known = self
            .offered
            .iter_mut()
            .find(|(known, _)| *known == priority);
        match known {
            Some((_, rate)) => rate.add_sample(weight, now),
            None => {
                let mut rate = new_rate(now);
                rate.add_sample(weight, now);
                self.offered.push((priority, rate));
            }
        }
    }

    fn load(&self, now: Duration) -> Load {
        let offered = self.offered.iter();
        let offered = offered.map(|(priority, rate)| (*priority, rate.current(now)));
        // With another mean of each, their difference would at times be a quarter of all requests, which count
        // as requests that can't be refused.
        let window = self.requests.window(now);
        Load {
            requests: self.requests.mean(window, now),
            opened: self.opened.mean(window, now),
            offered: offered.collect(),
        }
    }
}

/// A rate as of a thread that has seen no event for [`MIN_HISTORY`].
fn new_rate(now: Duration) -> Rate {
    Rate::new(now.saturating_sub(MIN_HISTORY))
}

/// The rates that were reported last.
#[derive(Debug, Default)]
pub(super) struct Reported {
    at: Duration,
    /// By service, the requests and new flows per second.
    rates: Map<Arc<str>, f64>,
}

/// Admission of new flows of a service.
#[derive(Debug, Default)]
pub(super) struct Admission {
    pub(super) quota: Quota,
    /// The time for which a request occupies a slot, in seconds, as measured before new flows were refused;
    /// `None` while all are admitted.
    pub(super) kept_work: Option<f64>,
}

/// Parts of a service's new flows for other data centres.
#[derive(Debug)]
pub(super) struct Spill {
    at: Duration,
    shares: Vec<Share>,
}

impl Resolver {
    /// Replaces the known demand of all data centres.
    pub fn set_demand(&mut self, demand: Arc<View>) {
        self.demand = demand;
        self.spills.clear();
    }

    /// Sets the difference between the time of day and this thread's clock. Balancers whose times of day agree
    /// admit the same callers; where they don't, a refused caller may be admitted when it comes back.
    pub const fn set_time_of_day(&mut self, offset: Duration) {
        self.time_of_day = offset;
    }

    /// Whether a caller is in the part `admitted` of all callers that is admitted at present.
    ///
    /// All balancers choose the same callers, so one who was refused is refused again when it comes back at
    /// once, and none gains by trying more often. Another part is chosen after [`CHOICE_PERIOD`].
    pub(super) fn is_admitted(&self, caller: Ipv4Addr, admitted: f64, now: Duration) -> bool {
        let period = (self.time_of_day + now).as_secs() / CHOICE_PERIOD.as_secs();
        uniform(mix(u64::from(caller.to_bits()) ^ mix(period))) < admitted
    }

    /// Issues a notice with the rates of requests if a report is due.
    pub(super) fn notice_rates(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.reported.at);
        if passed < MIN_REPORT_INTERVAL || self.arrivals.is_empty() {
            return;
        }
        let arrivals = self.arrivals.iter();
        let rates: Vec<demand::Rate> = arrivals
            .filter_map(|(service, arrivals)| {
                Some(demand::Rate {
                    service: Arc::clone(service),
                    load: arrivals.as_ref()?.load(now),
                })
            })
            .collect();
        let changed = rates.iter().any(|rate| {
            let before = self.reported.rates.get(&rate.service);
            let before = before.copied().unwrap_or_default();
            let asked = rate.load.asked();
            let (low, high) = (before.min(asked), before.max(asked));
            let (ratio, difference) = CHANGE;
            high > low * ratio && high > low + difference
        });
        if !changed && passed < REPORT_INTERVAL {
            return;
        }
        let known = rates.iter();
        self.reported = Reported {
            at: now,
            rates: known
                .map(|rate| (Arc::clone(&rate.service), rate.load.asked()))
                .collect(),
        };
        self.notices.push(Notice::Rates { rates, changed });
    }

    /// Keeps the rates of the services of routes with a latency objective, and begins to count those of new
    /// ones, whose packets in mid-flow may come before any new flow.
    pub(super) fn retain_arrivals(&mut self, snapshot: &Snapshot) {
        let routes = snapshot.routes.values();
        let routes = routes.filter(|route| route.objective.is_some());
        let pools = routes.flat_map(|route| &route.pools);
        let services = pools.map(|(pool, _)| &snapshot.pools[*pool as usize].service);
        let services: Set<&Arc<str>> = services.collect();
        self.arrivals.retain(|name, _| services.contains(name));
        for service in services {
            self.arrivals.entry(Arc::clone(service)).or_default();
        }
    }

    /// The rates of the service of a route with a latency objective.
    pub(super) fn arrivals(&mut self, service: &Arc<str>, now: Duration) -> &mut Arrivals {
        let arrivals = self.arrivals.entry(Arc::clone(service)).or_default();
        arrivals.get_or_insert_with(|| Arrivals::new(now))
    }

    /// The rates of a service; `None` if it has no route with a latency objective.
    pub(super) fn counted(&mut self, service: &str, now: Duration) -> Option<&mut Arrivals> {
        let arrivals = self.arrivals.get_mut(service)?;
        Some(arrivals.get_or_insert_with(|| Arrivals::new(now)))
    }

    /// The known demand for a service and the capacity of its servers, in requests and new flows per second;
    /// 0 where it is unknown.
    pub(super) fn demand_and_capacity(&self, snapshot: &Snapshot, service: &str) -> (u32, u32) {
        let demand = self.demand.total(service).map_or(0.0, Load::asked);
        let pool = snapshot.pool(service);
        let capacity = pool.and_then(|pool| self.capacity(pool));
        (demand as u32, capacity.unwrap_or_default() as u32)
    }

    /// The requests per second that all servers of a service can process; `None` before the first answer.
    pub(super) fn capacity(&self, pool: &Pool) -> Option<f64> {
        Some(f64::from(pool.slots) / self.work(pool)?)
    }

    /// The time for which a request occupies a slot of a service's servers, in seconds.
    ///
    /// While new flows are refused, it does not rise: balancers then know each other's counts late, and
    /// saturated servers look slower by what is missing. It falls, or a time that was wrong from the start
    /// would keep flows refused for as long as demand exceeds the capacity that follows from it.
    fn work(&self, pool: &Pool) -> Option<f64> {
        let admission = self.admissions.get(&pool.service);
        let kept = admission.and_then(|admission| admission.kept_work);
        let measured = self.measured_work(pool);
        let work = kept.into_iter().chain(measured).reduce(f64::min)?;
        (work > 0.0).then_some(work)
    }

    /// See [`Resolver::work`], as last measured.
    pub(super) fn measured_work(&self, pool: &Pool) -> Option<f64> {
        let measured = pool.idle.map(|idle| idle.work);
        measured.or_else(|| self.delays.baseline(&pool.service))
    }

    /// The data centre to which a new flow goes because the callers of the own one ask for more than its
    /// servers can do; `None` if it is placed as usual. See [`spill::shares`].
    pub(super) fn spill(
        &mut self,
        snapshot: &Snapshot,
        pool: &Pool,
        flow: u64,
        now: Duration,
    ) -> Option<Arc<str>> {
        let known = self.spills.get(&pool.service);
        if known.is_none_or(|known| now >= known.at + SHARES_TTL) {
            let shares = self.shares(snapshot, pool);
            let sum = shares.iter().fold(0.0, |sum, share| sum + share.part);
            self.spilling.record(&pool.service, sum, now);
            let spill = Spill { at: now, shares };
            self.spills.insert(Arc::clone(&pool.service), spill);
        }
        let shares = &self.spills.get(&pool.service)?.shares;
        let mut draw = uniform(mix(flow ^ SALT));
        for share in shares {
            if draw < share.part {
                return Some(Arc::clone(&share.data_centre));
            }
            draw -= share.part;
        }
        None
    }

    fn shares(&self, snapshot: &Snapshot, pool: &Pool) -> Vec<Share> {
        let Some(work) = self.work(pool) else {
            return Vec::new();
        };
        let slots = |centre: &str| {
            let mut slots = pool.open_slots.iter();
            let slots = slots.find(|(name, _)| **name == *centre);
            slots.map_or(0, |(_, slots)| *slots)
        };
        let centres = self.demand.of(&pool.service).iter().map(|demand| Centre {
            name: Arc::clone(&demand.data_centre),
            capacity: f64::from(slots(&demand.data_centre)) / work,
            demand: demand.load.requests,
        });
        let centres: Vec<Centre> = centres.collect();
        spill::shares(&snapshot.data_centre, &centres)
    }
}
