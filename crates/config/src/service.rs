use std::{net::IpAddr, sync::Arc};

use crate::{Mark, Objective};

/// A service: an address and port that callers use, and its share of the balancers' capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// The address that callers use.
    pub address: IpAddr,
    /// The port that callers use.
    pub port: u16,
    /// The transport protocol.
    pub protocol: Protocol,
    /// Its guaranteed share of capacity, in percent. The shares of all services add up to at most
    /// 100; the unused capacity of one service is lent to the others.
    pub share: u8,
    /// The mark of callers that belong to no customer.
    pub callers: Mark,
    /// The limit of each of its backend servers that has no limit of its own.
    pub limit: Limit,
    /// The service-level objective, for the report on service-level burn.
    pub objective: Option<Objective>,
}

/// The transport protocol of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// The packets show when a flow begins and ends.
    Tcp,
    /// The packets do not show when a flow begins or ends.
    Udp,
}

impl Protocol {
    /// The name in the configuration.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Protocol::Tcp => "tcp",
            Protocol::Udp => "udp",
        }
    }
}

/// How much a backend server handles at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Requests that it processes at once.
    pub slots: u16,
    /// Connections that it holds open.
    pub connections: u32,
}

impl Limit {
    /// The limit of the hosts in the current deployments.
    pub const DEFAULT: Limit = Limit {
        slots: 2,
        connections: 2000,
    };
}

impl Service {
    /// Creates a TCP service whose callers are trial callers unless they belong to a paying
    /// customer.
    #[must_use]
    pub fn new(name: &str, address: impl Into<IpAddr>, port: u16, share: u8) -> Self {
        Service {
            name: name.into(),
            address: address.into(),
            port,
            protocol: Protocol::Tcp,
            share,
            callers: Mark::Trial,
            limit: Limit::DEFAULT,
            objective: None,
        }
    }

    /// Sets the protocol.
    #[must_use]
    pub fn protocol(mut self, protocol: Protocol) -> Self {
        self.protocol = protocol;
        self
    }

    /// Sets the mark of callers that belong to no customer.
    #[must_use]
    pub fn callers(mut self, mark: Mark) -> Self {
        self.callers = mark;
        self
    }

    /// Sets the limit of each backend server.
    #[must_use]
    pub fn limit(mut self, slots: u16, connections: u32) -> Self {
        self.limit = Limit { slots, connections };
        self
    }

    /// Sets the service-level objective.
    #[must_use]
    pub fn objective(mut self, objective: Objective) -> Self {
        self.objective = Some(objective);
        self
    }

    /// Whether both services have the same address, port and protocol.
    #[must_use]
    pub fn has_same_endpoint(&self, other: &Service) -> bool {
        let endpoint = |s: &Service| (s.address, s.port, s.protocol);
        endpoint(self) == endpoint(other)
    }
}
