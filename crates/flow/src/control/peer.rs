use acacia_wire::collections::Map;
use serde::{Deserialize, Serialize};

use super::{Control, MAX_SENT_REPORTS, Member, Stage};
use crate::{
    bitmap::Bitmap,
    rank::{Node, digest},
    snapshot::Address,
};

/// The flags that a balancer requests for one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// Buckets in which it may hold pins.
    pub buckets: Bitmap,
    /// Whether openings go through the owners in every bucket.
    pub guarded: bool,
}

/// What one balancer tells another with each heartbeat. About 20 bytes without the flags, which are
/// sent only until they are acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Increases with every report of the sender.
    pub sequence: u32,
    /// Sequence number of the latest report that the sender has received from the receiver. Proves
    /// that the two currently reach each other; the arrival of a report alone does not, because it
    /// may have waited in a socket while the receiver was suspended.
    pub echo: u32,
    /// Version of the sender's tables.
    pub tables: u64,
    /// Version of the flags that the sender requests.
    pub version: u32,
    /// Version of the receiver's flags that the sender uses.
    pub acknowledged: u32,
    /// Identifies the owner sets between which the sender has completed its handover; 0 if none.
    pub handed: u64,
    /// Digest of the sender's settled owner set, whose handover is complete.
    pub settled: u64,
    /// The settled owner set itself, unless the receiver uses the same one. A joining balancer has
    /// no other way to learn it.
    pub owners: Option<Vec<Node>>,
    /// The flags of `version`, unless the receiver has acknowledged them.
    pub wanted: Option<Vec<(Address, Wanted)>>,
}

/// What this balancer knows of another one.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    /// When this balancer sent the latest report that the peer has echoed.
    pub(super) echoed_at: u64,
    pub(super) tables: u64,
    pub(super) handed: u64,
    pub(super) settled: u64,
    /// Whether the flags it requests are known.
    pub(super) has_flags: bool,
    /// Whether it was seen in [`Stage::Joining`], during which it received all its pins.
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
            echoed_at: 0,
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

    /// Discards the peer's flags, so that it sends them again with its next report.
    pub(super) fn forget_flags(&mut self) {
        self.has_flags = false;
        self.version = 0;
    }

    pub(super) fn is_reachable(&self, now: u64, timeout: u64) -> bool {
        now <= self.echoed_at + timeout
    }
}

impl Control {
    /// Creates the report to send to balancer `to` at `now`.
    pub fn report(&mut self, to: u16, now: u64) -> Report {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        if self.sent.len() > MAX_SENT_REPORTS {
            self.sent.pop_front();
        }
        let peer = self.peers.get(&to);
        let are_flags_known = peer.is_some_and(|peer| peer.acknowledged == self.flags.version);
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
            wanted: (!are_flags_known).then(|| self.wanted()),
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

    /// Processes a report from balancer `from` with incarnation `incarnation`.
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
            peer.echoed_at = peer.echoed_at.max(sent);
        }
        peer.tables = report.tables;
        peer.handed = report.handed;
        peer.settled = report.settled;
        if let Some(owners) = report.owners.filter(|_| self.stage == Stage::Joining) {
            self.settled = owners.into();
        }
        peer.acknowledged = report.acknowledged;
        if let Some(wanted) = report.wanted {
            // A sender that keeps sending its flags has not received the acknowledgement.
            self.report_pending |= peer.version != report.version || !peer.has_flags;
            peer.wanted = wanted.into_iter().collect();
            peer.version = report.version;
            peer.has_flags = true;
        }
        let oldest_tables = self
            .peers
            .values()
            .map(|peer| peer.tables)
            .min()
            .unwrap_or(u64::MAX);
        if !self.peers.values().any(|peer| peer.member.dead) {
            self.flags.clear_moves(oldest_tables);
        }
    }

    /// Records that every other balancer uses the flags requested here, once all have acknowledged
    /// them.
    pub(super) fn acknowledge_flags(&mut self, now: u64) {
        let version = self.flags.version;
        let has_acknowledged = |peer: &Peer| peer.acknowledged == version;
        if self
            .peers
            .values()
            .filter(|peer| !peer.member.dead)
            .all(has_acknowledged)
        {
            self.flags.acknowledge(now);
        }
        if self.peers.is_empty() {
            self.flags.clear_moves(u64::MAX);
        }
    }

    /// Digest of the target owner set.
    #[must_use]
    pub fn target_digest(&self) -> u64 {
        digest(&self.target())
    }
}
