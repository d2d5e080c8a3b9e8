use std::collections::BTreeMap;

use acacia_code::Code;

/// Counters of the traffic with one peer, since it was set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerStats {
    /// Frames sent.
    pub sent_frames: u64,
    /// Their bytes, with the length field, without TCP's and IP's headers.
    pub sent_bytes: u64,
    /// Frames received and accepted.
    pub received_frames: u64,
    /// Their bytes, counted likewise.
    pub received_bytes: u64,
    /// Messages dropped because the queue was full.
    pub dropped: u64,
    /// Connections that had gone silent and were replaced.
    pub redials: u64,
}

/// Counters of a mesh.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// By peer.
    pub peers: BTreeMap<u16, PeerStats>,
    /// Frames dropped on arrival, by code.
    pub refused: BTreeMap<Code, u64>,
    /// Received messages dropped because the control thread did not take them.
    pub inbox_full: u64,
    /// Connections that peers and strangers have opened.
    pub connections: acacia_accept::Stats,
}

impl Stats {
    /// What was dropped, refused, closed or replaced, by the name of its metric. Counts of a peer are
    /// gone with it.
    ///
    /// ```
    /// let stats = acacia_peer::Stats { inbox_full: 2, ..Default::default() };
    /// assert_eq!(stats.counts()["control_inbox_full"], 2);
    /// ```
    #[must_use]
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        let sum = |of: fn(&PeerStats) -> u64| self.peers.values().map(of).sum();
        let mut counts = BTreeMap::from(self.connections.closed());
        counts.insert("control_inbox_full", self.inbox_full);
        counts.insert("control_dropped", sum(|peer| peer.dropped));
        counts.insert("control_redials", sum(|peer| peer.redials));
        for (code, count) in &self.refused {
            counts.insert(code.label(), *count);
        }
        counts
    }
}
