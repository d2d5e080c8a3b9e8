//! Membership of the balancers: a complete list of the own data centre, and a few representatives of
//! each other one.
//!
//! No balancer keeps a list of the whole fleet. Within a data centre, [`Group`] detects failures by
//! probes whose cost per balancer is constant (Das, Gupta and Motivala, "SWIM", 2002), with the
//! suspicion and self-awareness of Dadgar, Phillips and Currey, "Lifeguard", 2018. Between data centres,
//! representatives exchange the lists of representatives ([`Delegation`]).

mod delegation;
mod gossip;
mod group;
mod list;
mod news;
mod peak;
mod suspicion;

use std::{net::SocketAddrV4, sync::Arc};

use acacia_wire::flow::mix;
use serde::{Deserialize, Serialize};

pub use delegation::{Delegation, REPRESENTATIVES};
pub use gossip::{Gossip, Letter, Probe, Status, Update};
pub use group::{Change, Group, ROUND};
pub use list::Members;
pub use peak::Peak;

/// A balancer's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its address for control messages, which is also its identity.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Increases with every start of its process.
    pub incarnation: u64,
    /// Increases within an incarnation whenever the balancer changes its description or refutes a
    /// suspicion.
    pub version: u32,
    /// Whether the store answered its latest call.
    pub sighted: bool,
    /// Whether it is leaving, and should neither read the store for others nor relay messages.
    pub leaving: bool,
}

impl Member {
    /// The order of descriptions of one balancer: the later one is greater.
    #[must_use]
    pub const fn age(&self) -> (u64, u32) {
        (self.incarnation, self.version)
    }
}

/// A balancer's rank; the highest comes first. Balancers with the same list agree on the order, and a
/// member that joins or leaves doesn't change the order of the others (rendezvous hashing).
#[must_use]
pub fn rank(address: SocketAddrV4) -> u64 {
    mix(u64::from(address.ip().to_bits()) << 16 | u64::from(address.port()))
}
