use std::{collections::BTreeMap, net::Ipv4Addr};

use acacia_wire::flow::{Key, mix};
use serde::{Deserialize, Serialize};

use crate::{
    pin::{Phase, Pin},
    rank::{Node, digest, top_two},
    snapshot::Address,
};

/// Most pins of a batch: it then fits a datagram of 1,280 bytes with its headers.
const BATCH: usize = 90;
/// Most pins queued for one peer and service: above the pins that a balancer may hold, so that a
/// handover is never cut short. A peer that asks again and again can't make the queue grow further.
const QUEUE: usize = 1 << 20;
/// Milliseconds after which an unacknowledged batch is sent again.
const REPEAT: u64 = 1_000;
/// Bytes of a batch besides its pins: frame, UDP and IP headers, address, number.
const ENVELOPE: usize = 84;
/// Most that the byte budget saves up, in seconds' worth.
const BURST: u64 = 2;

/// A pin in a [`Batch`]. 10 to 12 bytes encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed {
    client: [u8; 4],
    client_port: [u8; 2],
    server: u16,
    /// Phase in the low bits, then the age in units of 128 s.
    state: u8,
}

/// Bytes of an encoded [`Packed`] at most.
const PACKED: usize = 10;
/// Stands in the place of the age where a pin is a question: whether the flow got further.
const QUESTION: u8 = 31;
/// Milliseconds in a unit of a packed pin's age.
const AGE: u64 = 128_000;

impl Packed {
    fn new(key: &Key, pin: &Pin, now: u64) -> Self {
        let age = match pin.queries > 0 && pin.phase == Phase::Opening {
            true => QUESTION,
            false => (pin.age(now) / AGE).min(u64::from(QUESTION) - 1) as u8,
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
            synced_at: (now.saturating_sub(u64::from(age) * AGE) / 1_000) as u32,
            isn: 0,
            server: self.server,
            phase: Phase::from_number(self.state & 7),
            short_lived: false,
            queries: u8::from(age == QUESTION),
        };
        (key, pin)
    }
}

/// Copies of pins for a new owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Tells it from the sender's other batches.
    pub number: u32,
    /// The service of all its pins.
    pub address: Address,
    /// The pins.
    pub pins: Vec<Packed>,
}

/// The answer to a [`Batch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// Number of the batch.
    pub number: u32,
}

/// The sets of owners that decide who sends what to whom.
pub(super) struct View<'a> {
    pub(super) me: Node,
    pub(super) settled: &'a [Node],
    /// Whether all balancers go by it. Without, each sends all it holds to all that should.
    pub(super) agreed: bool,
    pub(super) previous: &'a [Node],
    pub(super) ready: &'a [Node],
    pub(super) target: &'a [Node],
    pub(super) alive: &'a [Node],
    /// When an owner was last noticed to be lost.
    pub(super) lost_at: u64,
    /// Members that are taken for dead, but may be cut off.
    pub(super) missing: &'a [Node],
}

impl View<'_> {
    /// Whether this balancer has any business with a flow.
    pub(super) fn keeps(&self, hash: u64) -> bool {
        let ranks = |set: &[Node]| top_two(hash, set).contains(&Some(self.me));
        let others = [self.target, self.ready, self.previous];
        let mut others = others.iter().filter(|set| **set != self.settled);
        ranks(self.settled) || others.any(|set| ranks(set))
    }

    /// The other balancers that answer for the flow.
    fn others(&self, hash: u64) -> impl Iterator<Item = Node> + use<'_> {
        let owners = top_two(hash, self.settled).into_iter().flatten();
        owners.filter(|node| *node != self.me && self.alive.contains(node))
    }

    fn lost_owner(&self, hash: u64) -> bool {
        let mut owners = top_two(hash, self.settled).into_iter().flatten();
        owners.any(|node| !self.alive.contains(&node) && !self.missing.contains(&node))
    }

    /// Whether an owner of the flow is taken for dead and may come back with what it knows.
    fn misses_owner(&self, hash: u64) -> bool {
        let mut owners = top_two(hash, self.settled).into_iter().flatten();
        owners.any(|node| self.missing.contains(&node))
    }

    /// Who has to get a copy from this balancer: the new owners, from one of the old.
    fn receivers(&self, hash: u64) -> impl Iterator<Item = Node> + use<> {
        let old = top_two(hash, self.settled).map(|node| node.filter(|n| self.ready.contains(n)));
        // Half of the flows each, so that one that leaves is not left to send all it holds alone.
        // All go by the same settled set: a peer's report counts only if it names this one's.
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

/// What a pass over the shards works for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Goal {
    target: u64,
    settled: u64,
    alive: u64,
}

/// Stands for the settled set where balancers go by different ones.
pub(super) const APART: u64 = 0;

/// Stands for a finished handover from the settled set to the target, by their digests. Two
/// balancers that go by different settled sets may each take the other for the sender of a pin;
/// their reports then differ in this, and neither counts.
pub(super) fn token(settled: u64, target: u64) -> u64 {
    mix(mix(settled) ^ target)
}

/// Copies of pins on their way to new owners.
#[derive(Debug)]
pub(super) struct Handover {
    budget: u64,
    tokens: u64,
    refilled: u64,
    number: u32,
    goal: Option<Goal>,
    /// How many shards the pass has done, and of how many.
    done: usize,
    count: usize,
    /// Whether the shard under way belongs to the pass.
    listing: bool,
    queues: BTreeMap<(u16, Address), Vec<(Key, Pin)>>,
    unacknowledged: Vec<Sent>,
}

impl Handover {
    pub(super) fn new(budget: u32, now: u64) -> Self {
        Handover {
            budget: u64::from(budget),
            tokens: u64::from(budget),
            refilled: now,
            number: 0,
            goal: None,
            done: 0,
            count: usize::MAX,
            listing: false,
            queues: BTreeMap::new(),
            unacknowledged: Vec::new(),
        }
    }

    /// The [`token`] of the handover that is complete on this side.
    pub(super) fn finished(&self) -> Option<u64> {
        let sent = self.queues.is_empty() && self.unacknowledged.is_empty();
        let goal = self.goal?;
        (sent && self.done == self.count).then(|| token(goal.settled, goal.target))
    }

    /// Begins with shard `index` of `count`. A new goal starts the pass anew at the first shard;
    /// so does a death, since the dead one's part falls to others.
    pub(super) fn start_shard(&mut self, index: usize, count: usize, view: &View<'_>) {
        let goal = Goal {
            target: digest(view.target),
            settled: if view.agreed {
                digest(view.settled)
            } else {
                APART
            },
            alive: digest(view.alive),
        };
        if index == 0 && self.goal != Some(goal) {
            self.goal = Some(goal);
            self.done = 0;
            self.queues.clear();
        }
        self.count = count;
        self.listing = self.goal == Some(goal) && index == self.done;
        self.done += usize::from(self.listing);
    }

    /// Lists a pin met in the pass for those that need a copy; and one of an opening that is on
    /// its way out for the other owners, as a question.
    pub(super) fn note(&mut self, key: &Key, pin: &mut Pin, now: u64, view: &View<'_>) {
        if pin.short_lived {
            return;
        }
        let hash = key.hash();
        let was_there = u64::from(pin.synced_at) * 1_000 <= view.lost_at;
        if pin.phase == Phase::Opening && was_there && view.lost_owner(hash) {
            // Only the lost one may have known that the flow got further. Forgetting it would send
            // its next packet to another server; keeping an opening that came to nothing costs a
            // pin until it has been idle for long. A pin made after the loss was never at the lost
            // one. Taken for more than an opening, it would prevail over that of the owners who
            // place the resent opening, and the flow would be sent to two servers.
            pin.phase = Phase::Open;
        }
        if self.listing {
            view.receivers(hash)
                .for_each(|node| self.list(node.id, key, pin));
        }
        if pin.is_expiring(now) && view.misses_owner(hash) {
            // A cut came between the opening and the caller's next packet, which only the owner out of
            // hearing has seen. It can't be asked, and a question under way is dropped with its
            // connection. Forgotten meanwhile, the flow would be sent to its base by an owner that
            // seems to know all pins, and reset. So the pin is held as it is until the other can be
            // asked, or is gone.
            pin.extend_expiring(now);
        } else if pin.is_query_due(now) {
            pin.queries += 1;
            view.others(hash)
                .for_each(|node| self.list(node.id, key, pin));
        }
    }

    /// Lists a copy of a pin for `to`.
    pub(super) fn list(&mut self, to: u16, key: &Key, pin: &Pin) {
        let queue = self.queues.entry((to, Address::of(key))).or_default();
        if queue.len() < QUEUE {
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
            if now >= sent.at + REPEAT && self.tokens >= cost {
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
        let earned = (now - self.refilled) * self.budget / 1_000;
        if earned > 0 {
            self.tokens = (self.tokens + earned).min(self.budget * BURST);
            self.refilled = now;
        }
    }

    fn next_batch(&mut self, now: u64) -> Option<(u16, Batch)> {
        let mut entry = self.queues.first_entry()?;
        let (to, address) = *entry.key();
        let queue = entry.get_mut();
        let most = (self.budget * BURST).saturating_sub(ENVELOPE as u64) / PACKED as u64;
        let count = queue.len().min(BATCH).min(most.max(1) as usize);
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

/// Bytes of a batch of `pins` on the wire.
fn cost(pins: usize) -> u64 {
    (ENVELOPE + pins * PACKED) as u64
}
