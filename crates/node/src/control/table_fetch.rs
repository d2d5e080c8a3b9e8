//! Tables from peers: whom to ask for newer ones, and when.

use std::{collections::BTreeMap, time::Duration};

use acacia_member::View;

/// How long a peer may take to answer before another one is asked. Tables of a few services take
/// some 20 KB and don't wait for the byte budget.
const PATIENCE: Duration = Duration::from_secs(1);

/// Which tables the peers say they have, and the question that is open.
#[derive(Debug, Default)]
pub struct TableFetcher {
    versions: BTreeMap<u16, u64>,
    own: u64,
    open: Option<(u16, Duration)>,
    last: Option<u16>,
}

impl TableFetcher {
    /// Forgets peers that are no longer heard.
    pub fn saw_view(&mut self, view: &View) {
        self.versions
            .retain(|id, _| view.member(*id).is_some_and(|peer| peer.state.is_heard()));
    }

    /// Notes the version in a peer's heartbeat.
    pub fn heard(&mut self, peer: u16, version: u64) {
        self.versions.insert(peer, version);
    }

    /// The peer has answered, well or not.
    pub fn ended(&mut self, peer: u16) {
        self.open = self.open.filter(|(asked, _)| *asked != peer);
    }

    /// Whether some peer that is heard has newer tables than this balancer.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.versions.values().any(|version| *version > self.own)
    }

    /// The peer to ask now, if any; `own` is the version in force here. Peers take turns, so that
    /// one that claims more than it gives can't keep this balancer from the others.
    pub fn fetch(&mut self, now: Duration, own: u64) -> Option<u16> {
        self.own = own;
        let waits = self.open.is_some_and(|(_, since)| now < since + PATIENCE);
        if waits || !self.is_behind() {
            return None;
        }
        let newest = self.versions.values().max().copied()?;
        let mut holders = self
            .versions
            .iter()
            .filter(|(_, version)| **version == newest);
        let after = |last: u16| holders.clone().find(|(id, _)| **id > last);
        let peer = *self.last.and_then(after).or_else(|| holders.next())?.0;
        self.open = Some((peer, now));
        self.last = Some(peer);
        Some(peer)
    }
}
