//! Immutable view of the routes and servers for the traffic threads, replaced as a whole on each change.
//! What did not change is shared with the view before, so a change costs little in a large fleet.

use std::{net::SocketAddrV4, sync::Arc};

use acacia_catalog::route::Front;
use acacia_load::{delay::Idle, overload};
use acacia_wire::{collections::Map, flow::mix};

use crate::{
    cold,
    cookie::{Cookie, VARIANTS},
    ring::Rings,
};

/// Indexes of servers by cookie. A clone shares its memory with the original.
pub type Cookies = imbl::GenericHashMap<
    Cookie,
    u32,
    foldhash::fast::RandomState,
    imbl::shared_ptr::DefaultSharedPtr,
>;

/// Which flows a balancer sends to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The server takes new flows.
    Ready,
    /// Its entry disappeared from the store recently, and it had not announced that it leaves. Entries
    /// expire during an outage of the store and are restored afterwards, so such a server takes new
    /// flows if no other is ready, or if its service has lapsed, see [`Pool::lapsed`].
    Missing,
    /// It has announced that it leaves. It keeps its flows and gets no new ones.
    Draining,
    /// Its data centre is being evacuated. It keeps its flows and gets no new ones, even if no other
    /// server is left.
    Evacuated,
    /// Its data centre can't be reached, as a sample of its servers shows, but the server itself has not been
    /// found unresponsive. It keeps its flows and gets no new ones.
    Unreachable,
    /// Its entry has been missing for too long to be expected back, but it has not been found
    /// unresponsive. It keeps its flows and gets no new ones.
    Lost,
    /// It has left, does not answer, or its entry is missing and its address belongs to another server.
    /// Its flows are reset.
    Gone,
}

impl Standing {
    /// Whether the server takes new flows, at least if no other is ready or its service has lapsed.
    #[must_use]
    pub const fn takes_flows(self) -> bool {
        matches!(self, Standing::Ready | Standing::Missing)
    }
}

/// A backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Server {
    /// Its name.
    pub id: Arc<str>,
    /// Hash of its name, the same on every balancer, see [`crate::cookie::hash`].
    pub hash: u64,
    /// The cookie for its new flows.
    pub cookie: Cookie,
    /// Number in forwarded datagrams by which the server checks that it is the intended receiver.
    pub tag: u64,
    /// Address to which datagrams for it are forwarded.
    pub address: SocketAddrV4,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Which flows it gets.
    pub standing: Standing,
    /// Number of requests that it processes concurrently.
    pub slots: u16,
    /// Its response time without queueing; `None` until it has been measured.
    pub idle: Option<Idle>,
    /// Whether it has been found to fail its requests.
    pub failing: bool,
    /// Its share of new flows, relative to the other servers of its service: its slots, scaled by its
    /// measured speed, and reduced while it is cold or failing.
    pub weight: f64,
}

/// The backend servers of a service.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Pool {
    /// The service's name.
    pub service: Arc<str>,
    /// The servers that take new flows without a limit.
    pub open: Rings,
    /// Indexes of the servers that are warming up after a start, whose new flows `cold_limit` limits.
    pub cold: Rings,
    /// Number of requests that all servers that take new flows process concurrently.
    pub slots: u32,
    /// Number of requests that the servers of `open` process concurrently, by data centre.
    pub open_slots: Vec<(Arc<str>, u32)>,
    /// Mean answer time of the service without queueing, for a server of mean speed; `None` until the
    /// speed of a server has been measured.
    pub idle: Option<Idle>,
    /// Limit on the new flows that all balancers together send to each cold server; `None` if they get
    /// no flows.
    pub cold_limit: Option<cold::Limit>,
    /// Whether the entries of most servers went missing together. Until the last of these is back or
    /// given up, servers with and without entries take new flows.
    pub lapsed: bool,
}

impl Pool {
    /// Whether no server takes new flows, not even a cold one.
    ///
    /// ```
    /// assert!(acacia_cookie::snapshot::Pool::default().is_empty());
    /// ```
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.cold.is_empty()
    }
}

/// Targets of a route.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// Indexes of the services' pools, each with its weight.
    pub pools: Vec<(u32, u32)>,
    /// Latency objective and priority of its flows. Without one, no flow is refused under load.
    pub objective: Option<overload::Objective>,
}

/// Routes and servers at one point in time.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Snapshot {
    /// Version of the configuration, as set by the operators.
    pub version: u64,
    /// Revision of the store from which the snapshot was made.
    pub revision: u64,
    /// Data centre of this balancer.
    pub data_centre: Arc<str>,
    /// Routes by the address and port to which callers connect.
    pub routes: Arc<Map<Front, Route>>,
    /// Pools of all services that are targets of routes.
    pub pools: Vec<Pool>,
    /// All servers, including those that left recently.
    pub servers: imbl::Vector<Server>,
    /// Indexes of servers by cookie, for all variants.
    pub cookies: Cookies,
}

impl Snapshot {
    /// Looks up the server that a cookie names.
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

    /// The pool of a service.
    ///
    /// ```
    /// assert!(acacia_cookie::Snapshot::default().pool("live").is_none());
    /// ```
    #[must_use]
    pub fn pool(&self, service: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| *pool.service == *service)
    }

    /// Selects the pool for a flow by the route's weights, among the pools that take new flows.
    ///
    /// ```
    /// use acacia_cookie::snapshot::{Route, Snapshot};
    /// assert!(Snapshot::default().target(&Route::default(), 1).is_none());
    /// ```
    #[must_use]
    pub fn target(&self, route: &Route, flow: u64) -> Option<&Pool> {
        let pool = |position: u32| &self.pools[position as usize];
        let open = || {
            let pools = route.pools.iter();
            pools.filter(|(position, weight)| *weight > 0 && !pool(*position).is_empty())
        };
        let total: u64 = open().map(|(_, weight)| u64::from(*weight)).sum();
        let mut draw = mix(flow) % total.max(1);
        for (position, weight) in open() {
            if draw < u64::from(*weight) {
                return Some(pool(*position));
            }
            draw -= u64::from(*weight);
        }
        None
    }

    /// The index of a server by its name. Any of its cookies may lead to another server with the same
    /// cookie, so all are tried.
    ///
    /// ```
    /// assert!(acacia_cookie::Snapshot::default().position("a").is_none());
    /// ```
    #[must_use]
    pub fn position(&self, id: &str) -> Option<u32> {
        (0..VARIANTS).find_map(|variant| {
            let position = *self.cookies.get(&Cookie::of(id, variant))?;
            let server = self.servers.get(position as usize)?;
            (*server.id == *id).then_some(position)
        })
    }

    /// Looks up a server by its name.
    ///
    /// ```
    /// assert!(acacia_cookie::Snapshot::default().named("a").is_none());
    /// ```
    #[must_use]
    pub fn named(&self, id: &str) -> Option<&Server> {
        self.servers.get(self.position(id)? as usize)
    }
}
