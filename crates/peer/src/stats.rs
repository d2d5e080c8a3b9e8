use std::collections::BTreeMap;

use acacia_code::Code;

/// Counters of the traffic with one peer, since it was set.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
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
    pub peers: BTreeMap<u16, Traffic>,
    /// Frames dropped on arrival, by code.
    pub refused: BTreeMap<Code, u64>,
    /// Received messages dropped because the control thread did not take them.
    pub inbox_full: u64,
    /// Connections that peers and strangers have opened.
    pub connections: acacia_accept::Stats,
}
