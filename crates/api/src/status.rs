//! How a balancer is.

use std::{net::SocketAddr, sync::Arc};

use acacia_config::document::Id;
use serde::{Deserialize, Serialize};

/// A balancer's account of itself. Times are ages in milliseconds, as the clocks of two VMs
/// differ.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: Arc<str>,
    /// Its number among the balancers.
    pub id: u16,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Whether it serves, is starting or is leaving.
    pub phase: Phase,
    /// The revision that it has in force; none if it has none yet.
    pub revision: Option<u64>,
    /// The change that made that revision.
    pub change: Option<Id>,
    /// Whether its bucket tables don't follow that revision yet: new flows still go by an earlier
    /// one, though the revision is known.
    pub behind: bool,
    /// How long the revision has been in force, in milliseconds.
    pub enforced_ms: u64,
    /// How long ago it heard from the store, in milliseconds; none if it never did. It goes on on
    /// those that do not watch the store but hear of changes from their peers.
    pub store_ms: Option<u64>,
    /// The other balancers that it knows.
    pub peers: Vec<Peer>,
    /// What it does for each service.
    pub services: Vec<Service>,
    /// Flows of each backend server through this balancer.
    pub servers: Vec<Server>,
    /// Flows that this balancer remembers by a pin, of all services.
    pub pins: u64,
    /// The data centres whose backend servers get no new flows, as operators evacuate them.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
}

/// Where a balancer stands between its start and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Phase {
    /// It learns what is in force and does not serve yet.
    #[default]
    Starting,
    /// It serves.
    Serving,
    /// It hands over before it stops.
    Leaving,
}

/// A data centre under evacuation, as a balancer knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The store's revision of the operators' mark.
    pub revision: u64,
    /// How long the balancer has had it in force, in milliseconds.
    pub enforced_ms: u64,
}

/// Another balancer, as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its number.
    pub id: u16,
    /// Its name.
    pub name: Arc<str>,
    /// Where it answers operators.
    pub admin: SocketAddr,
    /// How long ago its last heartbeat came, in milliseconds; none if none ever came.
    pub heard_ms: Option<u64>,
    /// The revision that it said it has in force.
    pub revision: Option<u64>,
}

/// What a balancer does for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service.
    pub name: Arc<str>,
    /// Its instance number.
    pub instance: u64,
    /// The version of its bucket table that is in force here.
    pub table: u64,
    /// Flows of it that this balancer remembers; none where it does not count them apart.
    pub flows: Option<u64>,
}

/// What a backend server has through a balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The backend server.
    pub name: Arc<str>,
    /// Flows to it that this balancer remembers.
    pub flows: u64,
}

impl Status {
    /// Flows of all services; none where no service's are counted.
    ///
    /// ```
    /// use acacia_api::{Status, status::Service};
    /// let of = |flows| Service { name: "live".into(), instance: 1, table: 1, flows };
    /// let status = Status { services: vec![of(Some(2)), of(Some(3))], ..Status::default() };
    /// assert_eq!(status.flows(), Some(5));
    /// ```
    #[must_use]
    pub fn flows(&self) -> Option<u64> {
        let counted = self.services.iter().filter_map(|service| service.flows);
        counted.reduce(|sum, flows| sum + flows)
    }

    /// The same account when it is given out `ms` milliseconds after it was made: ages go on.
    ///
    /// ```
    /// use acacia_api::Status;
    /// let status = Status { revision: Some(1), enforced_ms: 5, ..Status::default() }.aged(10);
    /// assert_eq!((status.enforced_ms, status.store_ms), (15, None));
    /// ```
    #[must_use]
    pub fn aged(mut self, ms: u64) -> Self {
        if self.revision.is_some() {
            self.enforced_ms += ms;
        }
        self.store_ms = self.store_ms.map(|age| age + ms);
        for peer in &mut self.peers {
            peer.heard_ms = peer.heard_ms.map(|age| age + ms);
        }
        for evacuation in &mut self.evacuations {
            evacuation.enforced_ms += ms;
        }
        self
    }
}
