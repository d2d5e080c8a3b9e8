use std::collections::BTreeMap;

use acacia_code::Code;

/// Counters of one peer since it was set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Frames sent.
    pub sent_frames: u64,
    /// Bytes of these frames with their length fields, without TCP and IP headers.
    pub sent_bytes: u64,
    /// Frames received and accepted.
    pub received_frames: u64,
    /// Bytes of these frames, counted like `sent_bytes`.
    pub received_bytes: u64,
    /// Messages dropped because the peer's queue was full or they were too large for a frame.
    pub dropped: u64,
    /// Connections replaced because they had gone silent.
    pub redials: u64,
}

/// Counters of a mesh.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Stats {
    /// Counters of each peer, by its id.
    pub peers: BTreeMap<u16, Traffic>,
    /// Received frames that were dropped, by result code.
    pub refused: BTreeMap<Code, u64>,
    /// Received messages dropped because the control thread had not taken earlier ones yet.
    pub inbox_full: u64,
    /// Counters of the accepted connections.
    pub connections: acacia_accept::Stats,
}

impl Stats {
    /// The counters of dropped messages, refused frames, and closed or replaced connections, by the
    /// name of their metric. The counters of a peer are removed with the peer.
    ///
    /// ```
    /// let stats = acacia_peer::Stats { inbox_full: 2, ..Default::default() };
    /// assert_eq!(stats.counts()["control_inbox_full"], 2);
    /// ```
    #[must_use]
    pub fn counts(&self) -> BTreeMap<&'static str, u64> {
        let sum = |of: fn(&Traffic) -> u64| self.peers.values().map(of).sum();
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
