use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Where a balancer is reached for control traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The balancer's number, unique in the fleet.
    pub id: u16,
    /// Its control address.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: Arc<str>,
}

/// What a balancer says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It serves, but holds no flows for others yet.
    Joining,
    /// It may own flows.
    Ready,
    /// It is handing over and will end.
    Leaving,
}

/// The last heartbeat that the sender has from the receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's incarnation at that time.
    pub incarnation: u64,
    /// That heartbeat's number.
    pub number: u64,
}

/// What two balancers that don't know each other yet exchange; left out once acknowledged.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intro {
    /// The sender.
    pub sender: Contact,
    /// The other members it knows and doesn't hold for dead: the platform's list lags.
    pub others: Vec<Contact>,
}

/// A heartbeat to one peer. The sender's id and incarnation travel in the frame's envelope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Rises with every round of the sender's incarnation.
    pub number: u64,
    /// What the sender says of itself.
    pub phase: Phase,
    /// What the sender last heard from the receiver.
    pub echo: Option<Echo>,
    /// Members that the sender doesn't hear and asks the receiver about. Usually empty: hence a
    /// question and its answer instead of the whole list in every heartbeat.
    pub ask: Vec<u16>,
    /// Those of the members the receiver asked about that the sender itself hears.
    pub hear: Vec<u16>,
    /// Milliseconds between the sender's heartbeats. In a view of another size the receiver would
    /// expect them more often than they come.
    pub interval: u32,
    /// Asks the receiver for a heartbeat at once.
    pub prompt: bool,
    /// The revision of the configuration that the sender has in force.
    pub revision: u64,
    /// The version of the tables that the sender has in force.
    pub table: u64,
    /// Present until the receiver has acknowledged a heartbeat that had it.
    pub intro: Option<Intro>,
    /// Of other crates; not looked at here.
    pub payload: Vec<u8>,
}
