use std::sync::Arc;

use acacia_wire::{collections::Map, flow::Protocol};

use super::{Control, MAX_TARGETS, Peer, Stage};
use crate::{
    bitmap::Bitmap,
    pin::UDP_IDLE_TIMEOUT,
    rank::{Node, digest},
    snapshot::{Address, Entry, Service, Snapshot},
};

/// Ownership changes and construction of snapshots.
impl Control {
    /// Rejoins after a suspension that may have outlasted this balancer's membership.
    pub(super) fn rejoin(&mut self, now: u64) {
        let stalled = now > self.last_turn_at + self.settings.stall_timeout;
        self.last_turn_at = now;
        if stalled && self.stage == Stage::Ready {
            self.stage = Stage::Joining;
            self.joining_since = now;
            self.settled = self.ready();
            self.previous = Arc::clone(&self.settled);
            self.peers.values_mut().for_each(Peer::forget_flags);
            self.report_pending = true;
        }
    }

    /// Whether any balancer was already an owner when it was first seen. This happens after a
    /// partition that lasted until each side removed the other, so that both hold pins that the
    /// other does not know.
    pub(super) fn has_unmerged_owners(&self) -> bool {
        let established = self
            .alive()
            .filter(|peer| peer.member.stage != Stage::Joining);
        let mut unknown = established.filter(|peer| !self.settled.contains(&peer.member.node));
        unknown.any(|peer| !peer.has_joined)
    }

    /// Records when an owner was last found to be lost, that is suspected dead or removed, and when
    /// one was last found to be unreachable.
    pub(super) fn track_owner_failures(&mut self, now: u64) {
        let alive = self.alive_nodes();
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
        let unreachable = self
            .settled
            .iter()
            .filter(|node| !reachable.contains(&node.id));
        let unreachable: Vec<Node> = unreachable.copied().collect();
        if unreachable
            .iter()
            .any(|node| !self.unreachable_owners.contains(node))
        {
            self.owner_unreachable_at = now;
        }
        self.unreachable_owners = unreachable;
    }

    /// Time from which flows whose owners are unreachable may be opened on their base. By then
    /// those owners have stopped placing flows off their base, because they miss this balancer's
    /// echoes, and the openings that they placed before have been retransmitted.
    fn partitioned_from(&self) -> u64 {
        let is_partitioned =
            !self.unreachable_owners.is_empty() || self.peers.values().any(|peer| peer.member.dead);
        match is_partitioned {
            true => {
                self.owner_unreachable_at
                    + self.settings.off_base_timeout
                    + self.settings.flag_settle_delay
            }
            false => u64::MAX,
        }
    }

    /// Updates ownership: makes this balancer ready when it has joined, and adopts the owner set of
    /// a completed handover.
    pub(super) fn advance(&mut self, now: u64) {
        self.track_owner_failures(now);
        let target = self.target();
        let complete = self.is_handed_over(digest(&target));
        let knows_all_flags = self
            .alive()
            .all(|peer| peer.has_flags && peer.is_reachable(now, self.settings.flags_timeout));
        // An owner that may not yet place flows off their base sends new ones to a draining server,
        // so a joining balancer waits until it may. The wait is limited, because flags may keep
        // changing.
        let may_wait = now < self.joining_since + self.settings.join_timeout;
        let may_place = self
            .flags
            .all_off_base(now, self.settings.flag_settle_delay)
            || !may_wait;
        if self.stage == Stage::Joining
            && complete
            && knows_all_flags
            && may_place
            && self.seen_members
        {
            self.stage = Stage::Ready;
            self.report_pending = true;
        }
        // A balancer suspected dead may be partitioned and hold pins that no other balancer has.
        let none_suspected = !self.peers.values().any(|peer| peer.member.dead);
        if self.targets.back() != Some(&target) {
            self.targets.push_back(Arc::clone(&target));
            if self.targets.len() > MAX_TARGETS {
                self.targets.pop_front();
            }
        }
        if none_suspected && complete && *self.ready() == *target && self.settled != target {
            self.settle(target, now);
        } else if let Some(later) = self.settled_elsewhere() {
            self.settle(later, now);
        }
        let settled = digest(&self.settled);
        let disagrees = self.established().any(|peer| peer.settled != settled);
        self.disagreement_since = self.disagreement_since.or(Some(now)).filter(|_| disagrees);
        if now > self.previous_until {
            self.previous = Arc::clone(&self.settled);
        }
    }

    fn settle(&mut self, settled: Arc<[Node]>, now: u64) {
        self.previous = std::mem::replace(&mut self.settled, settled);
        self.previous_until = now + self.settings.handover_grace;
        self.settled_at = now;
    }

    /// Returns a later target than the settled set that some peer reports as settled. This balancer
    /// missed the reports that completed that handover, and the next handover waits for it.
    fn settled_elsewhere(&self) -> Option<Arc<[Node]>> {
        let mine = self
            .targets
            .iter()
            .rposition(|target| *target == self.settled);
        let later = self.targets.iter().skip(mine.map_or(0, |at| at + 1));
        let known = |set: &&Arc<[Node]>| {
            let digest = digest(set);
            let mut established = self
                .alive()
                .filter(|peer| peer.member.stage != Stage::Joining);
            **set != self.settled && established.any(|peer| peer.settled == digest)
        };
        later.rev().find(known).cloned()
    }

    /// Whether every balancer is reachable and none is suspected dead. Only then may flows be
    /// placed off their base.
    pub(super) fn reaches_all(&self, now: u64) -> bool {
        self.peers.values().all(|peer| {
            let joining = peer.member.stage == Stage::Joining;
            !peer.member.dead && (joining || peer.is_reachable(now, self.settings.off_base_timeout))
        })
    }

    /// Creates the snapshot to publish to traffic threads at `now`.
    pub fn snapshot(&mut self, now: u64) -> Snapshot {
        self.rejoin(now);
        self.advance(now);
        self.acknowledge_flags(now);
        let flags_timeout = self.settings.flags_timeout;
        // Joining balancers are left out: they hold no pins that others don't, and redirect every
        // packet that they can't decide.
        let is_established = |peer: &&Peer| peer.member.stage != Stage::Joining;
        let oldest = self
            .alive()
            .filter(is_established)
            .map(|peer| peer.echoed_at)
            .min()
            .unwrap_or(now);
        let latest = self.alive().map(|peer| peer.echoed_at).max().unwrap_or(now);
        let informed = self
            .alive()
            .filter(is_established)
            .all(|peer| peer.has_flags)
            && self.seen_members;
        let (ready, target) = (self.ready(), self.target());
        let reaches_all = self.reaches_all(now);
        let owns = self.stage != Stage::Joining && !self.departed;
        let steady = self.settled == ready && ready == target && self.previous == self.settled;
        Snapshot {
            me: self.me,
            flags_complete_until: if informed { oldest + flags_timeout } else { 0 },
            fresh_until: latest + flags_timeout,
            owner: owns,
            off_base_allowed: reaches_all && owns,
            has_unmerged_owners: self.has_unmerged_owners(),
            missing: self.suspected_dead().into(),
            partitioned_from: self.partitioned_from(),
            owner_unreachable_at: self.owner_unreachable_at,
            alive: self.alive_nodes().into(),
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
                off_base: self.flags.off_base(&address, now, settle),
                udp_observed: match address.protocol {
                    Protocol::Tcp => Bitmap::default(),
                    // A new owner has not seen the flows that are on their base.
                    Protocol::Udp if now < self.settled_at + UDP_IDLE_TIMEOUT => Bitmap::default(),
                    Protocol::Udp => self.flags.off_base(&address, now, UDP_IDLE_TIMEOUT),
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
