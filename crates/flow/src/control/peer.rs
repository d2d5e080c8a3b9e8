use acacia_wire::collections::Map;
use serde::{Deserialize, Serialize};

use super::{Control, Member, REMEMBERED, Stage};
use crate::{
    bitmap::Bitmap,
    rank::{Node, digest},
    snapshot::Address,
};

/// Flags that a balancer wants for one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// Buckets in which it may hold pins.
    pub buckets: Bitmap,
    /// Whether openings pass through the owners in every bucket.
    pub guarded: bool,
}

/// What one balancer tells another with each heartbeat. About 20 bytes, but for the flags, which
/// go only until they are acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Rises with every report of the sender.
    pub sequence: u32,
    /// The latest report of the receiver that the sender had got: proof that both hear each other
    /// now. Reports that lay in a socket while the receiver was frozen prove nothing.
    pub echo: u32,
    /// Version of the sender's tables.
    pub tables: u64,
    /// Version of the flags that the sender wants.
    pub version: u32,
    /// Version of the receiver's flags that the sender goes by.
    pub acknowledged: u32,
    /// Stands for the owners' sets between which the sender has handed over its pins.
    pub handed: u64,
    /// Digest of the owners' set whose handover the sender knows to be complete.
    pub settled: u64,
    /// That set itself, unless the receiver goes by it. One that joins can't know it otherwise.
    pub owners: Option<Vec<Node>>,
    /// The flags of `version`, unless the receiver has acknowledged them.
    pub wanted: Option<Vec<(Address, Wanted)>>,
}

/// What is known of another balancer.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// When the latest report of ours that it has echoed was sent.
    pub(super) echoed: u64,
    pub(super) tables: u64,
    pub(super) handed: u64,
    pub(super) settled: u64,
    /// Whether the flags it wants are known.
    pub(super) has_flags: bool,
    /// Whether it was seen to join, and so had all pins copied to it.
    pub(super) has_joined: bool,
    pub(super) wanted: Map<Address, Wanted>,
    version: u32,
    received: u32,
    acknowledged: u32,
}

impl Peer {
    pub(super) fn new(member: Member) -> Self {
        Peer {
            member,
            echoed: 0,
            tables: 0,
            handed: 0,
            settled: 0,
            has_flags: false,
            has_joined: false,
            wanted: Map::default(),
            version: 0,
            received: 0,
            acknowledged: 0,
        }
    }

    /// Asks for its flags anew, with its next report.
    pub(super) fn forget_flags(&mut self) {
        self.has_flags = false;
        self.version = 0;
    }

    pub(super) fn is_reachable(&self, now: u64, bound: u64) -> bool {
        now <= self.echoed + bound
    }
}

impl Control {
    /// The report to send to `to` at `now`.
    pub fn report(&mut self, to: u16, now: u64) -> Report {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > REMEMBERED {
            self.sent.pop_front();
        }
        let peer = self.peers.get(&to);
        let known = peer.is_some_and(|peer| peer.acknowledged == self.flags.version);
        let settled = digest(&self.settled);
        let agrees = self.stage == Stage::Joining || peer.is_none_or(|p| p.settled == settled);
        Report {
            sequence: self.sequence,
            echo: peer.map_or(0, |peer| peer.received),
            tables: self.tables.version,
            version: self.flags.version,
            acknowledged: peer.map_or(0, |peer| peer.version),
            handed: self.handover.finished().unwrap_or(0),
            settled,
            owners: (!agrees).then(|| self.settled.to_vec()),
            wanted: (!known).then(|| self.wanted()),
        }
    }

    fn wanted(&self) -> Vec<(Address, Wanted)> {
        let services = self.flags.all();
        let wanted = services.map(|(address, buckets)| {
            let guarded = self.flags.is_guarded(&address);
            (
                address,
                Wanted {
                    buckets: buckets.clone(),
                    guarded,
                },
            )
        });
        wanted
            .filter(|(_, wanted)| wanted.guarded || !wanted.buckets.is_empty())
            .collect()
    }

    /// Takes in a report of `from`, whose incarnation is `incarnation`.
    pub fn receive(&mut self, from: u16, incarnation: u64, report: Report) {
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        let reordered = report.sequence <= peer.received;
        if peer.member.node.incarnation != incarnation || reordered {
            return;
        }
        peer.received = report.sequence;
        if let Some(&(_, sent)) = self
            .sent
            .iter()
            .find(|(sequence, _)| *sequence == report.echo)
        {
            peer.echoed = peer.echoed.max(sent);
        }
        peer.tables = report.tables;
        peer.handed = report.handed;
        peer.settled = report.settled;
        if let Some(owners) = report.owners.filter(|_| self.stage == Stage::Joining) {
            self.settled = owners.into();
        }
        peer.acknowledged = report.acknowledged;
        if let Some(wanted) = report.wanted {
            // A sender that goes on sending them has not heard that they are known.
            self.news |= peer.version != report.version || !peer.has_flags;
            peer.wanted = wanted.into_iter().collect();
            peer.version = report.version;
            peer.has_flags = true;
        }
        let known = self
            .peers
            .values()
            .map(|peer| peer.tables)
            .min()
            .unwrap_or(u64::MAX);
        if !self.peers.values().any(|peer| peer.member.dead) {
            self.flags.settle_moves(known);
        }
    }

    /// Notes since when every other balancer goes by the flags wanted here.
    pub(super) fn acknowledge_flags(&mut self, now: u64) {
        let version = self.flags.version;
        let heard = |peer: &Peer| peer.acknowledged == version;
        if self
            .peers
            .values()
            .filter(|peer| !peer.member.dead)
            .all(heard)
        {
            self.flags.acknowledge(now);
        }
        if self.peers.is_empty() {
            self.flags.settle_moves(u64::MAX);
        }
    }

    /// The digest of the owners' set that this balancer works towards.
    #[must_use]
    pub fn target_digest(&self) -> u64 {
        digest(&self.target())
    }
}
