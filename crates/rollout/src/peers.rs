//! The versions that peers have, by their heartbeats.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{Peer, Version};

/// The live peers, with the version that each of them announced last.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_id: BTreeMap<u16, State>,
}

#[derive(Debug)]
struct State {
    data_centre: Arc<str>,
    version: Option<Version>,
}

impl Peers {
    /// Replaces the set of live peers. Those that stay keep their announced versions.
    pub(crate) fn set_live(&mut self, peers: Vec<Peer>) {
        let mut before = std::mem::take(&mut self.by_id);
        for peer in peers {
            let version = before.remove(&peer.id).and_then(|state| state.version);
            let data_centre = peer.data_centre;
            let state = State {
                data_centre,
                version,
            };
            self.by_id.insert(peer.id, state);
        }
    }

    /// Records the version that a peer announced in a heartbeat.
    ///
    /// A delayed, outdated heartbeat causes at most one useless fetch. A heartbeat of a peer that
    /// is not in the set of live peers is ignored: the peer may be dead, and a balancer that has
    /// just started must not wait for a version that only a dead peer has. If the peer is new
    /// instead, its next heartbeat arrives within a second.
    pub(crate) fn heard(&mut self, peer: u16, version: Option<Version>) {
        if let Some(state) = self.by_id.get_mut(&peer) {
            state.version = version;
        }
    }

    /// Returns the highest version that any peer announced, except rejected ones.
    pub(crate) fn highest(&self, rejected: &BTreeSet<Version>) -> Option<Version> {
        let versions = self.by_id.values().filter_map(|state| state.version);
        versions.filter(|version| !rejected.contains(version)).max()
    }

    /// Returns the peers that have `version`: those in `data_centre`, or all if none is there.
    pub(crate) fn holders(&self, version: Version, data_centre: &str) -> Vec<u16> {
        let holders = |local_only: bool| -> Vec<u16> {
            let holds = |state: &State| {
                state.version == Some(version)
                    && (!local_only || *state.data_centre == *data_centre)
            };
            let all = self.by_id.iter().filter(|(_, state)| holds(state));
            all.map(|(id, _)| *id).collect()
        };
        let local = holders(true);
        if local.is_empty() {
            holders(false)
        } else {
            local
        }
    }

    /// Counts the peers in the data centre whose id is lower than `id`.
    pub(crate) fn rank(&self, id: u16, data_centre: &str) -> usize {
        let lower = self.by_id.range(..id);
        lower
            .filter(|(_, state)| *state.data_centre == *data_centre)
            .count()
    }
}
