//! What the peers have, by their heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{Peer, Version};

/// The live peers and their versions.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    known: BTreeMap<u16, Known>,
}

#[derive(Debug)]
struct Known {
    data_centre: Arc<str>,
    version: Option<Version>,
}

impl Peers {
    /// Keeps exactly these peers, with what was heard of them.
    pub(crate) fn view(&mut self, peers: Vec<Peer>) {
        let mut before = std::mem::take(&mut self.known);
        for peer in peers {
            let version = before.remove(&peer.id).and_then(|known| known.version);
            let data_centre = peer.data_centre;
            let known = Known {
                data_centre,
                version,
            };
            self.known.insert(peer.id, known);
        }
    }

    /// A peer's heartbeat. An older one that comes late only makes us ask a peer once in vain. One
    /// of a peer that is not in the view counts for nothing: it may have died, and a newborn must
    /// not wait for what a dead peer has. If it is new, its next heartbeat comes within a second.
    pub(crate) fn heard(&mut self, peer: u16, version: Option<Version>) {
        if let Some(known) = self.known.get_mut(&peer) {
            known.version = version;
        }
    }

    /// The highest version that any peer has, but for those that were rejected.
    pub(crate) fn highest(&self, rejected: &BTreeSet<Version>) -> Option<Version> {
        let versions = self.known.values().filter_map(|known| known.version);
        versions.filter(|version| !rejected.contains(version)).max()
    }

    /// The peers that have `version`; if any of them is in `data_centre`, only those.
    pub(crate) fn holders(&self, version: Version, data_centre: &str) -> Vec<u16> {
        let holders = |near: bool| -> Vec<u16> {
            let holds = |known: &Known| {
                known.version == Some(version) && (!near || *known.data_centre == *data_centre)
            };
            let all = self.known.iter().filter(|(_, known)| holds(known));
            all.map(|(id, _)| *id).collect()
        };
        let near = holders(true);
        if near.is_empty() {
            holders(false)
        } else {
            near
        }
    }

    /// How many peers of the data centre have a lower number than `id`.
    pub(crate) fn rank(&self, id: u16, data_centre: &str) -> usize {
        let lower = self.known.range(..id);
        lower
            .filter(|(_, known)| *known.data_centre == *data_centre)
            .count()
    }
}
