use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{rank::Node, snapshot::Service};

/// Times and budgets of the control thread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Milliseconds without an echo from a peer after which it is not asked any more. Echoes are
    /// up to one second old with heartbeats of half a second, so two in a row may be lost.
    pub peer_timeout: u64,
    /// Milliseconds without an echo from a peer after which no flow is placed off its base. Shorter
    /// than `flags_timeout`: a peer that stops hearing this balancer must not answer for its flows before
    /// this balancer has stopped.
    pub off_base_timeout: u64,
    /// Milliseconds without an echo from a peer after which flags are no longer known to be
    /// complete.
    pub flags_timeout: u64,
    /// Milliseconds for which a bucket is flagged everywhere before flows are placed off its base.
    /// An opening that was sent to the base before the flag is resent after 1 and 3 s (RFC 6298),
    /// and must still meet the same server.
    pub flag_settle_delay: u64,
    /// Milliseconds for which former owners keep their pins and are still told of new ones after
    /// a handover: longer than any two balancers' views of it lie apart.
    pub handover_grace: u64,
    /// Milliseconds without a turn of the control thread after which this balancer joins anew.
    /// Shorter than the time after which the membership takes a silent balancer for gone: from
    /// then on others place flows that this one has not heard of.
    pub stall_timeout: u64,
    /// Milliseconds for which one that joins waits until it may place flows off their base. Three
    /// times `flag_settle_delay`: flags that change again and again start it anew.
    pub join_timeout: u64,
    /// Bytes a second for copies of pins, to all peers together.
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

/// Where a balancer is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Takes over pins; owns no flows.
    Joining,
    /// Owns flows.
    Ready,
    /// Owns flows until its pins are handed over.
    Leaving,
}

/// What the membership knows of another balancer. One that is gone for certain (it said so, or
/// the platform confirms it, or it was silent for much longer than any cut lasts) is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Which process.
    pub node: Node,
    /// Where it is in its life.
    pub stage: Stage,
    /// Whether it is taken for dead. It may as well be cut off and serving flows, so that nothing
    /// is placed off base until it is back or gone.
    pub dead: bool,
}

/// The tables in force at this balancer.
#[derive(Debug, Clone, Default)]
pub struct Tables {
    /// Rises with every change of any service.
    pub version: u64,
    /// All services.
    pub services: Vec<Arc<Service>>,
}
