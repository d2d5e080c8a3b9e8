use std::{collections::BTreeMap, net::Ipv4Addr};

use acacia_wire::flow::{Key, mix};
use serde::{Deserialize, Serialize};

use crate::{
    pin::{Phase, Pin},
    rank::{Node, digest, top_two},
    snapshot::Address,
};

/// Maximum number of pins in a batch, so that it fits a datagram of 1,280 bytes with its headers.
const MAX_BATCH_PINS: usize = 90;
/// Maximum number of pins queued for one peer and service. More than a balancer may hold, so that
/// no handover is truncated; bounds the queue if a peer keeps sending queries.
const MAX_QUEUED_PINS: usize = 1 << 20;
/// Milliseconds after which an unacknowledged batch is retransmitted.
const RETRANSMIT_DELAY: u64 = 1_000;
/// Bytes of a batch besides its pins: frame, UDP and IP headers, address and number.
const BATCH_OVERHEAD: usize = 84;
/// Capacity of the token bucket for copies, in seconds of the byte rate.
const BURST_SECONDS: u64 = 2;

/// A pin in a [`Batch`]. 10 to 12 bytes when encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    client: [u8; 4],
    client_port: [u8; 2],
    server: u16,
    /// Phase in the low 3 bits, age in units of 128 s in the high 5 bits.
    state: u8,
}

/// Maximum size of an encoded [`Packed`] in bytes.
const PACKED_BYTES: usize = 10;
/// Value of the age field that marks a pin as a query whether the flow was established.
const QUERY: u8 = 31;
/// Unit of the age in a packed pin, in milliseconds.
const AGE_UNIT: u64 = 128_000;

impl Packed {
    fn new(key: &Key, pin: &Pin, now: u64) -> Self {
        let age = match pin.queries > 0 && pin.phase == Phase::Opening {
            true => QUERY,
            false => (pin.age(now) / AGE_UNIT).min(u64::from(QUERY) - 1) as u8,
        };
        Packed {
            client: key.client.octets(),
            client_port: key.client_port.to_be_bytes(),
            server: pin.server,
            state: pin.phase as u8 | age << 3,
        }
    }

    pub(super) fn unpack(&self, address: &Address, now: u64) -> (Key, Pin) {
        let key = Key {
            client: Ipv4Addr::from(self.client),
            service: address.ip,
            client_port: u16::from_be_bytes(self.client_port),
            service_port: address.port,
            protocol: address.protocol,
        };
        let age = self.state >> 3;
        let pin = Pin {
            synced_at: (now.saturating_sub(u64::from(age) * AGE_UNIT) / 1_000) as u32,
            isn: 0,
            server: self.server,
            phase: Phase::from_number(self.state & 7),
            short_lived: false,
            queries: u8::from(age == QUERY),
        };
        (key, pin)
    }
}

/// Copies of pins for a new owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Identifies the batch among those of the sender.
    pub number: u32,
    /// The service of all its pins.
    pub address: Address,
    /// The pins.
    pub pins: Vec<Packed>,
}

/// The acknowledgement of a [`Batch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// Number of the batch.
    pub number: u32,
}

/// The owner sets that determine which balancer sends which pins to which.
pub(super) struct View<'a> {
    pub(super) me: Node,
    pub(super) settled: &'a [Node],
    /// Whether all balancers use `settled`. Otherwise each sends all its pins to all that need
    /// them.
    pub(super) agreed: bool,
    pub(super) previous: &'a [Node],
    pub(super) ready: &'a [Node],
    pub(super) target: &'a [Node],
    pub(super) alive: &'a [Node],
    /// When an owner was last noticed to be suspected dead or removed.
    pub(super) lost_at: u64,
    /// Members that are suspected dead, but may be partitioned.
    pub(super) missing: &'a [Node],
}

impl View<'_> {
    /// Whether this balancer must keep the pins of a flow.
    pub(super) fn keeps(&self, hash: u64) -> bool {
        let ranks = |set: &[Node]| top_two(hash, set).contains(&Some(self.me));
        let others = [self.target, self.ready, self.previous];
        let mut others = others.iter().filter(|set| **set != self.settled);
        ranks(self.settled) || others.any(|set| ranks(set))
    }

    /// The other owners of the flow.
    fn others(&self, hash: u64) -> impl Iterator<Item = Node> + use<'_> {
        let owners = top_two(hash, self.settled).into_iter().flatten();
        owners.filter(|node| *node != self.me && self.alive.contains(node))
    }

    /// Whether an owner of the flow was removed.
    fn has_lost_owner(&self, hash: u64) -> bool {
        let mut owners = top_two(hash, self.settled).into_iter().flatten();
        owners.any(|node| !self.alive.contains(&node) && !self.missing.contains(&node))
    }

    /// Whether an owner of the flow is suspected dead but may return with its pins.
    fn has_missing_owner(&self, hash: u64) -> bool {
        let mut owners = top_two(hash, self.settled).into_iter().flatten();
        owners.any(|node| self.missing.contains(&node))
    }

    /// The balancers to which this one must send a copy: each new owner gets it from one old owner.
    fn receivers(&self, hash: u64) -> impl Iterator<Item = Node> + use<> {
        let old = top_two(hash, self.settled).map(|node| node.filter(|n| self.ready.contains(n)));
        // Each of the two old owners sends half of the flows, so that a leaving balancer does not
        // have to send all its pins alone. This is safe because both use the same settled set: a
        // peer's report counts only if it names the same set.
        let order = [old[hash as usize & 1], old[!hash as usize & 1]];
        let sender = order.into_iter().flatten().next();
        let sends = !self.agreed || sender.is_none_or(|sender| sender == self.me);
        let old = if self.agreed { old } else { [None; 2] };
        let new = top_two(hash, self.target).map(|node| {
            node.filter(|node| sends && *node != self.me && !old.contains(&Some(*node)))
        });
        new.into_iter().flatten()
    }
}

#[derive(Debug)]
struct Sent {
    to: u16,
    at: u64,
    batch: Batch,
}

/// The owner sets for which a pass over the shards queues pins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Goal {
    target: u64,
    settled: u64,
    alive: u64,
}

/// Used instead of the digest of the settled set if balancers use different settled sets.
pub(super) const DIVERGED: u64 = 0;

/// Identifies a finished handover by the digests of the settled set and the target. Two balancers
/// with different settled sets may each expect the other to send a pin; their tokens then differ,
/// and neither report counts.
pub(super) fn token(settled: u64, target: u64) -> u64 {
    mix(mix(settled) ^ target)
}

/// Pending copies of pins for new owners.
#[derive(Debug)]
pub(super) struct Handover {
    rate: u64,
    tokens: u64,
    refilled: u64,
    number: u32,
    goal: Option<Goal>,
    /// Number of shards processed in this pass, and the total.
    done: usize,
    count: usize,
    /// Whether the current shard is the next one of the pass.
    is_listing: bool,
    queues: BTreeMap<(u16, Address), Vec<(Key, Pin)>>,
    unacknowledged: Vec<Sent>,
}

impl Handover {
    pub(super) fn new(rate: u32, now: u64) -> Self {
        Handover {
            rate: u64::from(rate),
            tokens: u64::from(rate),
            refilled: now,
            number: 0,
            goal: None,
            done: 0,
            count: usize::MAX,
            is_listing: false,
            queues: BTreeMap::new(),
            unacknowledged: Vec::new(),
        }
    }

    /// Returns the [`token`] of the handover if this balancer has completed its part.
    pub(super) fn finished(&self) -> Option<u64> {
        let sent = self.queues.is_empty() && self.unacknowledged.is_empty();
        let goal = self.goal?;
        (sent && self.done == self.count).then(|| token(goal.settled, goal.target))
    }

    /// Starts shard `index` of `count`. When the owner sets change, the pass restarts at the first
    /// shard. It also restarts when a balancer dies, because others take over its part.
    pub(super) fn start_shard(&mut self, index: usize, count: usize, view: &View<'_>) {
        let goal = Goal {
            target: digest(view.target),
            settled: if view.agreed {
                digest(view.settled)
            } else {
                DIVERGED
            },
            alive: digest(view.alive),
        };
        if index == 0 && self.goal != Some(goal) {
            self.goal = Some(goal);
            self.done = 0;
            self.queues.clear();
        }
        self.count = count;
        self.is_listing = self.goal == Some(goal) && index == self.done;
        self.done += usize::from(self.is_listing);
    }

    /// Queues copies of a pin found in the pass for the balancers that need one. An expiring pin of
    /// an opening is also queued for the other owners as a query.
    pub(super) fn process_pin(&mut self, key: &Key, pin: &mut Pin, now: u64, view: &View<'_>) {
        if pin.short_lived {
            return;
        }
        let hash = key.hash();
        let predates_loss = u64::from(pin.synced_at) * 1_000 <= view.lost_at;
        if pin.phase == Phase::Opening && predates_loss && view.has_lost_owner(hash) {
            // Perhaps only the lost owner knew that the flow was established. If the pin expired,
            // the flow's next packet would go to another server; keeping the pin of an abandoned
            // opening only costs memory until the idle timeout. A pin created after the loss was
            // never at the lost owner. Treated as established, it would take precedence over the
            // pin of the owners that place the retransmitted opening, and the flow would go to two
            // servers.
            pin.phase = Phase::Open;
        }
        if self.is_listing {
            view.receivers(hash)
                .for_each(|node| self.enqueue(node.id, key, pin));
        }
        if pin.is_expiring(now) && view.has_missing_owner(hash) {
            // A partition may have begun between the opening and the caller's next packet, so that
            // only the missing owner saw that packet. It can't be queried, and a query in flight is
            // dropped with its connection. If the pin expired now, an owner that appears to know
            // all pins would send the flow to its base, which would reset it. The pin is therefore
            // extended until the other owner can be queried or is removed.
            pin.extend_expiring(now);
        } else if pin.is_query_due(now) {
            pin.queries += 1;
            view.others(hash)
                .for_each(|node| self.enqueue(node.id, key, pin));
        }
    }

    /// Queues a copy of a pin for balancer `to`.
    pub(super) fn enqueue(&mut self, to: u16, key: &Key, pin: &Pin) {
        let queue = self.queues.entry((to, Address::of(key))).or_default();
        if queue.len() < MAX_QUEUED_PINS {
            queue.push((*key, *pin));
        }
    }

    pub(super) fn batches(&mut self, now: u64, alive: &[u16]) -> Vec<(u16, Batch)> {
        self.refill(now);
        self.queues.retain(|(to, _), _| alive.contains(to));
        self.unacknowledged.retain(|sent| alive.contains(&sent.to));
        let mut out = Vec::new();
        for at in 0..self.unacknowledged.len() {
            let cost = cost(self.unacknowledged[at].batch.pins.len());
            let sent = &mut self.unacknowledged[at];
            if now >= sent.at + RETRANSMIT_DELAY && self.tokens >= cost {
                self.tokens -= cost;
                sent.at = now;
                out.push((sent.to, sent.batch.clone()));
            }
        }
        while let Some((to, batch)) = self.next_batch(now) {
            out.push((to, batch.clone()));
            self.unacknowledged.push(Sent { to, at: now, batch });
        }
        out
    }

    fn refill(&mut self, now: u64) {
        let earned = (now - self.refilled) * self.rate / 1_000;
        if earned > 0 {
            self.tokens = (self.tokens + earned).min(self.rate * BURST_SECONDS);
            self.refilled = now;
        }
    }

    fn next_batch(&mut self, now: u64) -> Option<(u16, Batch)> {
        let mut entry = self.queues.first_entry()?;
        let (to, address) = *entry.key();
        let queue = entry.get_mut();
        let affordable =
            (self.rate * BURST_SECONDS).saturating_sub(BATCH_OVERHEAD as u64) / PACKED_BYTES as u64;
        let count = queue
            .len()
            .min(MAX_BATCH_PINS)
            .min(affordable.max(1) as usize);
        if self.tokens < cost(count) {
            return None;
        }
        self.tokens -= cost(count);
        let pins = queue.drain(queue.len() - count..);
        let pins = pins
            .map(|(key, pin)| Packed::new(&key, &pin, now))
            .collect();
        if queue.is_empty() {
            entry.remove();
        }
        self.number += 1;
        let number = self.number;
        Some((
            to,
            Batch {
                number,
                address,
                pins,
            },
        ))
    }

    pub(super) fn acknowledged(&mut self, from: u16, number: u32) {
        self.unacknowledged
            .retain(|sent| (sent.to, sent.batch.number) != (from, number));
    }
}

/// Bytes on the wire of a batch with `pins` pins.
fn cost(pins: usize) -> u64 {
    (BATCH_OVERHEAD + pins * PACKED_BYTES) as u64
}
