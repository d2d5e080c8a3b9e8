//! The forwarding state that the control thread publishes and traffic threads read.

use std::{net::SocketAddrV4, sync::Arc};

use acacia_flow::{Snapshot, snapshot::Address};
use acacia_wire::collections::Map;
use arc_swap::ArcSwapOption;

use crate::load::Policies;

/// A consistent snapshot of the ownership of flows and the addresses of servers and balancers.
#[derive(Debug, Clone)]
pub struct View {
    /// The input of flow resolution.
    pub snapshot: Snapshot,
    /// Address at which each backend server receives encapsulated packets.
    pub servers: Arc<Map<(Address, u16), SocketAddrV4>>,
    /// The policies by which new flows are admitted and placed.
    pub policies: Arc<Policies>,
    /// Address at which each balancer receives redirected packets.
    pub peers: Map<u16, SocketAddrV4>,
}

/// The latest view; `None` while this balancer must not serve.
pub type Published = Arc<ArcSwapOption<View>>;
