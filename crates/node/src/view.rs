//! What the control thread publishes and traffic threads read.

use std::{net::SocketAddrV4, sync::Arc};

use acacia_flow::{Snapshot, snapshot::Address};
use acacia_wire::collections::Map;
use arc_swap::ArcSwapOption;

use crate::load::Policies;

/// One moment's knowledge: who owns which flows, and where everybody is.
#[derive(Debug, Clone)]
pub struct View {
    /// What decides about packets.
    pub snapshot: Snapshot,
    /// Where each backend server takes encapsulated packets.
    pub servers: Arc<Map<(Address, u16), SocketAddrV4>>,
    /// What new flows are decided by.
    pub policies: Arc<Policies>,
    /// Where each balancer takes redirected packets.
    pub peers: Map<u16, SocketAddrV4>,
}

/// The latest view; none until the first is complete.
pub type Published = Arc<ArcSwapOption<View>>;
