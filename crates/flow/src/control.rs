use std::{collections::VecDeque, sync::Arc};

use acacia_wire::{
    collections::{Map, Set},
    flow::Key,
};

use crate::{
    pin::Pin,
    rank::{Node, digest},
    shard::Shard,
    snapshot::{Address, Service, State},
};

mod flags;
mod handover;
mod peer;
mod publish;
mod settings;

use flags::Flags;
use handover::Handover;
pub use handover::{Acknowledgement, Batch, Packed};
use peer::Peer;
pub use peer::{Report, Wanted};
pub use settings::{Member, Settings, Stage, Tables};

/// State of the control thread.
///
/// Call [`Control::set_members`] and [`Control::set_tables`] when these change,
/// [`Control::receive`] for each report, and [`Control::sweep`] over all shards about once a
/// second; then call [`Control::snapshot`] and publish the result. Send [`Control::report`] to each
/// member twice a second, and immediately when [`Control::take_pending_report`] returns `true`.
#[derive(Debug)]
pub struct Control {
    me: Node,
    stage: Stage,
    departed: bool,
    settings: Settings,
    agreed: Tables,
    down: Set<(Address, u16)>,
    tables: Tables,
    peers: Map<u16, Peer>,
    sent: VecDeque<(u32, u64)>,
    sequence: u32,
    /// Whether peers should get a report before the next heartbeat.
    report_pending: bool,
    settled: Arc<[Node]>,
    /// The latest targets, oldest first. A peer may report the handover to any of them as complete.
    targets: VecDeque<Arc<[Node]>>,
    previous: Arc<[Node]>,
    previous_until: u64,
    settled_at: u64,
    joining_since: u64,
    /// Owners that are suspected dead or removed, and when the latest of them was noticed.
    lost: Vec<Node>,
    lost_at: u64,
    /// Unreachable owners, and when the latest of them became unreachable.
    unreachable_owners: Vec<Node>,
    owner_unreachable_at: u64,
    /// Since when some peer has used a different settled set.
    disagreement_since: Option<u64>,
    /// When a batch of pin copies was last received.
    last_batch_at: u64,
    seen_members: bool,
    /// When the control thread last ran.
    last_turn_at: u64,
    flags: Flags,
    handover: Handover,
}

/// Milliseconds for which balancers may use different settled sets before each sends all its pins
/// to all balancers that need them. The sets differ for longer if several balancers start at once,
/// or return after each removed the other.
const MAX_DISAGREEMENT: u64 = 3_000;
/// Maximum number of targets kept: more than occur while a balancer misses a few heartbeats.
const MAX_TARGETS: usize = 8;
/// Milliseconds for which a bucket stays flagged after the last snapshot that allowed placing flows
/// off its base has expired. Covers two passes over the shards, which find the pins of such flows.
const FLAG_LINGER: u64 = 2_500;
/// Maximum number of reports whose sending time is kept: several seconds' worth for 64 peers.
const MAX_SENT_REPORTS: usize = 4_096;

impl Control {
    /// Creates the state of a balancer that has just started.
    #[must_use]
    pub fn new(me: Node, settings: Settings, now: u64) -> Self {
        Control {
            me,
            stage: Stage::Joining,
            departed: false,
            settings,
            agreed: Tables::default(),
            down: Set::default(),
            tables: Tables::default(),
            peers: Map::default(),
            sent: VecDeque::new(),
            sequence: 0,
            report_pending: true,
            settled: Arc::default(),
            targets: VecDeque::new(),
            previous: Arc::default(),
            previous_until: 0,
            settled_at: now,
            joining_since: now,
            lost: Vec::new(),
            lost_at: now,
            unreachable_owners: Vec::new(),
            owner_unreachable_at: now,
            disagreement_since: None,
            last_batch_at: 0,
            seen_members: false,
            last_turn_at: now,
            flags: Flags::default(),
            handover: Handover::new(settings.copy_rate, now),
        }
    }

    /// Lifecycle stage of this balancer, to be sent in its heartbeats.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Starts to hand over all pins. Once [`Control::may_leave`] returns `true`, call
    /// [`Control::depart`], announce the departure to the peers, and keep redirecting packets for
    /// as long as a peer may not have received the announcement.
    pub fn leave(&mut self) {
        self.stage = Stage::Leaving;
        self.report_pending = true;
    }

    /// Whether all pins are handed over and every peer has finished its part.
    #[must_use]
    pub fn may_leave(&self) -> bool {
        self.stage == Stage::Leaving && self.is_handed_over(digest(&self.target()))
    }

    /// Stops owning flows, right before the departure is announced. Peers then no longer tell this
    /// balancer of new flows, so it must not decide about flows any more, but it can still redirect
    /// packets.
    pub fn depart(&mut self) {
        self.departed = true;
    }

    /// Whether peers should get a report before the next heartbeat is due. Clears the mark.
    pub fn take_pending_report(&mut self) -> bool {
        std::mem::take(&mut self.report_pending)
    }

    /// Applies new tables, unless their version is older than or equal to the current one.
    pub fn set_tables(&mut self, tables: Tables, now: u64) {
        if tables.version <= self.tables.version && self.tables.version > 0 {
            return;
        }
        self.flags.record_moves(&self.tables, &tables);
        self.agreed = tables;
        self.apply(now);
    }

    /// Records whether this balancer considers a listed server unreachable.
    pub fn set_down(&mut self, address: Address, server: u16, down: bool, now: u64) {
        let changed = match down {
            true => self.down.insert((address, server)),
            false => self.down.remove(&(address, server)),
        };
        if changed {
            self.apply(now);
        }
    }

    /// Rebuilds the tables in use from the agreed tables and the servers found down locally.
    fn apply(&mut self, now: u64) {
        let mut services = self.agreed.services.clone();
        let listed = |address: &Address| {
            let mut agreed = self.agreed.services.iter();
            agreed.any(|service| service.address == *address)
        };
        self.down.retain(|(address, _)| listed(address));
        for (address, server) in &self.down {
            let service = services
                .iter_mut()
                .find(|service| service.address == *address);
            let server = service.and_then(|service| Arc::make_mut(service).servers.get_mut(server));
            if let Some(server) = server {
                server.state = State::Down;
            }
        }
        self.tables = Tables {
            version: self.agreed.version,
            services,
        };
        self.report_pending = true;
        self.refresh(now);
    }

    /// Applies the membership's view of all other balancers.
    pub fn set_members(&mut self, members: &[Member]) {
        self.peers
            .retain(|_, peer| members.iter().any(|member| member.node == peer.member.node));
        for &member in members.iter().filter(|member| member.node.id != self.me.id) {
            let peer = self.peers.entry(member.node.id);
            let peer = peer.or_insert_with(|| Peer::new(member));
            self.report_pending |= peer.member != member;
            peer.member = member;
            peer.has_joined |= member.stage == Stage::Joining;
        }
        if !self.seen_members {
            self.seen_members = true;
            self.settled = self.ready();
        }
    }

    fn alive(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(|peer| !peer.member.dead)
    }

    /// All balancers that are not suspected dead, including this one.
    fn alive_nodes(&self) -> Vec<Node> {
        let others = self.alive().map(|peer| peer.member.node);
        others.chain([self.me]).collect()
    }

    fn suspected_dead(&self) -> Vec<Node> {
        let dead = self.peers.values().filter(|peer| peer.member.dead);
        dead.map(|peer| peer.member.node).collect()
    }

    /// Numbers of the reachable balancers, including this one.
    fn reachable(&self, now: u64) -> Vec<u16> {
        let timeout = self.settings.peer_timeout;
        let reachable = self.alive().filter(|peer| peer.is_reachable(now, timeout));
        reachable
            .map(|peer| peer.member.node.id)
            .chain([self.me.id])
            .collect()
    }

    /// Balancers that currently own flows, ordered by number.
    fn ready(&self) -> Arc<[Node]> {
        self.nodes_in(|stage| stage != Stage::Joining)
    }

    /// Balancers that will own flows after all pending joins and leaves.
    fn target(&self) -> Arc<[Node]> {
        self.nodes_in(|stage| stage != Stage::Leaving)
    }

    fn nodes_in(&self, is_in: impl Fn(Stage) -> bool) -> Arc<[Node]> {
        let mine = (is_in(self.stage) && !self.departed).then_some(self.me);
        let theirs = self.alive().filter(|peer| is_in(peer.member.stage));
        let mut nodes: Vec<Node> = theirs.map(|peer| peer.member.node).chain(mine).collect();
        nodes.sort_unstable();
        nodes.into()
    }

    /// Whether all balancers have handed over their pins to the owner set with digest `target`. A
    /// joining balancer has no pins of its own and uses the settled set of the others.
    fn is_handed_over(&self, target: u64) -> bool {
        let joins = self.stage == Stage::Joining;
        let mut sets = self.established().map(|peer| peer.settled);
        let mine = digest(&self.settled);
        let settled = if joins {
            sets.next().unwrap_or(mine)
        } else {
            mine
        };
        let same = if joins {
            sets.all(|set| set == settled)
        } else {
            self.agrees_on_settled()
        };
        let done = handover::token(if same { settled } else { handover::DIVERGED }, target);
        let finished = self.handover.finished();
        let ended = if joins {
            finished.is_some()
        } else {
            finished == Some(done)
        };
        ended && self.established().all(|peer| peer.handed == done)
    }

    /// Alive peers that have finished joining.
    fn established(&self) -> impl Iterator<Item = &Peer> {
        self.alive()
            .filter(|peer| peer.member.stage != Stage::Joining)
    }

    /// Whether all balancers use the same settled set. Short differences, as after each handover,
    /// are ignored; see [`MAX_DISAGREEMENT`].
    fn agrees_on_settled(&self) -> bool {
        self.disagreement_since
            .is_none_or(|since| self.last_turn_at < since + MAX_DISAGREEMENT)
    }

    fn refresh(&mut self, now: u64) {
        let flag_linger = self.settings.flags_timeout + FLAG_LINGER;
        let is_partitioned = !self.reaches_all(now);
        self.report_pending |= self
            .flags
            .refresh(&self.tables, now, flag_linger, is_partitioned);
    }

    /// Sets whether the policy may place flows off their base in every bucket of a service.
    /// Otherwise it may only do so in buckets whose `next` differs from their base, or whose base
    /// takes no new flows. While this is allowed, mid-flow packets go through an owner unless their
    /// flow is cached at the ingress balancer.
    pub fn allow_off_base(&mut self, address: Address, allowed: bool, now: u64) {
        self.flags.allow_off_base(address, allowed);
        self.refresh(now);
    }

    /// Sets whether a service is guarded. Openings of a guarded service go through the owners,
    /// which may refuse them.
    pub fn guard(&mut self, address: Address, guarded: bool) {
        self.report_pending |= self.flags.guard(address, guarded);
    }

    /// Processes shard `index` of `count`: removes expired entries, records which buckets have
    /// pins, and queues the pins to be handed over. Call it for every shard in turn.
    pub fn sweep(&mut self, shard: &mut Shard, index: usize, count: usize, now: u64) {
        // An owner may have been lost since the last snapshot. If the loss were noticed only
        // after this sweep, pins of this shard would be copied to the owner's successor as openings
        // that were never established, and their flows would go to the base once those pins expire.
        self.track_owner_failures(now);
        let (target, ready) = (self.target(), self.ready());
        let (alive, missing) = (self.alive_nodes(), self.suspected_dead());
        let view = handover::View {
            me: self.me,
            settled: &self.settled,
            agreed: self.agrees_on_settled(),
            previous: &self.previous,
            target: &target,
            ready: &ready,
            alive: &alive,
            lost_at: self.lost_at,
            missing: &missing,
        };
        let services: Map<Address, &Arc<Service>> = self
            .tables
            .services
            .iter()
            .map(|service| (service.address, service))
            .collect();
        self.handover.start_shard(index, count, &view);
        // A peer that learns of a change earlier may send its pins before this balancer knows that
        // it is to own them. The peer counts them as handed over, so removing them here would lose
        // them.
        let grace = self.settings.handover_grace;
        let batch_is_recent = now < self.last_batch_at + grace;
        shard.sweep(now, |key: &Key, pin: &mut Pin| {
            let address = Address::of(key);
            let Some(service) = services.get(&address) else {
                return false;
            };
            let hash = key.hash();
            if !view.keeps(hash) && !batch_is_recent && pin.age(now) > grace {
                return false;
            }
            if !pin.short_lived {
                self.flags.record_pin(service, service.bucket(hash));
            }
            self.handover.process_pin(key, pin, now, &view);
            true
        });
        if index + 1 == count {
            self.flags.finish_pass();
            self.refresh(now);
        }
    }

    /// Returns the batches of pins to send at `now`, within the byte rate.
    pub fn batches(&mut self, now: u64) -> Vec<(u16, Batch)> {
        let alive: Vec<u16> = self.alive().map(|peer| peer.member.node.id).collect();
        self.handover.batches(now, &alive)
    }

    /// Processes a batch from balancer `from`. `adopt` must pass each pin to [`Shard::adopt`] and
    /// return its result. Send the returned acknowledgement back.
    pub fn receive_batch(
        &mut self,
        from: u16,
        batch: &Batch,
        now: u64,
        mut adopt: impl FnMut(Key, Pin) -> Option<Pin>,
    ) -> Acknowledgement {
        let service = self
            .tables
            .services
            .iter()
            .find(|service| service.address == batch.address);
        self.last_batch_at = now;
        for packed in &batch.pins {
            let (key, pin) = packed.unpack(&batch.address, now);
            if let Some(service) = service {
                self.flags.record_pin(service, service.bucket(key.hash()));
            }
            if let Some(local) = adopt(key, pin) {
                self.handover.enqueue(from, &key, &local);
            }
        }
        self.refresh(now);
        Acknowledgement {
            number: batch.number,
        }
    }

    /// Processes the acknowledgement of a batch sent to balancer `from`.
    pub fn receive_acknowledgement(&mut self, from: u16, answer: Acknowledgement) {
        self.handover.acknowledged(from, answer.number);
    }

    /// Whether every balancer has tables of at least `version`, and none is suspected dead. The
    /// table writer then may remove a server that takes no new flows in `version` from the base of
    /// its buckets.
    #[must_use]
    pub fn is_known_everywhere(&self, version: u64) -> bool {
        self.peers
            .values()
            .all(|peer| !peer.member.dead && peer.tables >= version)
    }
}

/// Whether new flows in `bucket` may have to be placed off its base.
fn is_off_base(service: &Service, bucket: usize) -> bool {
    let base = service.base[bucket];
    service.next[bucket] != base || !service.is_eligible(base)
}
