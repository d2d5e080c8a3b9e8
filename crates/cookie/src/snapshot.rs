//! The routes and servers as traffic threads see them: immutable, replaced as a whole.

use std::{net::SocketAddrV4, sync::Arc};

use acacia_catalog::route::Front;
use acacia_load::{delay::Idle, overload::LatencyObjective};
use acacia_wire::collections::Map;

use crate::{cold::Ration, cookie::Cookie};

/// What a balancer does with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It takes new flows.
    Ready,
    /// Its entry went missing a moment ago without an announced departure. Entries lapse while the
    /// store is away and come back after it, so such a server takes new flows where no other is
    /// ready.
    Missing,
    /// It announced that it leaves: it keeps its flows.
    Draining,
    /// Its data centre is under evacuation: it keeps its flows, and gets no new ones even where no
    /// other server is left.
    Evacuated,
    /// Its entry is missing for good, or its address has passed to another server, but nothing
    /// shows yet that it no longer answers. It keeps its flows.
    Lost,
    /// It has left, or does not answer: its flows are ended.
    Gone,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its name.
    pub id: Arc<str>,
    /// A number that names it on every balancer, see [`crate::cookie::hash`].
    pub hash: u64,
    /// The cookie of its new flows.
    pub cookie: Cookie,
    /// The number by which it knows that a datagram is meant for it.
    pub tag: u64,
    /// Where it takes datagrams.
    pub address: SocketAddrV4,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// What it is good for.
    pub standing: Standing,
    /// Requests that it works on at once.
    pub slots: u16,
    /// How long its answers take when nothing waits; nothing before it is measured.
    pub idle: Option<Idle>,
    /// Whether it is known to fail its requests.
    pub failing: bool,
    /// Its part of new flows at the mean speed, in proportion to the others of its service.
    pub weight: f64,
}

/// The backend servers of a service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Pool {
    /// The service's name.
    pub service: Arc<str>,
    /// Positions of those that take new flows.
    pub open: Vec<u32>,
    /// Positions of those that would, but have just started and are limited by `ration`.
    pub cold: Vec<u32>,
    /// Requests that all that take new flows work on at once.
    pub slots: u32,
    /// What the fleet may send to each cold server; none where nothing may be sent to them.
    pub ration: Option<Ration>,
}

impl Pool {
    /// Whether no server takes new flows, not even a limited number.
    ///
    /// ```
    /// assert!(acacia_cookie::snapshot::Pool::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.cold.is_empty()
    }
}

/// A route's targets.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// Positions of the services' pools, each with its weight.
    pub pools: Vec<(u32, u32)>,
    /// What its callers expect; nothing if the operators don't say, and then none is refused.
    pub demand: Option<LatencyObjective>,
}

/// Routes and servers at one moment.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// The operators' number of the configuration.
    pub version: u64,
    /// The store's revision that it is made from.
    pub revision: u64,
    /// The data centre that this is seen from.
    pub data_centre: Arc<str>,
    /// Balancers that share the callers' packets, this one included.
    pub balancers: u32,
    /// The routes by what callers use.
    pub routes: Map<Front, Route>,
    /// The pools of all services that routes name.
    pub pools: Vec<Pool>,
    /// All servers, those that have left a while ago included.
    pub servers: Vec<Server>,
    /// Positions of servers by cookie, all variants.
    pub cookies: Map<Cookie, u32>,
}

impl Snapshot {
    /// The server that a cookie names.
    ///
    /// ```
    /// use acacia_cookie::{cookie::Cookie, Snapshot};
    /// assert!(Snapshot::default().server(Cookie::of("a", 0)).is_none());
    /// ```
    #[must_use]
    pub fn server(&self, cookie: Cookie) -> Option<&Server> {
        let position = *self.cookies.get(&cookie)?;
        self.servers.get(position as usize)
    }
}
