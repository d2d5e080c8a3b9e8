//! The membership part of messages between balancers.

use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::{Delegation, Member};

/// What a balancer claims about another one of its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It is alive.
    Alive,
    /// It did not answer the balancer whose number is `by`: the low 16 bits of its rank.
    Suspected {
        /// Tells independent suspicions from repetitions of the same one.
        by: u16,
    },
    /// It is removed from the list.
    Removed,
}

/// A claim about a balancer of the sender's data centre, in some 17 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The balancer's identity.
    pub address: SocketAddrV4,
    /// The description that the claim is about; see [`Member::incarnation`].
    pub incarnation: u64,
    /// See [`Member::version`].
    pub version: u32,
    /// See [`Member::sighted`].
    pub sighted: bool,
    /// See [`Member::leaving`].
    pub leaving: bool,
    /// The claim.
    pub status: Status,
}

impl Update {
    /// A claim about `member`.
    #[must_use]
    pub const fn new(member: &Member, status: Status) -> Self {
        Update {
            address: member.address,
            incarnation: member.incarnation,
            version: member.version,
            sighted: member.sighted,
            leaving: member.leaving,
            status,
        }
    }

    /// See [`Member::age`].
    #[must_use]
    pub const fn age(&self) -> (u64, u32) {
        (self.incarnation, self.version)
    }
}

/// A step of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Probe {
    /// Asks the receiver for an [`Probe::Ack`] with the same number.
    Ping(u32),
    /// Answers a ping.
    Ack(u32),
    /// Asks the receiver to ping `target`, and to pass on its answer under `number`.
    PingRequest {
        /// The balancer to ping.
        target: SocketAddrV4,
        /// The number of the probe at the requesting balancer.
        number: u32,
    },
}

/// The membership part of a message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// A step of a probe, if the message is one.
    pub probe: Option<Probe>,
    /// Claims about balancers of the sender's data centre.
    pub updates: Vec<Update>,
    /// Representatives of data centres.
    pub delegations: Vec<Delegation>,
    /// Digest of the sender's list. A receiver in the same data centre whose own digest differs pulls
    /// the list.
    pub digest: u64,
    /// Whether the sender asks for the receiver's whole list.
    pub pull: bool,
}

/// A membership message to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Letter {
    /// The receiver.
    pub to: SocketAddrV4,
    /// Its content.
    pub gossip: Gossip,
}
