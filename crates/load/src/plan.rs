use crate::pool::{Pool, Server};

/// Rates of new flows that one traffic thread may let in, in flows a second.
#[derive(Debug, Clone, PartialEq)]
pub struct Rates {
    /// Guaranteed, by index of class.
    pub own: Vec<f64>,
    /// All classes together.
    pub total: f64,
    /// All classes together while trial borrows.
    pub lent: f64,
    /// Demand over what is let in, at least 1; it stretches the times to come back.
    pub pressure: f64,
}

/// How a server stands for new flows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Part of the flows for which it is first choice that go to their second, 0 to 1.
    pub spill: f64,
    /// Left alone: it takes a flow only if every choice is left alone.
    pub ejected: bool,
}

/// What the traffic threads decide by until the next tick. Immutable; the control thread
/// publishes a new one.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Rises with each plan.
    pub number: u64,
    /// Nothing while the capacity is unknown: then all work is let in, since a wrong refusal is
    /// worse than a server's own queue.
    pub rates: Option<Rates>,
    /// By index of server.
    pub standings: Vec<Standing>,
    /// Connections that this thread may open until the next plan, by index of class; nothing where
    /// no limit binds.
    pub connections: Vec<Option<u32>>,
}

impl Plan {
    /// The plan of a balancer that knows nothing: plain shares of the table, nothing refused.
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

    /// How `server` stands; one that the plan doesn't know yet takes flows.
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
