use std::sync::Arc;

use acacia_wire::{collections::Map, flow::Protocol};

use super::{Control, Peer, Stage, TARGETS};
use crate::{
    bitmap::Bitmap,
    pin::UDP_IDLE_TIMEOUT,
    rank::{Node, digest},
    snapshot::{Address, Entry, Service, Snapshot},
};

/// From what the control thread knows to what traffic threads use.
impl Control {
    /// Joins anew after a freeze that may have outlasted this balancer's membership.
    pub(super) fn rejoin(&mut self, now: u64) {
        let lapsed = now > self.turned + self.settings.stall_timeout;
        self.turned = now;
        if lapsed && self.stage == Stage::Ready {
            self.stage = Stage::Joining;
            self.joining_since = now;
            self.settled = self.ready();
            self.previous = Arc::clone(&self.settled);
            self.peers.values_mut().for_each(Peer::forget_flags);
            self.news = true;
        }
    }

    /// Balancers that were already owners when they were first heard of: after a cut that lasted
    /// until each side took the other for gone, both hold pins that the other does not know.
    pub(super) fn has_unmerged_owners(&self) -> bool {
        let grown = self
            .alive()
            .filter(|peer| peer.member.stage != Stage::Joining);
        let mut unknown = grown.filter(|peer| !self.settled.contains(&peer.member.node));
        unknown.any(|peer| !peer.has_joined)
    }

    /// Notes when an owner was last found to be lost.
    pub(super) fn note_lost(&mut self, now: u64) {
        let alive = self.living();
        let lost: Vec<Node> = self
            .settled
            .iter()
            .filter(|node| !alive.contains(node))
            .copied()
            .collect();
        if lost.iter().any(|node| !self.lost.contains(node)) {
            self.lost_at = now;
        }
        self.lost = lost;
        let reachable = self.reachable(now);
        let silent = self
            .settled
            .iter()
            .filter(|node| !reachable.contains(&node.id));
        let silent: Vec<Node> = silent.copied().collect();
        if silent.iter().any(|node| !self.silent.contains(node)) {
            self.owner_unreachable_at = now;
        }
        self.silent = silent;
    }

    /// From when on flows whose owners are out of hearing may be opened on their base: those owners
    /// have stopped placing flows elsewhere, as they miss this balancer's echoes, and what they
    /// placed before has been resent.
    fn partitioned_from(&self) -> u64 {
        let apart = !self.silent.is_empty() || self.peers.values().any(|peer| peer.member.dead);
        match apart {
            true => {
                self.owner_unreachable_at
                    + self.settings.off_base_timeout
                    + self.settings.flag_settle_delay
            }
            false => u64::MAX,
        }
    }

    /// Brings ownership up to date: becomes ready, and lets a complete handover take effect.
    pub(super) fn advance(&mut self, now: u64) {
        self.note_lost(now);
        let target = self.target();
        let complete = self.is_handed_over(digest(&target));
        let heard = self
            .alive()
            .all(|peer| peer.has_flags && peer.is_reachable(now, self.settings.flags_timeout));
        // An owner that may not yet place flows off their base sends new ones to a draining server.
        // A change of flags that never settles must not keep it from owning flows for ever.
        let patient = now < self.joining_since + self.settings.join_timeout;
        let open = self.flags.all_open(now, self.settings.flag_settle_delay) || !patient;
        if self.stage == Stage::Joining && complete && heard && open && self.seen_members {
            self.stage = Stage::Ready;
            self.news = true;
        }
        // One that is taken for dead may be cut off and hold pins that nobody else has.
        let certain = !self.peers.values().any(|peer| peer.member.dead);
        if self.targets.back() != Some(&target) {
            self.targets.push_back(Arc::clone(&target));
            if self.targets.len() > TARGETS {
                self.targets.pop_front();
            }
        }
        if certain && complete && *self.ready() == *target && self.settled != target {
            self.settle(target, now);
        } else if let Some(later) = self.settled_elsewhere() {
            self.settle(later, now);
        }
        let settled = digest(&self.settled);
        let differs = self.grown().any(|peer| peer.settled != settled);
        self.disagree_since = self.disagree_since.or(Some(now)).filter(|_| differs);
        if now > self.previous_until {
            self.previous = Arc::clone(&self.settled);
        }
    }

    fn settle(&mut self, settled: Arc<[Node]>, now: u64) {
        self.previous = std::mem::replace(&mut self.settled, settled);
        self.previous_until = now + self.settings.handover_grace;
        self.settled_at = now;
    }

    /// A set of owners later than the settled one that a peer knows to be settled. This balancer
    /// has missed the reports that said so, and the next handover waits for it.
    fn settled_elsewhere(&self) -> Option<Arc<[Node]>> {
        let mine = self
            .targets
            .iter()
            .rposition(|target| *target == self.settled);
        let later = self.targets.iter().skip(mine.map_or(0, |at| at + 1));
        let known = |set: &&Arc<[Node]>| {
            let digest = digest(set);
            let mut grown = self
                .alive()
                .filter(|peer| peer.member.stage != Stage::Joining);
            **set != self.settled && grown.any(|peer| peer.settled == digest)
        };
        later.rev().find(known).cloned()
    }

    /// Whether no balancer is out of hearing or taken for dead. Only then may flows be placed off
    /// their base.
    pub(super) fn hears_all(&self, now: u64) -> bool {
        self.peers.values().all(|peer| {
            let joining = peer.member.stage == Stage::Joining;
            !peer.member.dead && (joining || peer.is_reachable(now, self.settings.off_base_timeout))
        })
    }

    /// The view to publish to traffic threads at `now`.
    pub fn snapshot(&mut self, now: u64) -> Snapshot {
        self.rejoin(now);
        self.advance(now);
        self.acknowledge_flags(now);
        let sure = self.settings.flags_timeout;
        // One that joins holds no pins that others do not, and redirects whatever it can't know.
        let grown = |peer: &&Peer| peer.member.stage != Stage::Joining;
        let oldest = self
            .alive()
            .filter(grown)
            .map(|peer| peer.echoed)
            .min()
            .unwrap_or(now);
        let latest = self.alive().map(|peer| peer.echoed).max().unwrap_or(now);
        let informed = self.alive().filter(grown).all(|peer| peer.has_flags) && self.seen_members;
        let (ready, target) = (self.ready(), self.target());
        let reaches_all = self.hears_all(now);
        let owns = self.stage != Stage::Joining && !self.departed;
        let steady = self.settled == ready && ready == target && self.previous == self.settled;
        Snapshot {
            me: self.me,
            flags_complete_until: if informed { oldest + sure } else { 0 },
            fresh_until: latest + sure,
            owner: owns,
            off_base_allowed: reaches_all && owns,
            has_unmerged_owners: self.has_unmerged_owners(),
            missing: self.missing().into(),
            partitioned_from: self.partitioned_from(),
            owner_unreachable_at: self.owner_unreachable_at,
            alive: self.living().into(),
            reachable: self.reachable(now).into(),
            settled: Arc::clone(&self.settled),
            previous: Arc::clone(&self.previous),
            ready,
            target,
            steady,
            services: self.entries(now),
        }
    }

    pub(super) fn entries(&self, now: u64) -> Map<Address, Entry> {
        let settle = self.settings.flag_settle_delay;
        let informed = self.peers.values().map(|peer| peer.tables).min();
        let dead = self.peers.values().any(|peer| peer.member.dead);
        let entry = |service: &Arc<Service>| {
            let address = service.address;
            let mut flags = self.flags.wanted(&address);
            let wanted = self.alive().filter_map(|peer| peer.wanted.get(&address));
            wanted.for_each(|theirs| flags.union(&theirs.buckets));
            let guarded = self.alive().filter_map(|peer| peer.wanted.get(&address));
            Entry {
                service: Arc::clone(service),
                flags,
                off_base: self.flags.open(&address, now, settle),
                udp_observed: match address.protocol {
                    Protocol::Tcp => Bitmap::default(),
                    // A new owner has not seen the flows that are on their base.
                    Protocol::Udp if now < self.settled_at + UDP_IDLE_TIMEOUT => Bitmap::default(),
                    Protocol::Udp => self.flags.open(&address, now, UDP_IDLE_TIMEOUT),
                },
                moved: self.flags.moved(&address),
                guarded: self.flags.is_guarded(&address) || guarded.into_iter().any(|w| w.guarded),
                refusable: self.flags.is_guard_settled(&address, now, settle),
                accepting: !dead && informed.is_none_or(|version| version >= service.since),
            }
        };
        let services = self.tables.services.iter();
        services
            .map(|service| (service.address, entry(service)))
            .collect()
    }
}
