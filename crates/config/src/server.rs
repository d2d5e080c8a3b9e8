use std::{net::SocketAddr, sync::Arc};

use serde::Serialize;

use crate::{Limit, Service};

/// A backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its name, unique among all backend servers.
    pub name: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it receives encapsulated packets.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Whether it gets new flows.
    pub state: State,
    /// Its own limit; `None` for that of the service.
    pub limit: Option<Limit>,
}

/// Whether a backend server gets new flows. A server that has been removed from the configuration
/// gets no packets at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub enum State {
    /// It gets new flows.
    #[default]
    Active,
    /// It gets no new flows but keeps its existing ones.
    Drain {
        /// When its remaining flows are ended, in seconds of Unix time; `None` keeps them until the
        /// server is removed.
        deadline: Option<u64>,
    },
}

impl Server {
    /// Creates an active server with the limit of its service.
    #[must_use]
    pub fn new(name: &str, service: &str, address: SocketAddr, data_centre: &str) -> Self {
        Server {
            name: name.into(),
            service: service.into(),
            address,
            data_centre: data_centre.into(),
            state: State::Active,
            limit: None,
        }
    }

    /// Sets a limit of its own.
    #[must_use]
    pub fn limit(mut self, slots: u16, connections: u32) -> Self {
        self.limit = Some(Limit { slots, connections });
        self
    }

    /// Its effective limit: its own, or else that of the service.
    ///
    /// ```
    /// use acacia_config::{Limit, Server, Service};
    /// let service = Service::new("live", [10, 0, 0, 1], 443, 50).limit(3, 1000);
    /// let server = Server::new("old-1", "live", "10.1.0.1:6080".parse()?, "lima-a");
    /// assert_eq!(server.limit_in(&service).slots, 3);
    /// assert_eq!(server.limit(1, 500).limit_in(&service).slots, 1);
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    #[must_use]
    pub fn limit_in(&self, service: &Service) -> Limit {
        self.limit.unwrap_or(service.limit)
    }

    /// Whether it gets new flows.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.state == State::Active
    }
}

impl State {
    /// Whether the server is draining and its deadline has passed at `now`, in seconds of Unix
    /// time.
    ///
    /// ```
    /// use acacia_config::State;
    /// let state = State::Drain { deadline: Some(100) };
    /// assert!(!state.is_gone(99));
    /// assert!(state.is_gone(100));
    /// ```
    #[must_use]
    pub fn is_gone(self, now: u64) -> bool {
        matches!(self, State::Drain { deadline: Some(deadline) } if deadline <= now)
    }
}
