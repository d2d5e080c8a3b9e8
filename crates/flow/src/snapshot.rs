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

/// Where callers reach a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    /// Its IP number.
    pub ip: Ipv4Addr,
    /// Its port.
    pub port: u16,
    /// Its transport.
    pub protocol: Protocol,
}

impl Address {
    /// The service that a flow is addressed to.
    #[must_use]
    pub fn of(key: &Key) -> Address {
        Address {
            ip: key.service,
            port: key.service_port,
            protocol: key.protocol,
        }
    }
}

/// Condition of a backend server, as one balancer knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Takes new flows.
    Up,
    /// Takes new flows, fewer than its weight says.
    Cold,
    /// Keeps its flows and takes no new ones.
    Draining,
    /// Not reachable: takes no new flows. Packets of its own flows are still sent to it, since
    /// nobody else can answer them and the signal may be wrong.
    Down,
}

/// A backend server of one service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its condition.
    pub state: State,
    /// Its share of new flows, relative to the others'.
    pub weight: u32,
}

impl Server {
    /// Whether new flows may be placed on it.
    #[must_use]
    pub fn is_eligible(&self) -> bool {
        matches!(self.state, State::Up | State::Cold)
    }
}

/// One service as the agreed tables describe it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Where callers reach it.
    pub address: Address,
    /// Version of the tables in which the service appeared at its address.
    pub since: u64,
    /// Whether another service had the address before. Old flows of that one may still send, and
    /// must not reach this one's servers: every flow then has a pin, and a packet in mid-flow
    /// without one is dropped. Cleared once [`crate::pin::IDLE_TIMEOUT`] has passed.
    pub strict: bool,
    /// Bucket to server: where flows without a pin are.
    pub base: Arc<[u16]>,
    /// Bucket to server: where new flows go. As long as `base`.
    pub next: Arc<[u16]>,
    /// The servers by number. A number is never used again at the same address, not even by
    /// another service: a balancer with older tables may still hold pins that name it.
    pub servers: Map<u16, Server>,
}

impl Service {
    /// The bucket of a flow with hash `hash`.
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

/// One service as traffic threads use it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The agreed part.
    pub service: Arc<Service>,
    /// Buckets in which some balancer may hold pins.
    pub flags: Bitmap,
    /// Buckets in which this balancer, as an owner, may place flows off their base.
    pub off_base: Bitmap,
    /// Buckets flagged for so long that every live flow of datagrams in them was seen by its owner:
    /// one that is unknown there is new.
    pub udp_observed: Bitmap,
    /// Buckets whose base changed in tables that not every balancer has yet.
    pub moved: Bitmap,
    /// Whether opening packets pass through the owners in every bucket.
    pub guarded: bool,
    /// Whether openings have passed the owners for long enough that one unknown there was never
    /// forwarded: only then may it be refused.
    pub refusable: bool,
    /// Whether new flows are accepted: every balancer knows that the address is this service's.
    pub accepting: bool,
}

/// Most balancers that an opening packet passes on its way, the ingress aside.
pub const CHAIN: usize = 4;

/// The balancers that must know of a flow, in the order in which they are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Chain {
    ids: [u16; CHAIN],
    len: usize,
}

impl Chain {
    /// The balancers in order.
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

/// What one balancer knows at one moment. Immutable; traffic threads use it until the next.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// This balancer.
    pub me: Node,
    /// Until when the flags are known to be complete. Later, every bucket counts as flagged.
    pub flags_complete_until: u64,
    /// Until when this snapshot is in touch with the others. One from before a freeze is not.
    pub fresh_until: u64,
    /// Whether this balancer answers as an owner.
    pub owner: bool,
    /// Whether flows may be placed off their base: no balancer is out of hearing.
    pub off_base_allowed: bool,
    /// Balancers that are neither dead nor gone, this one included.
    pub alive: Arc<[Node]>,
    /// Those of `alive` that can be reached, this one included.
    pub reachable: Arc<[u16]>,
    /// Owners' set whose handover is complete: the two that rank first in it hold every pin.
    pub settled: Arc<[Node]>,
    /// Members of `settled` that fell silent, and may be cut off with pins of their own.
    pub missing: Arc<[Node]>,
    /// Whether balancers have come back that owned flows on their own meanwhile.
    pub has_unmerged_owners: bool,
    /// From when on flows whose owners are out of hearing may be opened, on their base.
    pub partitioned_from: u64,
    /// When an owner was last found to be out of hearing.
    pub owner_unreachable_at: u64,
    /// Balancers that own flows now.
    pub ready: Arc<[Node]>,
    /// Balancers that will own flows after those that join or leave have done so.
    pub target: Arc<[Node]>,
    /// The `settled` before this one, while some balancers may still go by it.
    pub previous: Arc<[Node]>,
    /// Whether the four sets are equal, so that one ranking does for all.
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
    /// A thread that wakes from a freeze may hold a snapshot from long ago; others own the flows
    /// by now.
    #[must_use]
    pub fn is_owner(&self, now: u64) -> bool {
        self.owner && self.is_fresh(now)
    }

    /// Whether the snapshot is recent enough at `now` to act on what it says of ownership.
    #[must_use]
    pub fn is_fresh(&self, now: u64) -> bool {
        now <= self.fresh_until
    }

    /// Whether `id` can be reached.
    #[must_use]
    pub fn is_reachable(&self, id: u16) -> bool {
        self.reachable.contains(&id)
    }

    /// The balancers that must know of the flow with hash `hash`.
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
        // One that was an owner and joins anew after a freeze is in `settled` but not in `ready`.
        add(&self.settled, &self.ready);
        if !self.steady {
            add(&self.ready, &self.alive);
            add(&self.target, &self.alive);
            add(&self.previous, &self.ready);
        }
        chain
    }

    /// Whether all that hold the pins of the flow can be reached, those gone for certain aside.
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

    /// Whether owners have been out of hearing for so long that a flow opened now is none of theirs.
    ///
    /// A data centre that is cut off must go on serving new callers. An opening that the missing
    /// owners pinned before the cut has been resent by then, and while any owner is missing new
    /// flows go to their base on both sides of a cut, so that both choose the same server.
    #[must_use]
    pub fn is_partitioned(&self, now: u64) -> bool {
        !self.off_base_allowed && now >= self.partitioned_from
    }

    /// Whether an owner has been out of hearing since a pin was made: the packet that should have told
    /// that owner may be lost.
    #[must_use]
    pub fn was_owner_unreachable_since(&self, pin: &Pin) -> bool {
        u64::from(pin.synced_at) * 1_000 <= self.owner_unreachable_at
    }

    /// Whether this balancer, having no pin of the flow, knows that there is none.
    #[must_use]
    pub fn knows_all_pins(&self, hash: u64) -> bool {
        let owners = top_two(hash, &self.settled);
        let known = |node: &Node| *node == self.me;
        let lost = |node: &Node| !self.alive.contains(node) && !self.missing.contains(node);
        if self.has_unmerged_owners {
            return false;
        }
        owners.iter().flatten().any(known) || owners.iter().flatten().all(lost)
    }
}
