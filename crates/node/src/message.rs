//! Messages that balancers exchange over control connections.

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
    /// A heartbeat, whose payload is an encoded [`Payload`].
    Heartbeat(Heartbeat),
    /// Copies of pins, sent to a new owner.
    Batch(Batch),
    /// The answer to a batch.
    Acknowledgement(Acknowledgement),
    /// A correction or hint: the server of one flow that the receiver should know.
    Notice(Notice),
    /// Requests the configuration in force.
    AskConfig,
    /// The configuration in force, if there is one.
    Config(Option<Arc<Document>>),
    /// Requests the tables in force.
    AskTables,
    /// The tables in force, encoded as in the store, if there are any.
    Tables(Option<Arc<str>>),
}

/// The part of a heartbeat that the layers above the membership protocol fill in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Payload {
    /// Flags, versions and handovers of flow control.
    pub flow: Report,
    /// The configuration in force: its revision and the id of the change that created it.
    pub config: Option<(u64, Id)>,
    /// Load reports of services, sent once a second.
    pub load: Vec<(Address, acacia_load::report::Report)>,
    /// How many incarnations ago the sender started to collect the pins that it holds. A balancer
    /// that was suspended briefly rejoins with a new incarnation, but keeps its pins and remains
    /// the owner of its flows.
    pub kept: u64,
}

impl Payload {
    /// Encodes the payload for [`Heartbeat::payload`].
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a payload; `None` if the sender runs another version with a different format.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
