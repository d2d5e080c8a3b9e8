use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{rank::Node, snapshot::Service};

/// Timeouts and rates of the control thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds without an echo from a peer after which it counts as unreachable. With
    /// heartbeats every 500 ms an echo is up to one second old, so two in a row may be lost.
    pub peer_timeout: u64,
    /// Milliseconds without an echo from a peer after which no flow is placed off its base. Shorter
    /// than `flags_timeout`, so that this balancer stops placing flows before a peer that no longer
    /// hears it starts to answer for them.
    pub off_base_timeout: u64,
    /// Milliseconds without an echo from a peer after which the flags are no longer known to be
    /// complete.
    pub flags_timeout: u64,
    /// Milliseconds for which a bucket must be flagged everywhere before flows are placed off its
    /// base. An opening sent to the base before the flag is retransmitted after 1 and 3 s (RFC
    /// 6298) and must still reach the same server.
    pub flag_settle_delay: u64,
    /// Milliseconds after a handover for which former owners keep their pins and are still told of
    /// new ones. Longer than the time between any two balancers' learning of the handover.
    pub handover_grace: u64,
    /// Milliseconds without an iteration of the control thread after which this balancer rejoins.
    /// Shorter than the time after which the membership removes a silent balancer; from then on
    /// other balancers place flows that this one does not know of.
    pub stall_timeout: u64,
    /// Maximum milliseconds for which a joining balancer waits until it may place flows off their
    /// base. Three times `flag_settle_delay`, because that delay restarts when the flags change.
    pub join_timeout: u64,
    /// Bytes per second for copies of pins, to all peers together.
    pub copy_rate: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            peer_timeout: 2_000,
            off_base_timeout: 3_000,
            flags_timeout: 4_000,
            flag_settle_delay: 3_200,
            handover_grace: 10_000,
            stall_timeout: 15_000,
            join_timeout: 10_000,
            copy_rate: 2_000,
        }
    }
}

/// Lifecycle stage of a balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Receives pins; owns no flows yet.
    Joining,
    /// Owns flows.
    Ready,
    /// Owns flows until its pins have been handed over.
    Leaving,
}

/// Membership entry of another balancer. A balancer that has certainly ended is removed: it
/// announced its departure, the platform confirms it, or it was silent for much longer than any
/// network partition lasts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The balancer's process.
    pub node: Node,
    /// Its lifecycle stage.
    pub stage: Stage,
    /// Whether it is suspected dead. It may instead be partitioned and still serving flows, so no
    /// flow is placed off its base until it returns or is removed.
    pub dead: bool,
}

/// The tables in force at this balancer.
#[derive(Debug, Clone, Default)]
pub struct Tables {
    /// Increases with every change of any service.
    pub version: u64,
    /// All services.
    pub services: Vec<Arc<Service>>,
}
