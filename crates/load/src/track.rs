use std::time::Duration;

use acacia_wire::{
    collections::Map,
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};

use crate::{pool::Server, tally::Tally};

/// Number of acknowledged bytes from which the acknowledgement is immediate and not delayed: two
/// full segments on a path with a small MTU (RFC 9293, 3.8.6.3).
const PROMPT_BYTES: u32 = 2_400;
/// Number of bytes that a server sends before it gets the first acknowledgement (the initial window
/// of RFC 6928). An acknowledgement of more bytes is for a later part of the answer.
const INITIAL_WINDOW: u32 = 14_600;
/// Longest time by which a caller may delay an acknowledgement (RFC 9293, 3.8.6.3).
const MAX_ACK_DELAY: Duration = Duration::from_millis(500);
/// If the fraction of immediately acknowledged answers is below this, the other answers are timed
/// as well: a biased time is better than none.
const MIN_PROMPT: f64 = 0.05;
/// Number of answers over which that fraction is averaged.
const PROMPT_SAMPLES: f64 = 256.0;
/// Fraction of answers that go on after a pause from which late acknowledgements are not timed.
const MAX_STREAMING: f64 = 0.05;
/// Number of answers over which that fraction is averaged.
const STREAMING_SAMPLES: f64 = 64.0;

#[derive(Debug, Clone, Copy)]
enum Sample {
    /// The opening was seen; the first packet after it completes the sample.
    Opening { at: Duration, isn: u32 },
    /// Data was seen that ends before `sequence`; an acknowledgement beyond `acknowledged` completes
    /// the sample.
    Data {
        at: Duration,
        acknowledged: u32,
        sequence: u32,
    },
    /// An answer was acknowledged; a later packet shows whether it had ended there.
    Answered(Answer),
}

/// An answer of which some part was acknowledged.
#[derive(Debug, Clone, Copy)]
struct Answer {
    /// When the latest acknowledgement was seen.
    at: Duration,
    /// The acknowledgement number.
    acknowledged: u32,
    /// The sequence number of the caller's packets until its next request.
    sequence: u32,
}

impl Sample {
    fn at(&self) -> Duration {
        match self {
            Sample::Opening { at, .. } | Sample::Data { at, .. } => *at,
            Sample::Answered(answer) => answer.at,
        }
    }
}

/// Samples TCP flows at one traffic thread.
///
/// Answers go straight from the backend server to the caller, so a balancer sees only the caller's
/// packets, and of those only the part that the fabric sends to it. A sample is a pair of packets of
/// one flow that both pass here: the opening and the packet after it, or data and the
/// acknowledgement of an answer. With 8 balancers, about an eighth of the first packets is followed
/// by the second one at the same balancer. That fraction is the same for every server, so means and
/// comparisons hold, but absolute counts of answers mean nothing.
///
/// Each service needs its own tracker, since it depends on the size of the answers which
/// acknowledgements can be timed.
///
/// Memory is bounded: a thread keeps at most `capacity` open samples. A pair that takes longer than
/// `patience` isn't counted, as it contains a pause of the caller; such samples are dropped when
/// there is no room.
#[derive(Debug)]
pub struct Tracker {
    samples: Map<Key, Sample>,
    capacity: usize,
    patience: Duration,
    last_sweep: Duration,
    /// Fraction of the first acknowledgements that were immediate.
    prompt: f64,
    /// Fraction of the answers that went on after a pause, as those of feeds do. It is 1 until
    /// answers are seen to end, so that an unknown service's feeds aren't taken for slow answers.
    streaming: f64,
}

impl Tracker {
    /// Creates a tracker without samples.
    #[must_use]
    pub fn new(capacity: usize, patience: Duration) -> Self {
        Tracker {
            samples: Map::default(),
            capacity,
            patience,
            last_sweep: Duration::ZERO,
            prompt: 0.0,
            streaming: 1.0,
        }
    }

    /// Returns the number of open samples.
    #[must_use]
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Returns whether there are no open samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Observes a packet to `server` of a flow of `class`. Only packets that this balancer got from
    /// the fabric count, not those that a peer forwarded.
    ///
    /// This doesn't call [`Tally::opened`]; [`crate::gate::Gate::place`] does, at the balancer that
    /// places the flow.
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
        if let Some(sample) = self.samples.remove(&packet.key)
            && let Some(sample) = self.resolve(sample, packet, server, now, tally)
        {
            self.samples.insert(packet.key, sample);
        }
        match packet.kind {
            Kind::Closing | Kind::Reset => {
                self.samples.remove(&packet.key);
                tally.closed(server, class);
            }
            _ if packet.payload > 0 && !self.samples.contains_key(&packet.key) => {
                tally.asked(server);
                let data = Sample::Data {
                    at: now,
                    acknowledged: packet.acknowledgement,
                    sequence: packet.sequence.wrapping_add(packet.payload.into()),
                };
                self.keep(packet.key, data, now);
            }
            _ => {}
        }
    }

    /// Evaluates the next packet of a sampled flow. Returns the flow's sample from now on, if any.
    fn resolve(
        &mut self,
        sample: Sample,
        packet: &Packet,
        server: Server,
        now: Duration,
        tally: &mut Tally,
    ) -> Option<Sample> {
        let took = now.saturating_sub(sample.at());
        if took > self.patience {
            return None;
        }
        match sample {
            Sample::Opening { isn, .. } => {
                // Only the handshake's last packet and the first data carry this sequence number.
                // With a later packet, the network time would include the time of the answer.
                if packet.sequence == isn.wrapping_add(1) {
                    tally.completed(server, took);
                }
                None
            }
            Sample::Data {
                acknowledged,
                sequence,
                ..
            } => {
                let Some(advance) = advance(packet, acknowledged) else {
                    return Some(sample);
                };
                let timed = self.is_server_time(packet, advance, took);
                tally.answered(server, timed.then_some(took));
                let is_first = packet.sequence == sequence && is_pure(packet);
                is_first.then_some(Sample::Answered(Answer {
                    at: now,
                    acknowledged: packet.acknowledgement,
                    sequence,
                }))
            }
            Sample::Answered(answer) => {
                let answer = self.follow_answer(answer, packet, now);
                answer.map(Sample::Answered)
            }
        }
    }

    /// Learns from the next packet after an answer's acknowledgement whether the answer had ended there.
    /// Returns the answer if that is still open.
    ///
    /// A packet with another sequence number shows nothing, as a request in between may have passed
    /// through another balancer. Nor does an acknowledgement on a packet with data or FIN, which comes
    /// when the caller chooses, unless it acknowledges nothing more.
    fn follow_answer(&mut self, answer: Answer, packet: &Packet, now: Duration) -> Option<Answer> {
        if packet.sequence != answer.sequence {
            return None;
        }
        let paused = now.saturating_sub(answer.at) > MAX_ACK_DELAY;
        match (advance(packet, answer.acknowledged), is_pure(packet)) {
            (None, true) => Some(answer),
            (None, false) => {
                self.learn_streaming(false);
                None
            }
            (Some(_), true) if paused => {
                self.learn_streaming(true);
                None
            }
            (Some(_), true) => Some(Answer {
                at: now,
                acknowledged: packet.acknowledgement,
                ..answer
            }),
            (Some(_), false) => None,
        }
    }

    fn learn_streaming(&mut self, streams: bool) {
        self.streaming += (f64::from(u8::from(streams)) - self.streaming) / STREAMING_SAMPLES;
    }

    /// Returns whether `took`, the time until an acknowledgement that advanced by `advance` bytes,
    /// is the server's answer time.
    ///
    /// Callers delay the acknowledgement of a single segment by tens of milliseconds, which is more
    /// than most requests take; with that delay counted, fast servers would look as slow as slow
    /// ones. Packets with data or FIN come at a time that the caller chooses.
    ///
    /// An acknowledgement that comes later than the longest delay may be for data that the server
    /// sent long after its answer, such as the lines of a live feed, most of which are acknowledged
    /// through other balancers. If the seconds between two lines were taken for an answer time, idle
    /// servers would look busy (`event=refusing` with a capacity below one flow a second) and new
    /// flows would be refused. Late acknowledgements are therefore timed only where answers are known
    /// to end, and those of few bytes never.
    fn is_server_time(&mut self, packet: &Packet, advance: u32, took: Duration) -> bool {
        if !is_pure(packet) || advance > INITIAL_WINDOW {
            return false;
        }
        let prompt = advance >= PROMPT_BYTES;
        self.prompt += (f64::from(u8::from(prompt)) - self.prompt) / PROMPT_SAMPLES;
        let is_late = took > MAX_ACK_DELAY;
        match prompt {
            true => !is_late || self.streaming < MAX_STREAMING,
            false => !is_late && self.prompt < MIN_PROMPT,
        }
    }

    fn keep(&mut self, key: Key, sample: Sample, now: Duration) {
        if self.samples.len() >= self.capacity
            && now.saturating_sub(self.last_sweep) >= self.patience
        {
            // A sweep visits the whole map, so it runs at most once per `patience`.
            self.last_sweep = now;
            let patience = self.patience;
            self.samples
                .retain(|_, sample| now.saturating_sub(sample.at()) < patience);
        }
        if self.samples.len() < self.capacity {
            self.samples.insert(key, sample);
        }
    }
}

/// Returns by how many bytes a packet acknowledges more than `acknowledged`, if it does.
fn advance(packet: &Packet, acknowledged: u32) -> Option<u32> {
    let advance = packet.acknowledgement.wrapping_sub(acknowledged);
    (advance as i32 > 0).then_some(advance)
}

/// Returns whether a packet only acknowledges.
fn is_pure(packet: &Packet) -> bool {
    packet.payload == 0 && packet.kind == Kind::Middle
}
