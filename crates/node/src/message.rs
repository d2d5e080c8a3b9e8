//! What balancers tell each other over the control connections.

use std::sync::Arc;

use acacia_config::document::{Document, Id};
use acacia_flow::{
    control::{Acknowledgement, Batch, Report},
    snapshot::Address,
    verdict::Notice,
};
use acacia_member::Heartbeat;
use serde::{Deserialize, Serialize};

/// A control message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life; its payload is an encoded [`Payload`].
    Heartbeat(Heartbeat),
    /// Copies of pins for a new owner.
    Batch(Batch),
    /// The answer to a batch.
    Acknowledgement(Acknowledgement),
    /// A pin that the receiver should know.
    Notice(Notice),
    /// Asks for the configuration in force.
    AskConfig,
    /// The configuration in force, if there is one.
    Config(Option<Arc<Document>>),
    /// Asks for the tables in force.
    AskTables,
    /// The tables in force as they stand in the store, if there are any.
    Tables(Option<Arc<str>>),
}

/// What the crates above the membership add to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Payload {
    /// Flags, versions and handovers.
    pub flow: Report,
    /// The configuration in force: its revision, and the change that made it.
    pub config: Option<(u64, Id)>,
    /// Counts under load, once a second.
    pub load: Vec<(Address, acacia_load::report::Report)>,
    /// How many of the sender's last incarnations its pins reach back. A balancer that was suspended
    /// for a moment joins as a new member and is the same owner of flows.
    pub kept: u64,
}

impl Payload {
    /// Encodes the payload for [`Heartbeat::payload`].
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes it; none if a balancer of another version sent it.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
