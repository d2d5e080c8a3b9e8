use std::time::Duration;

use acacia_wire::{
    collections::Map,
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};

use crate::{pool::Server, tally::Tally};

#[derive(Debug, Clone, Copy)]
enum Sample {
    /// The opening was seen; waiting for the first packet after it.
    Opening { at: Duration, isn: u32 },
    /// Data was seen with this acknowledgement number; waiting for one beyond it.
    Data { at: Duration, acknowledged: u32 },
}

/// Sampled sight of TCP flows at one traffic thread.
///
/// Answers go straight from the backend server to the caller, so a balancer sees only the caller's
/// packets, and of those only the part that the fabric gives it. A sample is a pair of packets of
/// one flow that both come by here: the opening and the next one, or data and an acknowledgement
/// beyond it. With 8 balancers about an eighth of the first packets find their second here. That
/// part is the same for every server, so means and comparisons hold; absolute counts of answers
/// mean nothing.
///
/// The memory is bounded: a thread keeps at most `capacity` open samples and none older than
/// `patience`. A pair that takes longer isn't an answer time any more but a caller's pause.
#[derive(Debug)]
pub struct Tracker {
    samples: Map<Key, Sample>,
    capacity: usize,
    patience: Duration,
    swept: Duration,
}

impl Tracker {
    /// No samples yet.
    #[must_use]
    pub fn new(capacity: usize, patience: Duration) -> Self {
        Tracker {
            samples: Map::default(),
            capacity,
            patience,
            swept: Duration::ZERO,
        }
    }

    /// Feeds a packet that the fabric gave to this balancer (not one that a peer passed on) and
    /// that goes to `server`, of a flow of `class`.
    ///
    /// [`Tally::opened`] isn't among the events it feeds: [`crate::gate::Gate::place`] does that
    /// at the balancer that decides.
    pub fn observe(
        &mut self,
        packet: &Packet,
        server: Server,
        class: usize,
        now: Duration,
        tally: &mut Tally,
    ) {
        if packet.key.protocol != Protocol::Tcp || packet.kind == Kind::Error {
            return;
        }
        if let Kind::Opening { isn } = packet.kind {
            self.keep(packet.key, Sample::Opening { at: now, isn }, now);
            return;
        }
        if let Some(sample) = self.samples.get(&packet.key).copied() {
            self.resolve(sample, packet, server, now, tally);
        }
        match packet.kind {
            Kind::Closing | Kind::Reset => {
                self.samples.remove(&packet.key);
                tally.closed(server, class);
            }
            _ if packet.payload > 0 && !self.samples.contains_key(&packet.key) => {
                tally.asked(server);
                let acknowledged = packet.acknowledgement;
                self.keep(
                    packet.key,
                    Sample::Data {
                        at: now,
                        acknowledged,
                    },
                    now,
                );
            }
            _ => {}
        }
    }

    fn resolve(
        &mut self,
        sample: Sample,
        packet: &Packet,
        server: Server,
        now: Duration,
        tally: &mut Tally,
    ) {
        let took = |at: Duration| now.saturating_sub(at);
        match sample {
            Sample::Opening { at, isn } => {
                // Only the handshake's last packet and the first data carry this number. A later
                // packet would add the time of the answer to what passes for the network's.
                if packet.sequence == isn.wrapping_add(1) && took(at) <= self.patience {
                    tally.completed(server, took(at));
                }
            }
            Sample::Data { at, acknowledged } => {
                let beyond = packet.acknowledgement.wrapping_sub(acknowledged) as i32 > 0;
                if !beyond && took(at) <= self.patience {
                    return;
                }
                if beyond && took(at) <= self.patience {
                    tally.answered(server, took(at));
                }
            }
        }
        self.samples.remove(&packet.key);
    }

    fn keep(&mut self, key: Key, sample: Sample, now: Duration) {
        if self.samples.len() >= self.capacity && now.saturating_sub(self.swept) >= self.patience {
            // Once in a while only: a sweep walks the whole map.
            self.swept = now;
            let patience = self.patience;
            self.samples.retain(|_, sample| {
                let (Sample::Opening { at, .. } | Sample::Data { at, .. }) = *sample;
                now.saturating_sub(at) < patience
            });
        }
        if self.samples.len() < self.capacity {
            self.samples.insert(key, sample);
        }
    }
}
