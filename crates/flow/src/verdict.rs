use acacia_code::Code;
use acacia_wire::{encap::Redirect, flow::Key, packet::Packet};

use crate::snapshot::Service;

/// What to do with a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Send it to a backend server of the packet's service.
    Forward {
        /// Number of the server in [`Service::servers`].
        server: u16,
    },
    /// Redirect it to another balancer.
    Redirect {
        /// Number of the balancer.
        to: u16,
        /// The redirect header to prepend.
        header: Redirect,
    },
    /// Answer that the request was not executed. Used only for an opening packet without data whose
    /// flow was never forwarded.
    Refuse {
        /// Milliseconds after which the caller may retry.
        retry_after: u32,
    },
    /// Drop it; the caller's transport retransmits it.
    Drop {
        /// The reason.
        code: Code,
    },
    /// Reset the flow towards both the caller and its backend server, because the path between them
    /// is broken.
    End {
        /// The flow's server.
        server: u16,
    },
}

/// A short message to a peer, sent without acknowledgement. Losing one costs a redirect or a
/// repeated notice, never a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Notice {
    /// The receiver's pin differs from the pin of an owner later in the chain, which takes
    /// precedence.
    Correct {
        /// The flow.
        key: Key,
        /// Its server.
        server: u16,
    },
    /// The server of a flow whose packets the receiver keeps redirecting, to be cached for
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
    /// A notice to send, with the number of the peer.
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

/// How a packet reached this balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// From the network fabric.
    Ingress,
    /// From another balancer.
    Redirected(Redirect),
}

/// A request to the load-balancing policy to place a new flow.
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

/// The placement that the policy chose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placement {
    /// Place the flow on this server.
    Server(u16),
    /// Refuse the flow.
    Refuse {
        /// Milliseconds after which the caller may retry.
        retry_after: u32,
    },
    /// No server takes new flows.
    Nowhere,
}
