use std::{net::IpAddr, sync::Arc};

use crate::{Mark, Objective};

/// A service: an address and port that callers use, and its share of the balancers' capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: Arc<str>,
    /// The address that callers use.
    pub address: IpAddr,
    /// The port that callers use.
    pub port: u16,
    /// How its flows begin and end.
    pub protocol: Protocol,
    /// Its guaranteed share of capacity, in percent. All shares together stay within 100; what
    /// one leaves idle is lent to the others.
    pub share: u8,
    /// What callers of no customer count as.
    pub callers: Mark,
    /// What each of its backend servers takes, unless the server says otherwise.
    pub limit: Limit,
    /// What its callers are promised, for the report on service-level burn.
    pub objective: Option<Objective>,
}

/// The transport protocol of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// Flows open and close visibly.
    Tcp,
    /// Nothing marks the first or the last packet of a flow.
    Udp,
}

impl Protocol {
    /// Its name in the configuration.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Protocol::Tcp => "tcp",
            Protocol::Udp => "udp",
        }
    }
}

/// What a backend server takes at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Requests that it works on at once.
    pub slots: u16,
    /// Connections that it holds open.
    pub connections: u32,
}

impl Limit {
    /// What the hosts of today take.
    pub const DEFAULT: Limit = Limit {
        slots: 2,
        connections: 2000,
    };
}

impl Service {
    /// A TCP service whose callers are on trial unless they belong to a paying customer.
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

    /// The same with another protocol.
    #[must_use]
    pub fn protocol(mut self, protocol: Protocol) -> Self {
        self.protocol = protocol;
        self
    }

    /// The same with another mark for callers of no customer.
    #[must_use]
    pub fn callers(mut self, mark: Mark) -> Self {
        self.callers = mark;
        self
    }

    /// The same with another limit for each backend server.
    #[must_use]
    pub fn limit(mut self, slots: u16, connections: u32) -> Self {
        self.limit = Limit { slots, connections };
        self
    }

    /// The same with an objective.
    #[must_use]
    pub fn objective(mut self, objective: Objective) -> Self {
        self.objective = Some(objective);
        self
    }

    /// Whether both are met at the same address and port with the same protocol.
    #[must_use]
    pub fn has_same_endpoint(&self, other: &Service) -> bool {
        let front = |s: &Service| (s.address, s.port, s.protocol);
        front(self) == front(other)
    }
}
