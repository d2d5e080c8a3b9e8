use std::time::Duration;

use acacia_wire::{
    collections::Map,
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};

use crate::{pool::Server, tally::Tally};

/// Bytes of an answer from which on its acknowledgement can't be a delayed one: two full segments
/// of a path with little room (RFC 9293, 3.8.6.3).
const PROMPT: u32 = 2_400;
/// Bytes that a server sends before the first acknowledgement reaches it (RFC 6928). One beyond
/// them is of a later part of the answer.
const FIRST_WINDOW: u32 = 14_600;
/// Longest time by which a caller may delay an acknowledgement (RFC 9293, 3.8.6.3).
const DELAYED: Duration = Duration::from_millis(500);
/// If a smaller part of the answers than this is known to be acknowledged promptly, the others are
/// timed as well: a biased figure is better than none.
const RARE: f64 = 0.05;
/// Answers over which that part is learned.
const MEMORY: f64 = 256.0;

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
/// The service needs a tracker of its own, as what callers' acknowledgements tell depends on the
/// size of its answers.
///
/// The memory is bounded: a thread keeps at most `capacity` open samples and none older than
/// `patience`. A pair that takes longer isn't an answer time any more but a caller's pause.
#[derive(Debug)]
pub struct Tracker {
    samples: Map<Key, Sample>,
    capacity: usize,
    patience: Duration,
    swept: Duration,
    /// Part of the first acknowledgements that were prompt.
    prompt: f64,
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
            prompt: 0.0,
        }
    }

    /// Open samples.
    #[must_use]
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether there are no open samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
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
                    let advance = packet.acknowledgement.wrapping_sub(acknowledged);
                    let timed = self.tells(packet, advance, took(at));
                    tally.answered(server, timed.then(|| took(at)));
                }
            }
        }
        self.samples.remove(&packet.key);
    }

    /// Whether the time of an acknowledgement that moved by `advance` is the server's.
    ///
    /// Callers delay the acknowledgement of a single segment by tens of milliseconds, more than
    /// most requests take; counted in, it would make fast servers look as slow as slow ones.
    /// Packets with data or FIN come when the caller pleases.
    ///
    /// An acknowledgement of little that comes later than callers may delay one is of something that
    /// the server sent long after its answer: the lines of a live feed, of which most are acknowledged
    /// through other balancers. Taken for an answer's time, the seconds between two lines make idle
    /// servers look busy (`event=refusing` with a capacity below one flow a second), and callers are
    /// refused by them. An answer that really took so long isn't timed either.
    fn tells(&mut self, packet: &Packet, advance: u32, took: Duration) -> bool {
        if packet.payload > 0 || packet.kind != Kind::Middle || advance > FIRST_WINDOW {
            return false;
        }
        let prompt = advance >= PROMPT;
        self.prompt += (f64::from(u8::from(prompt)) - self.prompt) / MEMORY;
        prompt || (self.prompt < RARE && took <= DELAYED)
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
