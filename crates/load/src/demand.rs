use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_wire::collections::{Map, Set};

/// How long a peer's rate counts: three rounds of reports, so that one lost message doesn't matter.
const RATE_TTL: Duration = Duration::from_millis(1_500);
/// How long another data centre's report counts. Representatives exchange reports twice a second, and a
/// report needs up to three rounds to reach all balancers of a data centre.
const REPORT_TTL: Duration = Duration::from_secs(4);
/// Least difference between two reports of which the later one counts as newer. The time in transit is not part of
/// a report's age, so each copy looks newer than the original, and balancers would pass copies on without end.
const MIN_NEWER: Duration = Duration::from_millis(100);
/// Maximum number of peers whose rates are kept. The error of the mean is below 10 % with fewer, also where
/// each balancer sees a few requests per second.
const MAX_PEERS: usize = 64;
/// Maximum number of services of one data centre, so that a faulty peer can't fill the memory.
const MAX_SERVICES: usize = 1_024;
/// Maximum number of other data centres, for the same reason.
const MAX_CENTRES: usize = 64;
/// Rates below this count as 0, as messages contain thousandths. A decaying count never reaches 0, so that
/// reports would go on for as long as the process runs.
const MIN_RATE: f64 = 0.000_5;
/// Rates above this are errors. With the bound, all sums and products stay finite.
const MAX_RATE: f64 = 1e12;

/// Maximum number of priorities of one service.
const MAX_PRIORITIES: usize = 16;

/// What callers ask of a service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Load {
    /// Requests per second on open flows: data of callers on flows where nothing is unanswered.
    pub requests: f64,
    /// Flows per second that were opened.
    pub opened: f64,
    /// New flows per second that callers asked for, refused ones included, by priority.
    pub offered: Vec<(u32, f64)>,
}

impl Load {
    /// Creates a load of so many requests per second.
    ///
    /// ```
    /// assert_eq!(acacia_load::demand::Load::requests(40.0).requests, 40.0);
    /// ```
    #[must_use]
    pub const fn requests(per_second: f64) -> Self {
        Load {
            requests: per_second,
            opened: 0.0,
            offered: Vec::new(),
        }
    }

    /// Requests on flows that were open before, and new flows asked for, per second.
    ///
    /// ```
    /// use acacia_load::demand::Load;
    /// let load = Load { requests: 50.0, opened: 20.0, offered: vec![(1, 30.0), (2, 10.0)] };
    /// assert_eq!(load.asked(), 70.0);
    /// ```
    #[must_use]
    pub fn asked(&self) -> f64 {
        let offered: f64 = self.offered.iter().map(|(_, rate)| rate).sum();
        (self.requests - self.opened).max(0.0) + offered
    }

    /// Adds another load.
    pub fn add(&mut self, other: &Load) {
        self.requests += other.requests;
        self.opened += other.opened;
        for (priority, rate) in &other.offered {
            match self.offered.iter_mut().find(|(known, _)| known == priority) {
                Some((_, sum)) => *sum += rate,
                None => self.offered.push((*priority, *rate)),
            }
        }
    }

    /// The load of so many balancers with this one each.
    fn times(&self, balancers: u32) -> Load {
        let mut load = self.clone();
        load.scale(f64::from(balancers));
        load
    }

    fn scale(&mut self, factor: f64) {
        self.requests *= factor;
        self.opened *= factor;
        self.offered
            .iter_mut()
            .for_each(|(_, rate)| *rate *= factor);
    }

    fn rates(&self) -> impl Iterator<Item = f64> {
        let offered = self.offered.iter().map(|(_, rate)| *rate);
        [self.requests, self.opened].into_iter().chain(offered)
    }

    fn is_negligible(&self) -> bool {
        self.rates().all(|rate| rate < MIN_RATE)
    }

    /// Whether all rates can have been counted, which NaN, infinity and negative numbers can't.
    fn is_valid(&self) -> bool {
        let mut rates = self.rates();
        self.offered.len() <= MAX_PRIORITIES && rates.all(|rate| (0.0..=MAX_RATE).contains(&rate))
    }
}

/// The load of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Rate {
    /// The service.
    pub service: Arc<str>,
    /// Its load.
    pub load: Load,
}

/// The load of a service by the callers of one data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Their load.
    pub load: Load,
    /// When this was measured, on the clock of this balancer: its arrival, minus the age that it claims.
    /// A report that claims to be older than the clock itself must be dropped by the caller, as it would
    /// look newer than it is.
    pub measured: Duration,
}

/// A data centre with reachable balancers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Centre {
    /// Its name.
    pub name: Arc<str>,
    /// The number of its balancers.
    pub balancers: u32,
}

/// Known demand from the callers of one data centre.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// Their load.
    pub load: Load,
    /// Age of the report; `None` if there is none, and the rate is extrapolated from this balancer's data
    /// centre.
    pub age: Option<Duration>,
}

/// Demand for all services, as the traffic threads use it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    services: Map<Arc<str>, Vec<Demand>>,
    /// The sums over all data centres.
    totals: Map<Arc<str>, Load>,
}

impl View {
    /// Creates a view from the demand of each service by data centre.
    ///
    /// ```
    /// use acacia_load::demand::{Demand, Load, View};
    /// let demand = Demand { data_centre: "a".into(), load: Load::requests(40.0), age: None };
    /// let view = View::new([("live".into(), vec![demand])]);
    /// assert_eq!(view.total("live").map(|load| load.requests), Some(40.0));
    /// ```
    pub fn new(services: impl IntoIterator<Item = (Arc<str>, Vec<Demand>)>) -> Self {
        let services: Map<Arc<str>, Vec<Demand>> = services.into_iter().collect();
        let sum = |demands: &Vec<Demand>| {
            let mut sum = Load::default();
            demands.iter().for_each(|demand| sum.add(&demand.load));
            sum
        };
        let totals = services.iter();
        let totals = totals.map(|(service, demands)| (Arc::clone(service), sum(demands)));
        View {
            totals: totals.collect(),
            services,
        }
    }

    /// The demand for a service by data centre; empty if none is known.
    #[must_use]
    pub fn of(&self, service: &str) -> &[Demand] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The load of a service by the callers of all data centres; `None` if none is known.
    #[must_use]
    pub fn total(&self, service: &str) -> Option<&Load> {
        self.totals.get(service)
    }

    /// All services with their demand by data centre.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &[Demand])> {
        let services = self.services.iter();
        services.map(|(service, demands)| (service, demands.as_slice()))
    }
}

/// Rates that a balancer of the own data centre reported.
#[derive(Debug, Clone, Default)]
struct Peer {
    /// When its last message arrived.
    heard: Duration,
    /// When the last one with all its rates arrived.
    heard_all: Option<Duration>,
    /// By service, the load and when it was reported.
    rates: Map<Arc<str>, (Load, Duration)>,
}

impl Peer {
    /// The rates that still count.
    fn recent(&self, now: Duration) -> impl Iterator<Item = (&Arc<str>, &Load)> {
        let rates = self.rates.iter();
        let recent = rates.filter(move |(_, (_, heard))| is_recent(*heard, RATE_TTL, now));
        recent.map(|(service, (load, _))| (service, load))
    }

    /// The load of a service; `None` if it reported none recently.
    fn load(&self, service: &str, now: Duration) -> Option<&Load> {
        let (load, heard) = self.rates.get(service)?;
        is_recent(*heard, RATE_TTL, now).then_some(load)
    }

    /// Whether services that it has not reported recently have no requests.
    fn has_reported_all(&self, now: Duration) -> bool {
        let heard = self.heard_all;
        heard.is_some_and(|heard| is_recent(heard, RATE_TTL, now))
    }
}

/// A report about another data centre.
#[derive(Debug, Clone)]
struct Known {
    report: Report,
    /// Whether it was passed on to peers.
    is_passed_on: bool,
}

/// Demand for services, from this balancer's own rates and the reports of others.
///
/// Callers' packets reach only the balancers of their data centre, so a balancer's own rate says nothing
/// about other data centres. With the own rate times the number of all balancers as the demand, the
/// balancers that receive a flood would refuse callers while servers are idle, and the others would
/// refuse no less urgent flows.
///
/// The routers spread the callers of a data centre evenly over its balancers. The mean of the own rate and
/// those of some random peers, times the number of balancers, is therefore the demand of the data centre,
/// at a cost that doesn't depend on that number. Other data centres report theirs.
///
/// ```
/// use std::time::Duration;
/// use acacia_load::demand::{Centre, Load, Rate, Report, Table};
/// let now = Duration::from_secs(9);
/// let mut table = Table::new("a".into());
/// table.record_own([Rate { service: "live".into(), load: Load::requests(10.0) }]);
/// table.hear_report(Report {
///     data_centre: "b".into(), service: "live".into(), load: Load::requests(50.0), measured: now,
/// });
/// let centres = ["a", "b"].map(|name| Centre { name: name.into(), balancers: 3 });
/// let view = table.view(&centres, now);
/// assert_eq!(view.total("live").map(|load| load.requests), Some(80.0));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Table {
    own_centre: Arc<str>,
    own: Map<Arc<str>, Load>,
    peers: Map<SocketAddrV4, Peer>,
    /// The latest report of each other data centre by service.
    centres: Map<Arc<str>, Map<Arc<str>, Known>>,
}

impl Table {
    /// Creates the table of a balancer in a data centre.
    #[must_use]
    pub fn new(own_centre: Arc<str>) -> Self {
        Table {
            own_centre,
            ..Table::default()
        }
    }

    /// Replaces this balancer's own rates. Services with next to no requests are left out.
    pub fn record_own(&mut self, rates: impl IntoIterator<Item = Rate>) {
        let rates = rates.into_iter();
        let rates = rates.filter(|rate| rate.load.is_valid() && !rate.load.is_negligible());
        self.own = rates.map(|rate| (rate.service, rate.load)).collect();
    }

    /// This balancer's own rates.
    pub fn own(&self) -> impl Iterator<Item = Rate> {
        self.own.iter().map(|(service, load)| Rate {
            service: Arc::clone(service),
            load: load.clone(),
        })
    }

    /// Records all rates of a balancer of the own data centre. It has no requests of services that are not among
    /// them. A rate counts until the peer reports another one for the service, or until it expires.
    ///
    /// Returns false, without a change, if one of the rates is invalid or the table is full. A peer that
    /// counts wrongly must not lower the mean as one without requests would.
    pub fn hear_rates(
        &mut self,
        peer: SocketAddrV4,
        rates: impl IntoIterator<Item = Rate>,
        now: Duration,
    ) -> bool {
        let known = self.hear_some(peer, rates, now);
        if let Some(known) = known {
            known.heard_all = Some(now);
            return true;
        }
        false
    }

    /// Like [`Table::hear_rates`], for a peer that has more services than fit into a message and reports them in
    /// turn. Those that are not among `rates` count as unknown.
    pub fn hear_some_rates(
        &mut self,
        peer: SocketAddrV4,
        rates: impl IntoIterator<Item = Rate>,
        now: Duration,
    ) -> bool {
        self.hear_some(peer, rates, now).is_some()
    }

    fn hear_some(
        &mut self,
        peer: SocketAddrV4,
        rates: impl IntoIterator<Item = Rate>,
        now: Duration,
    ) -> Option<&mut Peer> {
        self.peers
            .retain(|_, peer| is_recent(peer.heard, RATE_TTL, now));
        let has_room = self.peers.len() < MAX_PEERS || self.peers.contains_key(&peer);
        let rates: Vec<Rate> = rates.into_iter().take(MAX_SERVICES).collect();
        if !has_room || !rates.iter().all(|rate| rate.load.is_valid()) {
            return None;
        }
        let known = self.peers.entry(peer).or_default();
        known.heard = now;
        known
            .rates
            .retain(|_, (_, heard)| is_recent(*heard, RATE_TTL, now));
        for rate in rates {
            if known.rates.len() < MAX_SERVICES || known.rates.contains_key(&rate.service) {
                known.rates.insert(rate.service, (rate.load, now));
            }
        }
        Some(known)
    }

    /// Records a report about another data centre. Returns false, without a change, if it is not newer than
    /// what is known, has an invalid rate, or if the table is full.
    pub fn hear_report(&mut self, report: Report) -> bool {
        if report.data_centre == self.own_centre || !report.load.is_valid() {
            return false;
        }
        let services = self.centres.get(&report.data_centre);
        let known = services.and_then(|services| services.get(&report.service));
        let is_newer = known.is_none_or(|known| is_newer(&report, &known.report));
        let has_room = match services {
            Some(services) => known.is_some() || services.len() < MAX_SERVICES,
            None => self.centres.len() < MAX_CENTRES,
        };
        if !is_newer || !has_room {
            return false;
        }
        let services = self.centres.entry(Arc::clone(&report.data_centre));
        let services = services.or_default();
        let known = Known {
            report,
            is_passed_on: false,
        };
        services.insert(Arc::clone(&known.report.service), known);
        true
    }

    /// The reports about other data centres that still count, latest first.
    #[must_use]
    pub fn reports(&self, now: Duration) -> Vec<Report> {
        let mut recent: Vec<Report> = self.recent_reports(now).cloned().collect();
        recent.sort_by_key(|report| std::cmp::Reverse(report.measured));
        recent
    }

    /// Takes the reports about other data centres to pass on to peers, latest first, each of them once: those
    /// for which `fits` returns true until it returns false.
    ///
    /// With eight random receivers each, all balancers of a data centre hear a report with a probability above
    /// 0.99, and the next one follows within seconds.
    pub fn take_reports(
        &mut self,
        now: Duration,
        mut fits: impl FnMut(&Report) -> bool,
    ) -> Vec<Report> {
        let known = self.centres.values_mut().flat_map(Map::values_mut);
        let mut waiting: Vec<&mut Known> = known
            .filter(|known| !known.is_passed_on)
            .filter(|known| is_recent(known.report.measured, REPORT_TTL, now))
            .collect();
        waiting.sort_by_key(|known| std::cmp::Reverse(known.report.measured));
        let taken = waiting.into_iter().take_while(|known| fits(&known.report));
        let taken = taken.map(|known| {
            known.is_passed_on = true;
            known.report.clone()
        });
        taken.collect()
    }

    fn recent_reports(&self, now: Duration) -> impl Iterator<Item = &Report> {
        let known = self.centres.values().flat_map(Map::values);
        let reports = known.map(|known| &known.report);
        reports.filter(move |report| is_recent(report.measured, REPORT_TTL, now))
    }

    /// The report about the own data centre, which has `balancers` balancers; at least this one.
    #[must_use]
    pub fn own_reports(&self, balancers: u32, now: Duration) -> Vec<Report> {
        let services = self.services(now);
        let report = |service: Arc<str>| Report {
            data_centre: Arc::clone(&self.own_centre),
            load: self.mean(&service, now).times(balancers.max(1)),
            service,
            measured: now,
        };
        services.into_iter().map(report).collect()
    }

    /// Whether any balancer has recently counted requests. A data centre without any reports that it has none
    /// while others have some, as these would otherwise assume that it is like them.
    #[must_use]
    pub fn has_demand(&self, now: Duration) -> bool {
        let peers = self.recent_peers(now).flat_map(|peer| peer.recent(now));
        let peers = peers.map(|(_, load)| load);
        let distant = self.recent_reports(now).map(|report| &report.load);
        let loads = self.own.values().chain(peers).chain(distant);
        loads.flat_map(Load::rates).any(|rate| rate > 0.0)
    }

    /// Removes what no longer counts, and the own rates and reports of services that aren't known any more.
    /// It has to be called regularly: a full table takes no reports about more data centres or services.
    pub fn expire(&mut self, is_service: impl Fn(&str) -> bool, now: Duration) {
        self.own.retain(|service, _| is_service(service));
        self.peers
            .retain(|_, peer| is_recent(peer.heard, RATE_TTL, now));
        for services in self.centres.values_mut() {
            services.retain(|service, known| {
                is_service(service) && is_recent(known.report.measured, REPORT_TTL, now)
            });
        }
        self.centres.retain(|_, services| !services.is_empty());
    }

    /// The demand for all services from the callers of `centres`, the data centres with reachable balancers
    /// and servers. The own one is to be among them, since its callers always count.
    ///
    /// A data centre without a report that still counts is assumed to have as many requests per balancer as
    /// the own one: its balancers have just started, or this one has. Others have no callers that
    /// could reach the servers known here.
    #[must_use]
    pub fn view(&self, centres: &[Centre], now: Duration) -> View {
        let demand = |service: &Arc<str>, centre: &Centre, mean: &Load| {
            if centre.name == self.own_centre {
                let load = mean.times(centre.balancers.max(1));
                return (load, Some(Duration::ZERO));
            }
            match self.report(&centre.name, service, now) {
                Some(report) => {
                    let age = now.saturating_sub(report.measured);
                    (report.load.clone(), Some(age))
                }
                None => (mean.times(centre.balancers), None),
            }
        };
        let of = |service: Arc<str>| {
            let mean = self.mean(&service, now);
            let demands = centres.iter().map(|centre| {
                let (load, age) = demand(&service, centre, &mean);
                Demand {
                    data_centre: Arc::clone(&centre.name),
                    load,
                    age,
                }
            });
            let demands = demands.collect();
            (service, demands)
        };
        View::new(self.services(now).into_iter().map(of))
    }

    fn report(&self, centre: &str, service: &str, now: Duration) -> Option<&Report> {
        let report = &self.centres.get(centre)?.get(service)?.report;
        is_recent(report.measured, REPORT_TTL, now).then_some(report)
    }

    /// The mean load of a service at a balancer of the own data centre.
    fn mean(&self, service: &str, now: Duration) -> Load {
        let mut sum = self.own.get(service).cloned().unwrap_or_default();
        let mut count = 1;
        for peer in self.recent_peers(now) {
            let load = peer.load(service, now);
            count += u32::from(load.is_some() || peer.has_reported_all(now));
            if let Some(load) = load {
                sum.add(load);
            }
        }
        sum.scale(1.0 / f64::from(count));
        sum
    }

    fn recent_peers(&self, now: Duration) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.values();
        peers.filter(move |peer| is_recent(peer.heard, RATE_TTL, now))
    }

    /// All services for which some rate is known.
    fn services(&self, now: Duration) -> Vec<Arc<str>> {
        let peers = self.recent_peers(now).flat_map(|peer| peer.recent(now));
        let peers = peers.map(|(service, _)| service);
        let distant = self.centres.values().flat_map(Map::keys);
        let services: Set<&Arc<str>> = self.own.keys().chain(peers).chain(distant).collect();
        let mut services: Vec<Arc<str>> = services.into_iter().cloned().collect();
        services.sort_unstable();
        services
    }
}

/// Whether a report is to replace a `known` one.
fn is_newer(report: &Report, known: &Report) -> bool {
    report.measured >= known.measured.saturating_add(MIN_NEWER)
}

/// Whether `at` is less than `ttl` ago, or ahead by as little, since the clocks of threads differ slightly.
fn is_recent(at: Duration, ttl: Duration, now: Duration) -> bool {
    now.abs_diff(at) < ttl
}
