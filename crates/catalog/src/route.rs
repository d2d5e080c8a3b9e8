//! Where callers' flows may go.

use std::{net::Ipv4Addr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

/// An address and port that callers use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Front {
    /// The address.
    pub address: Ipv4Addr,
    /// The port.
    pub port: u16,
}

/// A service that takes a part of a route's new flows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// Its part, in proportion to the weights of the route's other targets.
    pub weight: u32,
}

/// A front and the services behind it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// What callers use.
    pub front: Front,
    /// Where new flows go.
    pub targets: Vec<Target>,
}

/// The operators' configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The operators' own number of it; rises in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// How long a flow may be idle before it may be forgotten; unlimited if none.
    pub idle: Option<Duration>,
}
