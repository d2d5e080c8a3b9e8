use crate::pool::{Pool, Server};

/// Rates at which one traffic thread may admit new flows, in flows per second.
#[derive(Debug, Clone, PartialEq)]
pub struct Rates {
    /// Guaranteed rates, by index of class.
    pub own: Vec<f64>,
    /// Rate of all classes together.
    pub total: f64,
    /// Rate of all classes together up to which trial callers may borrow while paying callers are
    /// active.
    pub lent: f64,
    /// Ratio of demand to admitted flows, at least 1; retry times of refused callers grow with it.
    pub pressure: f64,
}

/// How a server is used for new flows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Fraction of the flows with this server as first choice that go to their second choice.
    pub spill: f64,
    /// Whether the server is ejected; it then gets a flow only if every choice is ejected.
    pub ejected: bool,
}

/// Snapshot by which the traffic threads decide until the next tick. It is immutable; the control
/// thread publishes a new one.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Number of the plan, which increases with each one.
    pub number: u64,
    /// Admission rates, or `None` while the capacity is unknown. All flows are then admitted, since
    /// a wrong refusal is worse than a queue at a server.
    pub rates: Option<Rates>,
    /// Use of each server, by index of server.
    pub standings: Vec<Standing>,
    /// Number of connections that a thread may open until the next plan, by index of class; `None`
    /// for a class without a limit.
    pub connections: Vec<Option<u32>>,
}

impl Plan {
    /// Creates the plan of a balancer without measurements: flows go to their first choice, and none
    /// is refused.
    #[must_use]
    pub fn unrestricted(pool: &Pool) -> Self {
        Plan {
            number: 0,
            rates: None,
            standings: vec![
                Standing {
                    spill: 0.0,
                    ejected: false
                };
                pool.hosts.len()
            ],
            connections: vec![None; pool.classes.len()],
        }
    }

    /// Returns how `server` is used; one that isn't in the plan yet gets flows.
    #[must_use]
    pub fn standing(&self, server: Server) -> Standing {
        self.standings
            .get(server.index())
            .copied()
            .unwrap_or(Standing {
                spill: 0.0,
                ejected: false,
            })
    }
}
