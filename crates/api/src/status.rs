//! The state of a balancer.

use std::{net::SocketAddr, sync::Arc};

use acacia_config::document::Id;
use serde::{Deserialize, Serialize};

/// The state of a balancer, as it reports it. Times are ages in milliseconds, because the clocks of
/// two VMs differ.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: Arc<str>,
    /// Its id, unique among the balancers.
    pub id: u16,
    /// The data centre that it runs in.
    pub data_centre: Arc<str>,
    /// Whether it is starting, serving or leaving.
    pub phase: Phase,
    /// The revision that it has in force; `None` if it has none yet.
    pub revision: Option<u64>,
    /// The change that made that revision.
    pub change: Option<Id>,
    /// Whether its bucket tables are still those of an earlier revision, so that new flows are
    /// assigned by that one.
    pub behind: bool,
    /// How long the revision has been in force, in milliseconds.
    pub enforced_ms: u64,
    /// How long ago it last heard from the store, in milliseconds; `None` if it never did. The age
    /// keeps growing on balancers that do not watch the store but learn of changes from their
    /// peers.
    pub store_ms: Option<u64>,
    /// The other balancers that it knows.
    pub peers: Vec<Peer>,
    /// The state of each service on this balancer.
    pub services: Vec<Service>,
    /// The flows of each backend server that this balancer remembers.
    pub servers: Vec<Server>,
    /// Number of flows of all services that this balancer remembers by a pin.
    pub pins: u64,
    /// The data centres whose backend servers get no new flows because operators evacuate them.
    #[serde(default)]
    pub evacuations: Vec<Evacuation>,
}

/// The phase of a balancer's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Phase {
    /// It learns what configuration is in force and does not serve yet.
    #[default]
    Starting,
    /// It serves.
    Serving,
    /// It hands over to the other balancers before it stops.
    Leaving,
}

/// A data centre under evacuation, as known to a balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The store's revision of the key that orders the evacuation.
    pub revision: u64,
    /// How long the balancer has had the evacuation in force, in milliseconds.
    pub enforced_ms: u64,
}

/// Another balancer, as this one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Its id.
    pub id: u16,
    /// Its name.
    pub name: Arc<str>,
    /// The address on which it answers operators.
    pub admin: SocketAddr,
    /// How long ago its last heartbeat arrived, in milliseconds; `None` if none ever did.
    pub heard_ms: Option<u64>,
    /// The revision that it has in force, by its own account; `None` if none is known.
    pub revision: Option<u64>,
}

/// The state of a service on a balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Its instance number.
    pub instance: u64,
    /// The version of its bucket table that is in force on this balancer.
    pub table: u64,
    /// Number of its flows that this balancer remembers; `None` if they are not counted by service.
    pub flows: Option<u64>,
}

/// The flows of a backend server on a balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// The backend server's name.
    pub name: Arc<str>,
    /// Number of its flows that this balancer remembers.
    pub flows: u64,
}

impl Status {
    /// Number of flows of all services; `None` if they are counted for no service.
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

    /// The same state `ms` milliseconds later: adds this time to all ages.
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
