//! The backend servers.

use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};

/// Whether a backend server takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It is leaving: it keeps its flows and must get no new ones.
    Draining,
}

/// What a backend server says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its name, unique; a server that starts again mostly has a new one.
    pub id: Arc<str>,
    /// The number by which it knows that a datagram is meant for it. Another server that has its
    /// address later keeps silent.
    pub tag: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it takes datagrams.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Whether it takes new flows.
    pub state: State,
    /// For how many milliseconds longer it is slow after its start.
    pub warmup_ms: u32,
    /// When it started, in milliseconds since 1970 by its own clock. A server that starts again
    /// under its name has lost all its flows.
    pub started_ms: u64,
}
