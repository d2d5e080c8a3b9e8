//! What the control thread knows, and what follows from each piece of news. No sockets.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_catalog::{
    Catalog, Change,
    member::{List, Member},
    spread::{Pace, Reading, Turn, audience, is_reader},
};
use acacia_cookie::{
    Roster, Snapshot,
    roster::Limits,
    silence::{Detector, Verdict},
};
use rand::{RngExt as _, SeedableRng as _, seq::IndexedRandom as _};
use rand_pcg::Pcg64;

use super::{
    message::{Difference, Known, LONGEST, Message, Parcel},
    settings::Settings,
};

/// Other balancers named in one message: with 40 bytes each, a message stays below an Ethernet
/// frame.
const NAMED: usize = 20;
/// Balancers told in one round of gossip. Two: news double each round.
const FANOUT: usize = 2;

/// How long a server that has answered a probe here is left alone whatever peers say of it: a
/// server may be out of reach for one balancer alone, which goes on saying so.
const PEER_DOUBT: Duration = Duration::from_secs(2);
/// The same where a packet went unanswered here: at a loss of packets that goes on, each copy would
/// else start a probe.
const OWN_DOUBT: Duration = Duration::from_millis(300);
/// Silent servers named in one message.
const SILENT: usize = 20;

/// A backend server to probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    /// Its name.
    pub server: Arc<str>,
    /// Where.
    pub address: SocketAddrV4,
}

/// What to do about a message.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Outcome {
    /// What to send.
    pub parcels: Vec<Parcel>,
    /// Whether to fetch from the sender what is missing here.
    pub fetch: bool,
    /// Whether servers are to be probed.
    pub probe: bool,
    /// Whether routes or servers changed.
    pub changed: bool,
}

/// The control thread's state.
#[derive(Debug)]
pub struct Core {
    own: Member,
    seeds: Vec<SocketAddrV4>,
    list: List,
    catalog: Catalog,
    reading: Reading,
    roster: Roster,
    detector: Detector,
    isolated: bool,
    random: Pcg64,
    /// This balancer's place in the spread of readings.
    share: f64,
    reads: bool,
}

impl Core {
    /// A balancer that has just started. `incarnation` is higher than in any former life.
    #[must_use]
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        let mut random =
            Pcg64::seed_from_u64(incarnation ^ u64::from(settings.control.ip().to_bits()));
        Core {
            own: Member {
                address: settings.control,
                data_centre: Arc::clone(&settings.data_centre),
                incarnation,
                beat: 0,
                sighted: false,
                leaving: false,
            },
            seeds: settings.seeds.clone(),
            list: List::default(),
            catalog: Catalog::default(),
            reading: Reading::new(Pace::within(settings.in_force)),
            roster: Roster::new(Limits {
                known: settings.flow,
                ..Limits::default()
            }),
            detector: Detector::default(),
            isolated: false,
            share: random.random(),
            random,
            reads: false,
        }
    }

    /// Takes in changed settings.
    pub fn renew(&mut self, settings: &Settings) {
        self.seeds = settings.seeds.clone();
        self.reading.set_pace(Pace::within(settings.in_force));
    }

    /// The pace of readings.
    #[must_use]
    pub const fn pace(&self) -> Pace {
        self.reading.pace()
    }

    /// The revision up to which everything is known.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.catalog.revision()
    }

    /// Whether this balancer knows enough to serve.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.reading.fresh().is_some() && self.catalog.config().is_some()
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
    pub const fn list(&self) -> &List {
        &self.list
    }

    /// What to do about the store now.
    pub fn turn(&mut self, now: Duration) -> Turn {
        self.own.sighted = self.reading.is_sighted() && self.reading.fresh().is_some();
        let reads = is_reader(&self.own, &self.list);
        if reads != self.reads {
            self.reads = reads;
            log::info!("event=reader reads={reads} peers={}", self.list.len());
        }
        self.reading.turn(now, reads, self.share)
    }

    /// The store has answered a call that left at `sent` with `changes` up to `revision`.
    pub fn changed(
        &mut self,
        changes: Vec<Change>,
        revision: u64,
        sent: Duration,
        now: Duration,
    ) -> Outcome {
        self.regained();
        let base = self.catalog.revision();
        let mut changed = false;
        for change in changes {
            changed |= self.apply(change);
        }
        self.catalog.complete(revision);
        self.reading.answered(sent);
        self.told(changed, base, None, now)
    }

    /// The store has answered a whole reading that left at `sent`.
    pub fn read(
        &mut self,
        reading: Vec<Change>,
        revision: u64,
        sent: Duration,
        now: Duration,
    ) -> Outcome {
        self.regained();
        let base = self.catalog.revision();
        let changed = self.catalog.replace(reading, revision);
        self.reading.answered(sent);
        self.told(changed, base, None, now)
    }

    fn regained(&self) {
        if !self.reading.is_sighted() {
            log::info!("event=store-regained revision={}", self.catalog.revision());
        }
    }

    /// A call to the store has failed.
    pub fn failed(&mut self, reason: &dyn std::fmt::Display, now: Duration) {
        if self.reading.is_sighted() {
            let revision = self.catalog.revision();
            log::warn!("event=store-lost revision={revision} reason=\"{reason}\"");
        }
        self.reading.failed(now);
    }

    /// A message has come in.
    pub fn hear(&mut self, message: Message, now: Duration) -> Outcome {
        let Message {
            from,
            known,
            base,
            changes,
            others,
            silent,
            wants,
        } = message;
        if from.address == self.own.address {
            return Outcome::default();
        }
        let centre = Arc::clone(&from.data_centre);
        let sender = from.address;
        self.meet(from, now);
        for other in others {
            self.meet(other, now);
        }
        let mut outcome = if base <= self.catalog.revision() {
            self.learn(known, changes, &centre, now)
        } else {
            Outcome::default()
        };
        outcome.fetch = known.revision > self.catalog.revision();
        for server in &silent {
            outcome.probe |= self.detector.suspect(server, PEER_DOUBT, now);
        }
        if wants {
            let message = self.message(false, self.catalog.revision(), now);
            outcome.parcels.push(Parcel {
                to: sender,
                message,
            });
        }
        outcome
    }

    /// What was fetched from a peer of that data centre has come in.
    pub fn fetched(&mut self, difference: Difference, centre: &Arc<str>, now: Duration) -> Outcome {
        self.learn(difference.known, difference.changes, centre, now)
    }

    fn learn(
        &mut self,
        known: Known,
        changes: Vec<Change>,
        centre: &Arc<str>,
        now: Duration,
    ) -> Outcome {
        let base = self.catalog.revision();
        let mut changed = false;
        for change in changes {
            changed |= self.apply(change);
        }
        self.catalog.complete(known.revision);
        let gained = known.at(now).is_some_and(|at| self.confirm(at));
        if !changed && !gained {
            return Outcome::default();
        }
        self.told(changed, base, Some(centre), now)
    }

    /// Takes in that everything was known at `at`; whether that is worth passing on. Peers' words
    /// differ by milliseconds, and each would otherwise go through the whole data centre.
    fn confirm(&mut self, at: Duration) -> bool {
        let before = self.reading.fresh();
        self.reading.confirmed(at);
        before.is_none_or(|before| at > before + self.reading.pace().watch / 2)
    }

    fn apply(&mut self, change: Change) -> bool {
        let line = describe(&change);
        let applied = self.catalog.apply(change);
        if applied {
            log::info!("{line}");
        }
        applied
    }

    /// Passes on what was learned from `source`.
    fn told(
        &mut self,
        changed: bool,
        base: u64,
        source: Option<&Arc<str>>,
        now: Duration,
    ) -> Outcome {
        let mut parcels = Vec::new();
        let audience = audience(&self.own, &self.list, source);
        if !audience.is_empty() {
            let message = self.message(false, base, now);
            parcels.extend(audience.into_iter().map(|to| Parcel {
                to,
                message: message.clone(),
            }));
        }
        Outcome {
            parcels,
            changed,
            ..Outcome::default()
        }
    }

    fn meet(&mut self, member: Member, now: Duration) {
        if member.address == self.own.address {
            return;
        }
        let (address, centre) = (member.address, Arc::clone(&member.data_centre));
        if self.list.hear(member, now) {
            log::info!("event=peer-found peer={address} data_centre={centre}");
        }
    }

    /// A round of gossip.
    pub fn gossip(&mut self, now: Duration) -> Vec<Parcel> {
        self.own.beat += 1;
        for lost in self.list.expire(now) {
            log::info!("event=peer-lost peer={}", lost.address);
        }
        let others: Vec<SocketAddrV4> = self.list.iter().map(|member| member.address).collect();
        let mut audience: Vec<_> = others.sample(&mut self.random, FANOUT).copied().collect();
        // A balancer that knows few others asks those it was given; later one of them now and then,
        // so that two halves that lost each other meet again.
        let strangers = || {
            self.seeds
                .iter()
                .filter(|seed| **seed != self.own.address && !others.contains(seed))
        };
        match others.len() {
            0 => audience.extend(strangers()),
            _ => audience.extend(strangers().nth(self.own.beat as usize % self.seeds.len().max(1))),
        }
        let wants = others.is_empty();
        let message = self.message(wants, self.catalog.revision(), now);
        let parcel = |to| Parcel {
            to,
            message: message.clone(),
        };
        audience.into_iter().map(parcel).collect()
    }

    /// Tells all of the own data centre that this balancer leaves.
    pub fn leave(&mut self, now: Duration) -> Vec<Parcel> {
        self.own.leaving = true;
        self.own.beat += 1;
        let message = self.message(false, self.catalog.revision(), now);
        let near = self
            .list
            .iter()
            .filter(|member| member.data_centre == self.own.data_centre);
        near.map(|member| Parcel {
            to: member.address,
            message: message.clone(),
        })
        .collect()
    }

    fn message(&mut self, wants: bool, base: u64, now: Duration) -> Message {
        let members: Vec<&Member> = self.list.iter().collect();
        let others = members
            .sample(&mut self.random, NAMED)
            .map(|member| (*member).clone())
            .collect();
        let changes = self.catalog.since(base);
        let fits =
            postcard::experimental::serialized_size(&changes).is_ok_and(|size| size <= LONGEST);
        Message {
            from: self.own.clone(),
            known: self.known(now),
            base: if fits { base } else { self.catalog.revision() },
            changes: if fits { changes } else { Vec::new() },
            others,
            silent: self.detector.silent().into_iter().take(SILENT).collect(),
            wants,
        }
    }

    /// A packet to a server went unanswered here. Whether there is something to probe.
    pub fn unanswered(&mut self, server: &Arc<str>, now: Duration) -> bool {
        let probe = self.detector.suspect(server, OWN_DOUBT, now);
        if probe {
            log::info!("event=server-suspected server={server}");
        }
        probe
    }

    /// The servers to probe now, and when to look again.
    pub fn probes(&mut self, now: Duration) -> (Vec<Probe>, Option<Duration>) {
        let due = self.detector.due(now);
        let probes = due.iter().filter_map(|server| {
            let found = self.roster.servers().find(|known| known.id == *server)?;
            Some(Probe {
                server: Arc::clone(server),
                address: found.address,
            })
        });
        (probes.collect(), self.detector.next())
    }

    /// A probe has ended.
    pub fn probed(&mut self, server: &Arc<str>, answered: bool, now: Duration) -> Outcome {
        let verdict = match answered {
            true => self.detector.answered(server, now),
            false => self.detector.unanswered(server, now),
        };
        match verdict {
            Verdict::Same => Outcome::default(),
            Verdict::Back => {
                log::info!("event=server-back server={server}");
                Outcome {
                    changed: true,
                    ..Outcome::default()
                }
            }
            Verdict::Silent => self.fell_silent(server, now),
        }
    }

    /// A server has fallen silent: its neighbours are probed at once, and the own data centre is
    /// told.
    ///
    /// Load: a cut puts all servers of a data centre out of reach in one moment. Harm: found one by
    /// one, each costs its callers an unanswered packet first, and new flows go from one lost server
    /// to the next.
    fn fell_silent(&mut self, server: &Arc<str>, now: Duration) -> Outcome {
        log::warn!("event=server-silent server={server}");
        let centre = self.roster.servers().find(|known| known.id == *server);
        let centre = centre.map(|known| Arc::clone(&known.data_centre));
        let near = self
            .roster
            .servers()
            .filter(|known| Some(&known.data_centre) == centre.as_ref());
        for neighbour in near {
            self.detector.suspect(&neighbour.id, OWN_DOUBT, now);
        }
        let message = self.message(false, self.catalog.revision(), now);
        let own = self
            .list
            .iter()
            .filter(|member| member.data_centre == self.own.data_centre);
        let parcels = own.map(|member| Parcel {
            to: member.address,
            message: message.clone(),
        });
        Outcome {
            parcels: parcels.collect(),
            changed: true,
            probe: true,
            fetch: false,
        }
    }

    /// Whether this balancer reaches next to no server, and its callers are better off elsewhere.
    #[must_use]
    pub const fn is_isolated(&self) -> bool {
        self.isolated
    }

    fn known(&self, now: Duration) -> Known {
        let age = self.reading.fresh().map(|fresh| now.saturating_sub(fresh));
        Known {
            revision: self.catalog.revision(),
            age_ms: age.map(|age| age.as_millis() as u64),
        }
    }

    /// All that changed after a revision, for a peer.
    #[must_use]
    pub fn difference(&self, revision: u64, now: Duration) -> Difference {
        Difference {
            known: self.known(now),
            changes: self.catalog.since(revision),
        }
    }

    /// Routes and servers for the traffic threads, and when they change by time alone.
    pub fn snapshot(&mut self, now: Duration) -> (Snapshot, Option<Duration>) {
        self.roster.update(&self.catalog, now);
        let known: Vec<Arc<str>> = self
            .roster
            .servers()
            .map(|server| Arc::clone(&server.id))
            .collect();
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
        snapshot.balancers = self.list.len() + 1;
        (snapshot, self.roster.next_change(now))
    }
}

fn describe(change: &Change) -> String {
    match change {
        Change::Config { revision, config } => format!(
            "event=config revision={revision} version={} routes={}",
            config.version,
            config.routes.len()
        ),
        Change::Server {
            id,
            revision,
            server: Some(server),
        } => format!(
            "event=server server={id} revision={revision} state={:?} service={} address={} warmup_ms={}",
            server.state, server.service, server.address, server.warmup_ms
        ),
        Change::Server {
            id,
            revision,
            server: None,
        } => {
            format!("event=server server={id} revision={revision} state=Removed")
        }
    }
}
