use std::{net::Ipv4Addr, sync::Arc};

use acacia_wire::{
    collections::Map,
    flow::{Key, Protocol},
};
use serde::{Deserialize, Serialize};

use crate::{
    bitmap::Bitmap,
    pin::Pin,
    rank::{Node, top_two},
};

/// The address at which callers reach a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// The IP address.
    pub ip: Ipv4Addr,
    /// The port.
    pub port: u16,
    /// The transport protocol.
    pub protocol: Protocol,
}

impl Address {
    /// Returns the service address of a flow.
    #[must_use]
    pub fn of(key: &Key) -> Address {
        Address {
            ip: key.service,
            port: key.service_port,
            protocol: key.protocol,
        }
    }
}

/// State of a backend server as known to one balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Takes new flows.
    Up,
    /// Takes new flows, but fewer than its weight implies.
    Cold,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// Unreachable; takes no new flows. Packets of its existing flows are still forwarded to it,
    /// since no other server can answer them and the health check may be wrong.
    Down,
}

/// A backend server of one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its state.
    pub state: State,
    /// Its share of new flows, relative to the other servers.
    pub weight: u32,
}

impl Server {
    /// Whether new flows may be placed on this server.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, State::Up | State::Cold)
    }
}

/// One service as described by the agreed tables.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The address at which callers reach it.
    pub address: Address,
    /// Version of the tables in which the service first appeared at this address.
    pub since: u64,
    /// Whether another service used the address before. Flows of that service may still send, and
    /// their packets must not reach this service's servers. Every flow therefore gets a pin, and
    /// mid-flow packets without a pin are dropped. Cleared after [`crate::pin::IDLE_TIMEOUT`].
    pub strict: bool,
    /// Server of each bucket for flows without a pin.
    pub base: Arc<[u16]>,
    /// Server of each bucket for new flows. Has the same length as `base`.
    pub next: Arc<[u16]>,
    /// The servers by number. Numbers are never reused at the same address, not even by another
    /// service, because a balancer with older tables may still hold pins with the old meaning.
    pub servers: Map<u16, Server>,
}

impl Service {
    /// Returns the bucket of a flow with hash `hash`.
    #[must_use]
    pub fn bucket(&self, hash: u64) -> usize {
        ((u128::from(hash) * self.base.len() as u128) >> 64) as usize
    }

    /// Whether `server` may take new flows.
    #[must_use]
    pub fn is_eligible(&self, server: u16) -> bool {
        self.servers.get(&server).is_some_and(Server::is_eligible)
    }
}

/// One service as used by traffic threads.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The service as described by the agreed tables.
    pub service: Arc<Service>,
    /// Flagged buckets: those in which some balancer may hold pins.
    pub flags: Bitmap,
    /// Buckets in which this balancer, as an owner, may place flows off their base.
    pub off_base: Bitmap,
    /// Buckets flagged for so long that the owners have seen every live UDP flow in them, so that
    /// an unknown UDP flow is new.
    pub udp_observed: Bitmap,
    /// Buckets whose base changed in a table version that not every balancer has yet.
    pub moved: Bitmap,
    /// Whether opening packets go through the owners in every bucket.
    pub guarded: bool,
    /// Whether openings have gone through the owners for so long that an opening unknown to them
    /// was never forwarded. Only then may it be refused.
    pub refusable: bool,
    /// Whether new flows are accepted: every balancer knows that the address belongs to this
    /// service.
    pub accepting: bool,
}

/// Maximum number of balancers that an opening packet passes, not counting the ingress balancer.
pub const CHAIN: usize = 4;

/// The balancers that must know of a flow, in the order in which they are consulted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Chain {
    ids: [u16; CHAIN],
    len: usize,
}

impl Chain {
    /// Numbers of the balancers in order.
    #[must_use]
    pub fn ids(&self) -> &[u16] {
        &self.ids[..self.len]
    }

    fn push(&mut self, id: u16) {
        if self.len < CHAIN && !self.ids().contains(&id) {
            self.ids[self.len] = id;
            self.len += 1;
        }
    }
}

/// Immutable view of what one balancer knows, used by traffic threads until the next one is
/// published.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The local balancer.
    pub me: Node,
    /// Time until which the flags are known to be complete. After it every bucket counts as
    /// flagged.
    pub flags_complete_until: u64,
    /// Time until which this snapshot may be used to act as an owner. A snapshot taken before the
    /// process was suspended is past it.
    pub fresh_until: u64,
    /// Whether this balancer acts as an owner.
    pub owner: bool,
    /// Whether flows may be placed off their base, which requires that every balancer is reachable.
    pub off_base_allowed: bool,
    /// Balancers that are neither suspected dead nor removed, including the local one.
    pub alive: Arc<[Node]>,
    /// Members of `alive` that are reachable, including the local one.
    pub reachable: Arc<[u16]>,
    /// Owner set whose handover is complete: the two nodes that rank highest in it hold a flow's
    /// pin.
    pub settled: Arc<[Node]>,
    /// Balancers that are suspected dead, but may be partitioned and hold pins of their own.
    pub missing: Arc<[Node]>,
    /// Whether balancers have returned that owned flows independently in the meantime.
    pub has_unmerged_owners: bool,
    /// Time from which flows whose owners are unreachable may be opened, on their base.
    pub partitioned_from: u64,
    /// When an owner last became unreachable.
    pub owner_unreachable_at: u64,
    /// Balancers that currently own flows.
    pub ready: Arc<[Node]>,
    /// Balancers that will own flows after all pending joins and leaves.
    pub target: Arc<[Node]>,
    /// The previous `settled`, while some balancers may still use it.
    pub previous: Arc<[Node]>,
    /// Whether `settled`, `ready`, `target` and `previous` are equal, so that one ranking suffices.
    pub steady: bool,
    /// The services by address.
    pub services: Map<Address, Entry>,
}

impl Snapshot {
    /// Whether the flags are complete at `now`.
    #[must_use]
    pub fn are_flags_complete(&self, now: u64) -> bool {
        now <= self.flags_complete_until
    }

    /// Whether this balancer may answer as an owner at `now`.
    ///
    /// A thread that resumes after the process was suspended may hold an old snapshot, and other
    /// balancers may own the flows by then.
    #[must_use]
    pub fn is_owner(&self, now: u64) -> bool {
        self.owner && self.is_fresh(now)
    }

    /// Whether the snapshot is recent enough at `now` to rely on its ownership sets.
    #[must_use]
    pub fn is_fresh(&self, now: u64) -> bool {
        now <= self.fresh_until
    }

    /// Whether balancer `id` is reachable.
    #[must_use]
    pub fn is_reachable(&self, id: u16) -> bool {
        self.reachable.contains(&id)
    }

    /// Returns the balancers that must know of the flow with hash `hash`.
    #[must_use]
    pub fn chain(&self, hash: u64) -> Chain {
        let mut chain = Chain {
            ids: [0; CHAIN],
            len: 0,
        };
        let mut add = |set: &[Node], among: &[Node]| {
            let nodes = top_two(hash, set).into_iter().flatten();
            nodes
                .filter(|node| among.contains(node))
                .for_each(|node| chain.push(node.id));
        };
        // A former owner that rejoins after being suspended is in `settled` but not in `ready`.
        add(&self.settled, &self.ready);
        if !self.steady {
            add(&self.ready, &self.alive);
            add(&self.target, &self.alive);
            add(&self.previous, &self.ready);
        }
        chain
    }

    /// Whether all balancers that may hold a pin of the flow are reachable, ignoring removed ones.
    #[must_use]
    pub fn reaches_owners(&self, hash: u64) -> bool {
        let is_reachable = |node: Node| {
            let known = self.alive.contains(&node) || self.missing.contains(&node);
            !known || (self.is_reachable(node.id) && !self.missing.contains(&node))
        };
        top_two(hash, &self.settled)
            .into_iter()
            .flatten()
            .all(is_reachable)
    }

    /// Whether owners have been unreachable for so long that a flow opened now can't have a pin at
    /// them.
    ///
    /// A partitioned data centre must keep serving new callers. An opening that the missing owners
    /// pinned before the partition has been retransmitted by then. While any owner is missing, new
    /// flows go to their base on both sides of the partition, so that both choose the same server.
    #[must_use]
    pub fn is_partitioned(&self, now: u64) -> bool {
        !self.off_base_allowed && now >= self.partitioned_from
    }

    /// Whether an owner became unreachable after the pin was last replicated, so that the packet
    /// that should have replicated it may be lost.
    #[must_use]
    pub fn was_owner_unreachable_since(&self, pin: &Pin) -> bool {
        u64::from(pin.synced_at) * 1_000 <= self.owner_unreachable_at
    }

    /// Whether a flow without a pin at this balancer is known to have no pin anywhere.
    #[must_use]
    pub fn knows_all_pins(&self, hash: u64) -> bool {
        let owners = top_two(hash, &self.settled);
        let is_me = |node: &Node| *node == self.me;
        let is_removed = |node: &Node| !self.alive.contains(node) && !self.missing.contains(node);
        if self.has_unmerged_owners {
            return false;
        }
        owners.iter().flatten().any(is_me) || owners.iter().flatten().all(is_removed)
    }
}
