//! State machine of the control thread: takes events and messages, returns the messages to send and
//! the work to do. It performs no I/O and reads no clock.

mod changes;
mod demand;
mod describe;
mod examine;
mod failing;
mod gossip;
mod path;
mod rebuild;
mod roster;
mod speed;
mod store;
mod summary;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use acacia_catalog::{
    Catalog,
    member::{Gossip, Group, Member, Members, Peak},
    spread::{self, Tree},
};
use acacia_cookie::{
    Roster, Snapshot,
    failing::{Observer, Verdicts},
    path::Paths,
    roster::{Limits, Warmup},
    silence::Detector,
    speed::{Count, Speeds},
};
use acacia_load::demand::Table;
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

pub use examine::{Examination, Target};
pub use rebuild::Page;
use rebuild::Rebuild;
use store::Overlong;
pub use summary::{Demand, Evacuation, Summary};

use super::{
    message::{Known, Message, Outgoing},
    settings::Settings,
};

/// How long a balancer that has just started waits for the store before it fetches from its peers.
/// Short compared with the time in which the routers notice the start.
const STORE_GRACE: Duration = Duration::from_millis(250);

/// How long the size of the fleet counts as unknown after the start. By then, gossip has reported
/// nearly all balancers.
const FLEET_DISCOVERY: Duration = Duration::from_secs(3);

/// What the caller has to do after the core has handled an event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outcome {
    /// Messages to send.
    pub outgoing: Vec<Outgoing>,
    /// Whether to fetch the missing changes from the sender of the message.
    pub fetch: bool,
    /// Whether there are servers to examine.
    pub examine: bool,
    /// Whether routes or servers changed, so that a new snapshot is needed.
    pub changed: bool,
}

impl Outcome {
    /// Adds what another step of the same event has to do.
    fn append(&mut self, other: Outcome) {
        self.outgoing.extend(other.outgoing);
        self.fetch |= other.fetch;
        self.examine |= other.examine;
        self.changed |= other.changed;
    }
}

/// Where changes came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer.
    Peer {
        /// The tree along which this balancer passes the changes on, if it does.
        tree: Option<Tree>,
    },
}

/// The state of the control thread.
#[derive(Debug)]
pub struct Core {
    /// This balancer and its peers.
    group: Group,
    /// When the process started.
    started: Duration,
    seeds: Vec<SocketAddrV4>,
    /// The largest recent number of known peers.
    fleet_size: Peak,
    /// Limits for servers that have just started, from the settings.
    warmup: Warmup,
    catalog: Catalog,
    schedule: spread::Schedule,
    roster: Roster,
    detector: Detector,
    /// The paths to data centres.
    paths: Paths,
    speeds: Speeds,
    /// Request counts of the servers that this balancer observes.
    observer: Observer,
    /// Verdicts on servers that fail their requests.
    failing: Verdicts,
    /// Request counts of servers that have not been sent to peers yet.
    unsent_counts: Vec<Count>,
    /// Number of reports with counts received from peers since the speeds were last evaluated.
    peer_reports: usize,
    /// Requests per second by service and data centre.
    demand: Table,
    /// The number of the service with which the next report of rates begins.
    next_rate: usize,
    /// The same for reports to each other data centre.
    next_demands: BTreeMap<Arc<str>, usize>,
    /// When the demand was last passed to the traffic threads.
    demand_viewed: Duration,
    isolated: bool,
    /// Whether the control for examinations of servers in the own data centre is chosen from this
    /// data centre too. When all servers of the data centre are down, none of them can be the
    /// control; when the data centre is partitioned, none outside it can. The flag is therefore
    /// toggled whenever such an examination was inconclusive.
    control_is_near: bool,
    /// Whether a configuration patch was missed, so that the full state has to be fetched.
    missed_change: bool,
    /// Whether the store has dropped the history after what is known here.
    history_gone: bool,
    /// When an outage of the store was last known to go on.
    last_outage: Option<Duration>,
    /// The last watch whose answer was too long to be read.
    overlong: Option<Overlong>,
    /// The read of all servers' entries that this balancer has begun, if any.
    rebuild: Option<Rebuild>,
    /// When a balancer, this or another, was last known to be reading all servers' entries.
    rebuild_seen: Option<Duration>,
    /// A peer that knew a later revision while this balancer waited for the store's first answer.
    peer_ahead: Option<SocketAddrV4>,
    random: Pcg64,
    /// Fraction of the timing's jitter by which this balancer delays its reads of the store.
    jitter: f64,
    /// Whether this balancer watches the store on behalf of the others.
    reads: bool,
    /// The version in force, and since when.
    enforced: Option<(u64, Duration)>,
    /// The data centres under evacuation: the revision of the evacuation's entry in the store, and
    /// since when it is in force here.
    evacuated: BTreeMap<Arc<str>, (u64, Duration)>,
    /// How long records of removed servers are kept: the maximum lifetime of a flow.
    keep_removals: Duration,
    /// When old removals were last discarded, and the catalog's revision at that time.
    last_forget: (Duration, u64),
}

impl Core {
    /// The state of a balancer that starts at `now`. `incarnation` must be higher than that of any
    /// earlier process of this balancer.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: u64, now: Duration) -> Self {
        let seed = incarnation ^ u64::from(settings.advertised.ip().to_bits());
        let mut random = Pcg64::seed_from_u64(seed);
        let own = Member {
            address: settings.advertised,
            data_centre: Arc::clone(&settings.data_centre),
            incarnation,
            version: 0,
            sighted: true,
            leaving: false,
        };
        Core {
            group: Group::new(own, settings.seeds.clone(), now, random.random()),
            demand: Table::new(Arc::clone(&settings.data_centre)),
            next_rate: 0,
            next_demands: BTreeMap::new(),
            demand_viewed: Duration::ZERO,
            started: now,
            seeds: settings.seeds.clone(),
            fleet_size: Peak::default(),
            warmup: warmup(settings),
            catalog: Catalog::default(),
            schedule: spread::Schedule::new(spread::Timing::within(settings.in_force)),
            roster: Roster::new(Limits {
                known: settings.flow,
                ..Limits::default()
            }),
            detector: Detector::default(),
            paths: Paths::default(),
            speeds: Speeds::default(),
            observer: Observer::default(),
            failing: Verdicts::default(),
            unsent_counts: Vec::new(),
            peer_reports: 0,
            isolated: false,
            control_is_near: false,
            missed_change: false,
            history_gone: false,
            last_outage: None,
            overlong: None,
            rebuild: None,
            rebuild_seen: None,
            peer_ahead: None,
            jitter: random.random(),
            random,
            reads: false,
            enforced: None,
            evacuated: BTreeMap::new(),
            keep_removals: settings.flow,
            last_forget: (now, 0),
        }
    }

    /// Applies reloaded settings.
    pub fn update_settings(&mut self, settings: &Settings) {
        self.seeds = settings.seeds.clone();
        self.group.set_seeds(settings.seeds.clone());
        self.schedule
            .set_timing(spread::Timing::within(settings.in_force));
        self.warmup = warmup(settings);
    }

    /// The timing of store reads.
    #[must_use]
    pub const fn timing(&self) -> spread::Timing {
        self.schedule.timing()
    }

    /// The revision up to which everything is known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.catalog.revision()
    }

    /// The revision after which changes are to be fetched from a peer; 0 to fetch the full state.
    #[must_use]
    pub const fn fetch_base(&self) -> u64 {
        if self.missed_change {
            0
        } else {
            self.catalog.revision()
        }
    }

    /// Whether this balancer knows enough to serve.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.schedule.is_primed() && self.catalog.config().is_some()
    }

    /// Whether this balancer reaches so few servers that other balancers serve its callers better.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// The version of the configuration in force, as numbered by the operators.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.catalog.config().map(|item| item.value.version)
    }

    /// This balancer's description of itself, as sent to peers.
    #[must_use]
    pub const fn own(&self) -> &Member {
        self.group.own()
    }

    /// The other balancers that are known to be alive: all of the own data centre, and the
    /// representatives of the others.
    #[must_use]
    pub const fn peers(&self) -> &Members {
        self.group.members()
    }

    fn has_seeds(&self) -> bool {
        self.seeds.iter().any(|seed| *seed != self.own().address)
    }

    /// The number of balancers including this one; `None` until it can be known.
    fn fleet_size(&mut self, now: Duration) -> Option<u32> {
        let known = self.fleet_size.follow(self.group.population(), now);
        let is_counting = now < self.started + FLEET_DISCOVERY || known == 0 && self.has_seeds();
        (!is_counting).then(|| known as u32 + 1)
    }

    /// Handles a message from a peer.
    pub fn receive(&mut self, message: Message, now: Duration) -> Outcome {
        if message.from.address == self.own().address {
            return Outcome::default();
        }
        let (sender, source) = (message.from.address, self.source(&message));
        self.receive_counts(&message);
        self.receive_demand(&message, now);
        let Message {
            from,
            known,
            base,
            changes,
            gossip,
            silent,
            back,
            lost,
            reached,
            scattered,
            failures,
            failing,
            claims,
            ..
        } = message;
        let letters = self.group.receive(&from, &gossip, now);
        self.log_member_changes();
        let mut outcome = Outcome::default();
        if base.revision <= self.catalog.revision() {
            outcome = self.apply_peer_changes(known, base, changes, &source, now);
        }
        outcome.changed |= self.adopt_claims(claims, &known, now);
        let behind = self.missed_change || !self.catalog.position().covers(&known.position);
        outcome.fetch = behind && !self.awaits_store(now);
        if behind && !outcome.fetch {
            self.peer_ahead = Some(sender);
        }
        outcome.append(self.receive_suspicions(&silent, &from, now));
        if from.data_centre == self.own().data_centre {
            outcome.changed |= self.receive_recoveries(&back, now);
            outcome.changed |= self.receive_reached(&reached, now);
            outcome.examine |= self.examine_scattered(&scattered, now);
        }
        outcome.append(self.receive_losses(&lost, &from, now));
        outcome.changed |= self.mark_failing(&failing, now);
        outcome.append(self.receive_failures(failures, &from, now));
        outcome.outgoing.extend(self.letters(letters, now));
        outcome
    }

    /// Whether this balancer has just started and the store may still answer its first call.
    ///
    /// Fetches wait for that: when a whole fleet starts at once, hundreds of full catalogs would
    /// otherwise be fetched from the same three seeds, although the store answers each balancer in
    /// milliseconds.
    pub(super) fn awaits_store(&self, now: Duration) -> bool {
        let waits = self.schedule.fresh_until().is_none() && self.schedule.is_store_reachable();
        waits && now < self.started + STORE_GRACE
    }

    /// The source of a message's changes. If it comes from another data centre, this balancer
    /// becomes the root of their distribution in its own.
    pub fn source(&self, message: &Message) -> Source {
        let near = message.from.data_centre == self.own().data_centre;
        let tree = if near {
            message.tree
        } else {
            Some(self.new_tree(message.known.position.operators))
        };
        Source::Peer { tree }
    }

    /// The tree of a change that this balancer is the first of its data centre to have.
    fn new_tree(&self, key: u64) -> Tree {
        let root = self.own().address;
        Tree { root, key }
    }

    /// A message that contains only the sender and the revision that it knows.
    fn empty_message(&self, now: Duration) -> Message {
        Message {
            from: self.own().clone(),
            known: self.known(now),
            base: self.catalog.position(),
            tree: None,
            changes: Vec::new(),
            gossip: Gossip::default(),
            silent: Vec::new(),
            back: Vec::new(),
            lost: Vec::new(),
            reached: Vec::new(),
            scattered: Vec::new(),
            failures: Vec::new(),
            failing: Vec::new(),
            seen: Vec::new(),
            rates: None,
            demands: Vec::new(),
            claims: Vec::new(),
        }
    }

    fn known(&self, now: Duration) -> Known {
        let age_ms = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        Known {
            position: self.catalog.position(),
            age_ms: self.schedule.fresh_until().map(age_ms),
            rebuild_age_ms: self.rebuild_seen.map(age_ms),
        }
    }

    /// Builds the snapshot of routes and servers for the traffic threads. Also returns when the
    /// next one is due even if no event comes in, such as when a warm-up or a verdict ends.
    pub fn snapshot(&mut self, now: Duration) -> (Snapshot, Option<Duration>) {
        let balancers = self.fleet_size(now);
        self.roster.set_warmup_limits(Warmup {
            balancers,
            ..self.warmup
        });
        self.roster.set_last_outage(self.last_outage);
        self.roster.update(&self.catalog, now);
        for id in self.roster.take_restarted() {
            log::info!("event=server-restarted server={id}");
            self.detector.forget(&id);
            self.speeds.forget(&id);
            self.observer.forget(&id);
            self.failing.forget(&id);
        }
        for id in self.roster.take_departed() {
            self.detector.forget(&id);
        }
        self.update_isolated();
        // An isolated balancer can't tell which servers are down, so it treats none as silent.
        let none = Detector::default();
        let (detector, lost) = match self.isolated {
            true => (&none, BTreeSet::new()),
            false => (&self.detector, self.paths.lost()),
        };
        self.roster.set_lost(lost);
        let mut snapshot = self.roster.snapshot(detector, now);
        self.log_lapses();
        self.log_overwritten();
        self.log_elections();
        if let Some(version) = self.version()
            && self.enforced.is_none_or(|(before, _)| before != version)
        {
            self.enforced = Some((version, now));
        }
        self.enforce_evacuations(now);
        self.speeds.apply(&mut snapshot);
        snapshot.data_centre = Arc::clone(&self.own().data_centre);
        let verdict_expiry = self.lower_failing_weights(&mut snapshot, now);
        let fleet_known = Some(self.started + FLEET_DISCOVERY).filter(|at| *at > now);
        let next = [self.roster.next_change(now), verdict_expiry, fleet_known];
        (snapshot, next.into_iter().flatten().min())
    }
}

fn warmup(settings: &Settings) -> Warmup {
    Warmup {
        overshoot: settings.cold_overshoot,
        slack: settings.cold_slack,
        balancers: None,
    }
}
