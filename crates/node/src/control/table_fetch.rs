//! Fetches newer tables from peers: chooses the peer to request them from, and when.

use std::{collections::BTreeMap, time::Duration};

use acacia_member::View;

/// Time that a peer has to answer before another one is asked. Tables of a few services take some
/// 20 KB and don't wait for the byte budget.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The versions of the tables that peers report, and the pending request.
#[derive(Debug, Default)]
pub struct Fetcher {
    versions: BTreeMap<u16, u64>,
    own: u64,
    pending: Option<(u16, Duration)>,
    last: Option<u16>,
}

impl Fetcher {
    /// Removes peers that are no longer heard.
    pub fn saw_view(&mut self, view: &View) {
        self.versions
            .retain(|id, _| view.member(*id).is_some_and(|peer| peer.state.is_heard()));
    }

    /// Records the version in a peer's heartbeat.
    pub fn heard(&mut self, peer: u16, version: u64) {
        self.versions.insert(peer, version);
    }

    /// Ends the pending request to this peer, whether or not it returned tables.
    pub fn ended(&mut self, peer: u16) {
        self.pending = self.pending.filter(|(asked, _)| *asked != peer);
    }

    /// Returns whether any peer that is heard has newer tables than this balancer.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.versions.values().any(|version| *version > self.own)
    }

    /// Returns the peer to request tables from now, if any, and records the request as pending.
    /// `own` is the version in force here. Peers take turns, so that one that reports a version but
    /// doesn't deliver it can't keep this balancer from asking the others.
    pub fn fetch(&mut self, now: Duration, own: u64) -> Option<u16> {
        self.own = own;
        let is_pending = self
            .pending
            .is_some_and(|(_, since)| now < since + REQUEST_TIMEOUT);
        if is_pending || !self.is_behind() {
            return None;
        }
        let newest = self.versions.values().max().copied()?;
        let mut holders = self
            .versions
            .iter()
            .filter(|(_, version)| **version == newest);
        let next_after = |last: u16| holders.clone().find(|(id, _)| **id > last);
        let peer = *self.last.and_then(next_after).or_else(|| holders.next())?.0;
        self.pending = Some((peer, now));
        self.last = Some(peer);
        Some(peer)
    }
}
