use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A balancer's identity and its address for control traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The balancer's id, unique in the fleet.
    pub id: u16,
    /// Its control address.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: Arc<str>,
}

/// A balancer's phase, as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It serves traffic, but owns no flows yet.
    Joining,
    /// It may own flows.
    Ready,
    /// It is handing its flows over and will stop.
    Leaving,
}

/// The last heartbeat that the sender accepted from the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's incarnation in that heartbeat.
    pub incarnation: u64,
    /// That heartbeat's number.
    pub number: u64,
}

/// Contact data for a peer that may not know the sender yet; omitted once the peer has acknowledged
/// a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intro {
    /// The sender's contact data.
    pub sender: Contact,
    /// The other members that the sender knows and doesn't consider dead. The platform's list lags
    /// and may lack them.
    pub others: Vec<Contact>,
}

/// A heartbeat to one peer. The sender's id and incarnation travel in the frame's envelope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Increases with every round of heartbeats within the sender's incarnation.
    pub number: u64,
    /// The sender's phase.
    pub phase: Phase,
    /// The last heartbeat that the sender accepted from the receiver.
    pub echo: Option<Echo>,
    /// Members that the sender doesn't hear and asks the receiver about. Usually empty, so this
    /// costs less than sending the whole list of heard members in every heartbeat.
    pub ask: Vec<u16>,
    /// Of the members that the receiver asked about, those that the sender hears.
    pub hear: Vec<u16>,
    /// Milliseconds between the sender's heartbeats. The receiver can't derive it: the interval
    /// depends on the number of heard members, and the receiver's own view may have fewer.
    pub interval: u32,
    /// Asks the receiver to answer with a heartbeat immediately.
    pub prompt: bool,
    /// The revision of the configuration in force at the sender.
    pub revision: u64,
    /// The version of the tables in force at the sender.
    pub table: u64,
    /// Present until the receiver has acknowledged a heartbeat, and again after a restart of either
    /// side.
    pub intro: Option<Intro>,
    /// Data of other crates; opaque here.
    pub payload: Vec<u8>,
}
