//! What the control thread knows, and what follows from each piece of news. No sockets.

mod describe;
mod examine;
mod failing;
mod gossip;
mod news;
mod speed;
mod summary;

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::{
    Catalog, Change,
    member::{Member, Members, Peak},
    spread::{self, is_reader},
};
use acacia_cookie::{
    Roster, Snapshot,
    failing::{Observer, Verdicts},
    roster::{Limits, Warmup},
    silence::Detector,
    speed::{Count, Speeds},
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64;

pub use examine::{Examination, Target};
pub use summary::{Evacuation, Summary};

use super::{
    message::{Known, Message, Outgoing},
    settings::Settings,
};

/// How long a balancer that has just started waits for the store before it turns to its peers. Short
/// against the time in which the routers notice.
const STORE_GRACE: Duration = Duration::from_millis(250);

/// How long a balancer that has just started waits for its peers before it takes itself for the only one:
/// two rounds of gossip.
const PEER_DISCOVERY: Duration = Duration::from_secs(1);
/// How long a balancer that has just started doesn't know how many there are: by then its peers have
/// named nearly all.
const FLEET_DISCOVERY: Duration = Duration::from_secs(3);

/// What to do about a piece of news.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outcome {
    /// What to send.
    pub outgoing: Vec<Outgoing>,
    /// Whether to fetch from the sender what is missing here.
    pub fetch: bool,
    /// Whether servers are to be examined.
    pub examine: bool,
    /// Whether routes or servers changed.
    pub changed: bool,
}

/// Where news came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A peer.
    Peer {
        /// The peer's data centre.
        data_centre: Arc<str>,
        /// The first of that data centre that had them.
        root: SocketAddrV4,
    },
}

/// The control thread's state.
#[derive(Debug)]
pub struct Core {
    own: Member,
    /// When the process started.
    started: Duration,
    seeds: Vec<SocketAddrV4>,
    peers: Members,
    /// The largest size of the fleet of late.
    fleet_size: Peak,
    /// What the settings say of servers that have just started.
    warmup: Warmup,
    catalog: Catalog,
    schedule: spread::Schedule,
    roster: Roster,
    detector: Detector,
    speeds: Speeds,
    /// How the requests of the servers that this balancer observes have ended.
    observer: Observer,
    /// Servers that fail their requests.
    failing: Verdicts,
    /// What was seen of servers here and not told to peers yet.
    unsent_counts: Vec<Count>,
    /// Peers that have told what they saw since the speeds were last evaluated.
    peer_reports: usize,
    isolated: bool,
    /// Where the control of an examination of near servers is taken from. When a whole data centre's
    /// servers go down, none of its own can be the control; when it is cut off, none of another one can.
    /// So it changes whenever an examination has shown nothing.
    control_is_near: bool,
    /// Whether a step of the configuration was missed, so that the whole is to be fetched.
    missed_change: bool,
    /// Who knew more while this balancer waited for the store's first answer.
    peer_ahead: Option<SocketAddrV4>,
    random: Pcg64,
    /// This balancer's place in the spread of readings.
    jitter: f64,
    reads: bool,
    /// The version in force, and since when.
    enforced: Option<(u64, Duration)>,
    /// The data centres under evacuation: the revision of the mark, and since when it is in force.
    evacuated: BTreeMap<Arc<str>, (u64, Duration)>,
    /// How long removals of servers are kept: the longest life of a flow.
    keep_removals: Duration,
    /// When removals were last forgotten, and what was known then.
    last_forget: (Duration, u64),
}

impl Core {
    /// A balancer that starts at `now`. `incarnation` is higher than in any former life.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: u64, now: Duration) -> Self {
        let seed = incarnation ^ u64::from(settings.advertised.ip().to_bits());
        let mut random = Pcg64::seed_from_u64(seed);
        Core {
            own: Member {
                address: settings.advertised,
                data_centre: Arc::clone(&settings.data_centre),
                incarnation,
                beat: 0,
                sighted: true,
                leaving: false,
            },
            started: now,
            seeds: settings.seeds.clone(),
            peers: Members::default(),
            fleet_size: Peak::default(),
            warmup: warmup(settings),
            catalog: Catalog::default(),
            schedule: spread::Schedule::new(spread::Timing::within(settings.in_force)),
            roster: Roster::new(Limits {
                known: settings.flow,
                ..Limits::default()
            }),
            detector: Detector::default(),
            speeds: Speeds::default(),
            observer: Observer::default(),
            failing: Verdicts::default(),
            unsent_counts: Vec::new(),
            peer_reports: 0,
            isolated: false,
            control_is_near: false,
            missed_change: false,
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

    /// Takes in changed settings.
    pub fn update_settings(&mut self, settings: &Settings) {
        self.seeds = settings.seeds.clone();
        self.schedule
            .set_timing(spread::Timing::within(settings.in_force));
        self.warmup = warmup(settings);
    }

    /// The pace of readings.
    #[must_use]
    pub const fn timing(&self) -> spread::Timing {
        self.schedule.timing()
    }

    /// The revision up to which everything is known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.catalog.revision()
    }

    /// The revision after which changes are to be fetched from a peer.
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

    /// Whether this balancer reaches next to no server, and its callers are better off elsewhere.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// The operators' number of the configuration in force.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.catalog.config().map(|item| item.value.version)
    }

    /// This balancer as it describes itself.
    #[must_use]
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// The other balancers.
    #[must_use]
    pub const fn peers(&self) -> &Members {
        &self.peers
    }

    /// What to do about the store now.
    pub fn next_store_action(&mut self, now: Duration) -> spread::Action {
        self.own.sighted = self.schedule.is_store_reachable();
        let reads = !self.is_discovering_peers(now) && is_reader(&self.own, &self.peers);
        if reads != self.reads {
            self.reads = reads;
            log::info!("event=reader reads={reads} peers={}", self.peers.len());
        }
        let blind = self.peers.iter().filter(|member| !member.sighted).count();
        self.schedule.next_action(now, reads, self.jitter, blind)
    }

    /// Whether this balancer has just started and has not met its peers yet. When a whole fleet starts at
    /// once, each member would otherwise take itself for the reader and open a watch of its own.
    fn is_discovering_peers(&self, now: Duration) -> bool {
        self.peers.is_empty() && self.has_seeds() && now < self.started + PEER_DISCOVERY
    }

    fn has_seeds(&self) -> bool {
        self.seeds.iter().any(|seed| *seed != self.own.address)
    }

    /// How many balancers there are, this one included; none as long as it can't know.
    fn fleet_size(&mut self, now: Duration) -> Option<u32> {
        let known = self.fleet_size.follow(self.peers.len(), now);
        let is_counting = now < self.started + FLEET_DISCOVERY || known == 0 && self.has_seeds();
        (!is_counting).then(|| known as u32 + 1)
    }

    /// The store has answered a call that left at `sent` with `changes` up to `revision`.
    pub fn apply_store_changes(
        &mut self,
        changes: Vec<Change>,
        revision: u64,
        sent: Duration,
        now: Duration,
    ) -> Outcome {
        self.log_store_regained();
        let base = self.catalog.revision();
        let mut changed = false;
        for change in changes {
            changed |= self.apply(change);
        }
        self.catalog.complete(revision);
        self.schedule.answered(sent);
        self.propagate(changed, base, &Source::Store, now)
    }

    /// The store has answered a whole reading that left at `sent`.
    pub fn apply_full_read(
        &mut self,
        reading: Vec<Change>,
        revision: u64,
        sent: Duration,
        now: Duration,
    ) -> Outcome {
        self.log_store_regained();
        let base = self.catalog.revision();
        let changed = self.catalog.replace(reading, revision);
        log::info!("event=store-read revision={revision} changed={changed}");
        self.schedule.answered(sent);
        self.propagate(changed, base, &Source::Store, now)
    }

    /// The store has answered a whole reading with what may be seconds old, complete up to `revision`.
    /// Peers or a later call tell what it misses.
    pub fn prime(&mut self, reading: Vec<Change>, revision: u64, now: Duration) -> Outcome {
        let changed = self.catalog.replace(reading, revision);
        log::info!("event=store-primed revision={revision} changed={changed}");
        self.schedule.prime(now);
        Outcome {
            changed,
            ..Outcome::default()
        }
    }

    fn log_store_regained(&self) {
        if !self.schedule.is_store_reachable() {
            let revision = self.catalog.revision();
            log::info!("event=store-regained revision={revision}");
        }
    }

    /// A call to the store has failed.
    pub fn record_store_failure(&mut self, reason: &dyn std::fmt::Display, now: Duration) {
        if self.schedule.is_store_reachable() {
            let revision = self.catalog.revision();
            log::warn!("event=store-lost revision={revision} reason=\"{reason}\"");
        }
        self.schedule.failed(now);
    }

    /// A message has come in.
    pub fn receive(&mut self, message: Message, now: Duration) -> Outcome {
        if message.from.address == self.own.address {
            return Outcome::default();
        }
        let (sender, source) = (message.from.address, self.source(&message));
        self.receive_counts(&message);
        let Message {
            from,
            known,
            base,
            changes,
            others,
            heartbeats,
            unknown,
            silent,
            back,
            failures,
            failing,
            wants,
            ..
        } = message;
        self.merge_member(from.clone(), now);
        for other in others {
            self.merge_member(other, now);
        }
        let unknown_peers = self.receive_heartbeats(&heartbeats, now);
        let mut outcome = Outcome::default();
        if base <= self.catalog.revision() {
            outcome = self.apply_peer_changes(known, changes, &source, now);
        }
        let behind = self.missed_change || known.revision > self.catalog.revision();
        outcome.fetch = behind && !self.awaits_store(now);
        if behind && !outcome.fetch {
            self.peer_ahead = Some(sender);
        }
        let suspicions = self.receive_suspicions(&silent, &from, now);
        outcome.examine |= suspicions.examine;
        outcome.changed |= suspicions.changed;
        if from.data_centre == self.own.data_centre {
            outcome.changed |= self.receive_recoveries(&back, now);
        }
        outcome.changed |= self.mark_failing(&failing, now);
        let observed = self.observe(&failures, now);
        outcome.changed |= observed.changed;
        outcome.outgoing.extend(observed.outgoing);
        if wants || !unknown.is_empty() {
            let message = self.member_descriptions(&unknown, wants, now);
            let to = vec![sender];
            outcome.outgoing.push(Outgoing { to, message });
        }
        if !unknown_peers.is_empty() {
            let mut message = self.empty_message(now);
            message.unknown = unknown_peers;
            let to = vec![sender];
            outcome.outgoing.push(Outgoing { to, message });
        }
        outcome
    }

    /// Whether this balancer has just started and the store may still answer its first call.
    ///
    /// When a whole fleet starts at once, hundreds of whole catalogs would be fetched from the same three
    /// seeds, while the store answers everybody in milliseconds.
    pub(super) fn awaits_store(&self, now: Duration) -> bool {
        let waits = self.schedule.fresh_until().is_none() && self.schedule.is_store_reachable();
        waits && now < self.started + STORE_GRACE
    }

    /// Where a message's news come from. For one from another data centre, this balancer is the
    /// first of its own.
    pub fn source(&self, message: &Message) -> Source {
        let near = message.from.data_centre == self.own.data_centre;
        Source::Peer {
            data_centre: Arc::clone(&message.from.data_centre),
            root: if near { message.root } else { self.own.address },
        }
    }

    /// A message that tells how much is known here and nothing else.
    fn empty_message(&self, now: Duration) -> Message {
        Message {
            from: self.own.clone(),
            known: self.known(now),
            base: self.catalog.revision(),
            root: self.own.address,
            changes: Vec::new(),
            others: Vec::new(),
            heartbeats: Vec::new(),
            unknown: Vec::new(),
            silent: Vec::new(),
            back: Vec::new(),
            failures: Vec::new(),
            failing: Vec::new(),
            seen: Vec::new(),
            wants: false,
        }
    }

    fn known(&self, now: Duration) -> Known {
        let age = self
            .schedule
            .fresh_until()
            .map(|fresh| now.saturating_sub(fresh));
        Known {
            revision: self.catalog.revision(),
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }

    /// Routes and servers for the traffic threads, and when they change by time alone.
    pub fn snapshot(&mut self, now: Duration) -> (Snapshot, Option<Duration>) {
        let balancers = self.fleet_size(now);
        self.roster.set_warmup_limits(Warmup {
            balancers,
            ..self.warmup
        });
        self.roster.update(&self.catalog, now);
        for id in self.roster.take_restarted() {
            log::info!("event=server-restarted server={id}");
            self.detector.forget(&id);
            self.speeds.forget(&id);
            self.observer.forget(&id);
            self.failing.forget(&id);
        }
        let known = self.roster.servers().map(|server| Arc::clone(&server.id));
        let known: Vec<Arc<str>> = known.collect();
        self.detector
            .retain(|server| known.binary_search(server).is_ok());
        let isolated = self.detector.is_isolated(known.len());
        if isolated != self.isolated {
            self.isolated = isolated;
            log::warn!("event=isolated isolated={isolated} servers={}", known.len());
        }
        // Whoever reaches nobody knows nothing of the servers: others may reach them.
        let none = Detector::default();
        let detector = if isolated { &none } else { &self.detector };
        let mut snapshot = self.roster.snapshot(detector, now);
        if let Some(version) = self.version()
            && self.enforced.is_none_or(|(before, _)| before != version)
        {
            self.enforced = Some((version, now));
        }
        self.enforce_evacuations(now);
        self.speeds.apply(&mut snapshot);
        snapshot.data_centre = Arc::clone(&self.own.data_centre);
        snapshot.balancers = self.peers.len() as u32 + 1;
        let recovers = self.lower_failing_weights(&mut snapshot, now);
        let counted = Some(self.started + FLEET_DISCOVERY).filter(|at| *at > now);
        let next = [self.roster.next_change(now), recovers, counted];
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
