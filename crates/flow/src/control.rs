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

/// The control thread's state.
///
/// Call order: [`Control::set_members`] and [`Control::set_tables`] when these change,
/// [`Control::receive`] for each report, [`Control::sweep`] over all shards about once a second,
/// then [`Control::snapshot`], and publish its outcome. Send [`Control::report`] to each member
/// twice a second, and at once when [`Control::take_pending_report`].
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
    news: bool,
    settled: Arc<[Node]>,
    /// The latest targets, oldest first: a peer may know that the handover to one is complete.
    targets: VecDeque<Arc<[Node]>>,
    previous: Arc<[Node]>,
    previous_until: u64,
    settled_at: u64,
    joining_since: u64,
    /// Owners that are lost, and when the last of them was noticed to be.
    lost: Vec<Node>,
    lost_at: u64,
    /// Owners out of hearing, and when the last of them fell silent.
    silent: Vec<Node>,
    owner_unreachable_at: u64,
    /// Since when some peer has gone by another settled set.
    disagree_since: Option<u64>,
    /// When copies of pins last came in.
    copied_at: u64,
    seen_members: bool,
    turned: u64,
    flags: Flags,
    handover: Handover,
}

/// Milliseconds for which balancers may go by different settled sets before all send all they
/// hold: several start at once, or come back after each took the other for gone.
const DISAGREE: u64 = 3_000;
/// Most targets remembered: more than change while a balancer misses a few heartbeats.
const TARGETS: usize = 8;
/// Milliseconds for which a bucket stays flagged beyond the life of any snapshot in which flows
/// could be placed off its base: two passes over the shards, in which their pins are met.
const LINGER: u64 = 2_500;
/// Most reports of which the time of sending is remembered: several seconds' worth for 64 peers.
const REMEMBERED: usize = 4_096;

impl Control {
    /// The state of a balancer that has just started.
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
            news: true,
            settled: Arc::default(),
            targets: VecDeque::new(),
            previous: Arc::default(),
            previous_until: 0,
            settled_at: now,
            joining_since: now,
            lost: Vec::new(),
            lost_at: now,
            silent: Vec::new(),
            owner_unreachable_at: now,
            disagree_since: None,
            copied_at: 0,
            seen_members: false,
            turned: now,
            flags: Flags::default(),
            handover: Handover::new(settings.copy_rate, now),
        }
    }

    /// Where this balancer is in its life; goes into its heartbeats.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Starts handing over. Once [`Control::may_leave`], [`Control::depart`], say goodbye, and go on
    /// passing packets on for as long as others may not have heard it.
    pub fn leave(&mut self) {
        self.stage = Stage::Leaving;
        self.news = true;
    }

    /// Whether all pins are handed over, and every peer has finished its part.
    #[must_use]
    pub fn may_leave(&self) -> bool {
        self.stage == Stage::Leaving && self.is_handed_over(digest(&self.target()))
    }

    /// Stops to own flows, right before the goodbye to the others. From then on they no longer tell
    /// this balancer of new flows; it must not answer for them, but can still pass packets on.
    pub fn depart(&mut self) {
        self.departed = true;
    }

    /// Whether a peer should hear from this balancer before its next heartbeat is due.
    pub fn take_pending_report(&mut self) -> bool {
        std::mem::take(&mut self.news)
    }

    /// Takes over new tables; older ones than those in force are ignored.
    pub fn set_tables(&mut self, tables: Tables, now: u64) {
        if tables.version <= self.tables.version && self.tables.version > 0 {
            return;
        }
        self.flags.note_moves(&self.tables, &tables);
        self.agreed = tables;
        self.apply(now);
    }

    /// Notes that this balancer can't reach a server that the tables list, or can again.
    pub fn set_down(&mut self, address: Address, server: u16, down: bool, now: u64) {
        let changed = match down {
            true => self.down.insert((address, server)),
            false => self.down.remove(&(address, server)),
        };
        if changed {
            self.apply(now);
        }
    }

    /// Brings the tables in use in line with what was agreed and what was found here.
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
        self.news = true;
        self.refresh(now);
    }

    /// Takes over what the membership knows of all other balancers.
    pub fn set_members(&mut self, members: &[Member]) {
        self.peers
            .retain(|_, peer| members.iter().any(|member| member.node == peer.member.node));
        for &member in members.iter().filter(|member| member.node.id != self.me.id) {
            let peer = self.peers.entry(member.node.id);
            let peer = peer.or_insert_with(|| Peer::new(member));
            self.news |= peer.member != member;
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

    /// All balancers that are not taken for dead.
    fn living(&self) -> Vec<Node> {
        let others = self.alive().map(|peer| peer.member.node);
        others.chain([self.me]).collect()
    }

    fn missing(&self) -> Vec<Node> {
        let dead = self.peers.values().filter(|peer| peer.member.dead);
        dead.map(|peer| peer.member.node).collect()
    }

    /// Those of them that can be reached.
    fn reachable(&self, now: u64) -> Vec<u16> {
        let reach = self.settings.peer_timeout;
        let reachable = self.alive().filter(|peer| peer.is_reachable(now, reach));
        reachable
            .map(|peer| peer.member.node.id)
            .chain([self.me.id])
            .collect()
    }

    /// Balancers that own flows now, in the order of their numbers.
    fn ready(&self) -> Arc<[Node]> {
        self.collect(|stage| stage != Stage::Joining)
    }

    /// Balancers that will own flows after those that join or leave have done so.
    fn target(&self) -> Arc<[Node]> {
        self.collect(|stage| stage != Stage::Leaving)
    }

    fn collect(&self, is_in: impl Fn(Stage) -> bool) -> Arc<[Node]> {
        let mine = (is_in(self.stage) && !self.departed).then_some(self.me);
        let theirs = self.alive().filter(|peer| is_in(peer.member.stage));
        let mut nodes: Vec<Node> = theirs.map(|peer| peer.member.node).chain(mine).collect();
        nodes.sort_unstable();
        nodes.into()
    }

    /// Whether all have handed their pins over to `target`. One that joins has none of its own,
    /// and goes by the settled set of the others.
    fn is_handed_over(&self, target: u64) -> bool {
        let joins = self.stage == Stage::Joining;
        let mut sets = self.grown().map(|peer| peer.settled);
        let mine = digest(&self.settled);
        let settled = if joins {
            sets.next().unwrap_or(mine)
        } else {
            mine
        };
        let same = if joins {
            sets.all(|set| set == settled)
        } else {
            self.agrees()
        };
        let done = handover::token(if same { settled } else { handover::APART }, target);
        let finished = self.handover.finished();
        let ended = if joins {
            finished.is_some()
        } else {
            finished == Some(done)
        };
        ended && self.grown().all(|peer| peer.handed == done)
    }

    fn grown(&self) -> impl Iterator<Item = &Peer> {
        self.alive()
            .filter(|peer| peer.member.stage != Stage::Joining)
    }

    /// Whether all go by the same settled set. For a moment they don't after each handover.
    fn agrees(&self) -> bool {
        self.disagree_since
            .is_none_or(|since| self.turned < since + DISAGREE)
    }

    fn refresh(&mut self, now: u64) {
        let linger = self.settings.flags_timeout + LINGER;
        let apart = !self.hears_all(now);
        self.news |= self.flags.refresh(&self.tables, now, linger, apart);
    }

    /// Lets the policy choose among servers in every bucket of a service, or ends that. Without,
    /// it can in buckets whose `next` differs from their base, or whose base takes no new flows.
    /// All packets in mid-flow then pass an owner if they are not known where they come in.
    pub fn allow_off_base(&mut self, address: Address, loose: bool, now: u64) {
        self.flags.allow_off_base(address, loose);
        self.refresh(now);
    }

    /// Guards a service, or ends that: openings then pass through the owners, who may refuse.
    pub fn guard(&mut self, address: Address, guarded: bool) {
        self.news |= self.flags.guard(address, guarded);
    }

    /// Goes through shard `index` of `count`: drops what has lapsed, notes where pins are, and
    /// lists those to be handed over. Call for every shard in turn.
    pub fn sweep(&mut self, shard: &mut Shard, index: usize, count: usize, now: u64) {
        // An owner may have been lost since the last snapshot. Seen only there, after this sweep, the
        // pins of this shard would be copied to its successor as openings that came to nothing, and
        // their flows sent to their base once these lapse.
        self.note_lost(now);
        let (target, ready) = (self.target(), self.ready());
        let (alive, missing) = (self.living(), self.missing());
        let view = handover::View {
            me: self.me,
            settled: &self.settled,
            agreed: self.agrees(),
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
        // A peer that knows of a change first sends its pins before this balancer has heard what
        // they are for. It counts them as handed over; dropped here, they would be lost.
        let grace = self.settings.handover_grace;
        let fresh = now < self.copied_at + grace;
        shard.sweep(now, |key: &Key, pin: &mut Pin| {
            let address = Address::of(key);
            let Some(service) = services.get(&address) else {
                return false;
            };
            let hash = key.hash();
            if !view.keeps(hash) && !fresh && pin.age(now) > grace {
                return false;
            }
            if !pin.short_lived {
                self.flags.note_pin(service, service.bucket(hash));
            }
            self.handover.note(key, pin, now, &view);
            true
        });
        if index + 1 == count {
            self.flags.finish_pass();
            self.refresh(now);
        }
    }

    /// The batches of pins to send at `now`, within the byte budget.
    pub fn batches(&mut self, now: u64) -> Vec<(u16, Batch)> {
        let alive: Vec<u16> = self.alive().map(|peer| peer.member.node.id).collect();
        self.handover.batches(now, &alive)
    }

    /// Takes in a batch of `from`: `adopt` hands each pin to [`Shard::adopt`] and gives its
    /// answer. Send the acknowledgement back.
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
        self.copied_at = now;
        for packed in &batch.pins {
            let (key, pin) = packed.unpack(&batch.address, now);
            if let Some(service) = service {
                self.flags.note_pin(service, service.bucket(key.hash()));
            }
            if let Some(better) = adopt(key, pin) {
                self.handover.list(from, &key, &better);
            }
        }
        self.refresh(now);
        Acknowledgement {
            number: batch.number,
        }
    }

    /// Takes in the answer to a batch sent to `from`.
    pub fn receive_acknowledgement(&mut self, from: u16, answer: Acknowledgement) {
        self.handover.acknowledged(from, answer.number);
    }

    /// Whether the server may be taken out of the base of its buckets: for the writer of tables.
    /// True once every balancer has tables of `version`, in which it takes no new flows.
    #[must_use]
    pub fn is_known_everywhere(&self, version: u64) -> bool {
        self.peers
            .values()
            .all(|peer| !peer.member.dead && peer.tables >= version)
    }
}

/// Whether flows may have to be placed elsewhere than on the base.
fn is_off_base(service: &Service, bucket: usize) -> bool {
    let base = service.base[bucket];
    service.next[bucket] != base || !service.is_eligible(base)
}
