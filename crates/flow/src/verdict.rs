use acacia_code::Code;
use acacia_wire::{encap::Redirect, flow::Key, packet::Packet};

use crate::snapshot::Service;

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send it to this backend server of the packet's service.
    Forward {
        /// Number of the server in [`Service::servers`].
        server: u16,
    },
    /// Hand it to another balancer.
    Redirect {
        /// The balancer.
        to: u16,
        /// The header to put before it.
        header: Redirect,
    },
    /// Answer that the request was not run. Said only of an opening packet without data whose
    /// flow was never forwarded.
    Refuse {
        /// When the caller may come back, in milliseconds.
        retry_after: u32,
    },
    /// Drop it; the caller's transport sends it again.
    Drop {
        /// Why.
        code: Code,
    },
    /// Reset the flow towards the caller and towards its backend server: its path is lost.
    End {
        /// The flow's server.
        server: u16,
    },
}

/// A short message to a peer. Losing one costs a redirect or a repetition, never a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Notice {
    /// The receiver's pin of the flow differs from that of an owner after it in the chain, which
    /// decides.
    Correct {
        /// The flow.
        key: Key,
        /// Its server.
        server: u16,
    },
    /// The receiver keeps redirecting packets of this flow: its server, to be remembered for
    /// [`crate::pin::HINT_TTL`].
    Hint {
        /// The flow.
        key: Key,
        /// Its server.
        server: u16,
    },
}

/// The decision for one packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Verdict {
    /// What to do with the packet.
    pub action: Action,
    /// What to tell a peer.
    pub notice: Option<(u16, Notice)>,
}

impl From<Action> for Verdict {
    fn from(action: Action) -> Self {
        Verdict {
            action,
            notice: None,
        }
    }
}

/// How a packet came to this balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// From the fabric.
    Ingress,
    /// From another balancer.
    Redirected(Redirect),
}

/// A question to the load-balancing policy: where to place a new flow.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The service.
    pub service: &'a Service,
    /// The flow's bucket.
    pub bucket: usize,
    /// The flow's hash.
    pub hash: u64,
    /// The packet that opens the flow.
    pub packet: &'a Packet,
    /// Whether a server other than the base may be chosen.
    pub off_base_allowed: bool,
    /// Whether the flow may be refused.
    pub refusable: bool,
}

/// The policy's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Place the flow on this server.
    Server(u16),
    /// Refuse it.
    Refuse {
        /// When the caller may come back, in milliseconds.
        retry_after: u32,
    },
    /// No server takes flows.
    Nowhere,
}
