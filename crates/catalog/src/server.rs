//! The backend servers.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

/// Whether a backend server takes new flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes new flows.
    Ready,
    /// It is shutting down: it keeps its flows and must not get new ones.
    Draining,
    /// Its entry can't be read, so it tells nothing of the server.
    Unknown,
}

/// A backend server, as its entry in the store describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its unique name; a restarted server usually has a new one.
    pub id: Arc<str>,
    /// The number by which it recognises datagrams that are meant for it. A server that gets the same
    /// address later has another tag and doesn't answer them.
    pub tag: u64,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// The address on which it receives datagrams.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The number of requests that it processes concurrently.
    pub slots: u16,
    /// Whether it takes new flows.
    pub state: State,
    /// Milliseconds for which it will still be slow after its start.
    pub warmup_ms: u32,
    /// When it started, in milliseconds since the Unix epoch by its own clock. It tells a restart
    /// under the same name, after which the server has lost all its flows.
    pub started_ms: u64,
    /// The store's revision at which its entry was created; 0 if unknown.
    pub created: u64,
}

impl Server {
    /// What an entry tells that can't be read: nothing but its key. Unlike a removal, it is no sign that the
    /// server has left.
    ///
    /// ```
    /// use acacia_catalog::server::{Server, State};
    /// assert_eq!(Server::unreadable("i-07".into()).state, State::Unknown);
    /// ```
    #[must_use]
    pub fn unreadable(id: Arc<str>) -> Self {
        Server {
            id,
            tag: 0,
            service: "".into(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            data_centre: "".into(),
            slots: 0,
            state: State::Unknown,
            warmup_ms: 0,
            started_ms: 0,
            created: 0,
        }
    }
}
