use std::{collections::VecDeque, fmt, net::Ipv4Addr, time::Duration};

use acacia_config::Config;
use acacia_flow::{
    pin::{Phase, Pin},
    rank::{Node, top_two},
    snapshot::State,
};
use acacia_node::{control::core::Outgoing, message::Message, view::View};
use acacia_peer::{Bucket, Class, Echo, Payload};
use acacia_wire::{
    control::{Envelope, open, seal},
    flow::{Key, Protocol, mix},
};

use super::{
    balancer::Balancer,
    size::{Size, change},
    store::Store,
};
use crate::speed::{cpu, scene};

/// Interval between two ticks, as in the daemon.
const TICK: Duration = Duration::from_millis(50);
/// Size of the length prefix of a frame on TCP, in bytes.
pub const LENGTH: usize = 8;
/// Size of a segment's TCP and IP headers in bytes: 20 (RFC 9293) + 12 for timestamps (RFC 7323) +
/// 20 (RFC 791).
pub const HEADERS: usize = 52;
/// Payload of a full segment on Ethernet in bytes: the MTU of 1,500 less the headers.
const SEGMENT_PAYLOAD: usize = 1_448;
/// Unix time at the start of the simulation.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Backend server that all pins refer to. Servers are numbered from 1 in the order of the
/// configuration, and this one is not the base server of most buckets.
const PINNED_TO: u16 = 1;
/// Address of the service whose first backend server the changes drain and return to service.
const CHANGED_SERVICE: Ipv4Addr = Ipv4Addr::new(10, 77, 0, 0);

/// Returns the bytes that a frame takes on the network, including TCP and IP headers.
///
/// ```
/// use acacia_bench::control::fleet::wire_size;
/// assert_eq!(wire_size(100), 100 + 8 + 52);
/// assert_eq!(wire_size(2_000), 2_000 + 8 + 2 * 52);
/// ```
#[must_use]
pub fn wire_size(frame: usize) -> usize {
    let payload = frame + LENGTH;
    payload + payload.div_ceil(SEGMENT_PAYLOAD) * HEADERS
}

/// Average cost of the control plane per balancer.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// Heartbeats sent, in bytes per second including headers.
    pub heartbeats: f64,
    /// Urgent and bulk messages sent, in bytes per second including headers.
    pub rest: f64,
    /// Upper bound of the TCP acknowledgements sent, in bytes per second: one per received segment.
    pub acks: f64,
    /// CPU time, in microseconds per second.
    pub micros: f64,
    /// Calls per second to the platform's store, by all balancers together.
    pub calls: f64,
}

impl Cost {
    /// All messages sent, in bytes per second.
    #[must_use]
    pub fn sent(&self) -> f64 {
        self.heartbeats + self.rest
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent_bytes_per_second={:.0} heartbeat_bytes_per_second={:.0} \
             tcp_acknowledgement_bytes_per_second={:.0} processor_micros_per_second={:.0} \
             store_calls_per_second={:.2}",
            self.sent(),
            self.heartbeats,
            self.acks,
            self.micros,
            self.calls
        )
    }
}

/// Counters since the last reset, summed over all balancers.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    since: Duration,
    heartbeats: usize,
    rest: usize,
    segments: usize,
    calls: u64,
    processor: Duration,
}

/// Simulated group of balancers, connected by in-memory queues.
pub struct Fleet {
    balancers: Vec<Balancer>,
    frames: VecDeque<(usize, Vec<u8>)>,
    store: Store,
    config: Config,
    now: Duration,
    change_count: u64,
    tally: Tally,
}

impl Fleet {
    /// Creates a group whose balancers have just started.
    pub fn new(size: &Size, seed: u64) -> anyhow::Result<Self> {
        let config = size.config();
        let now = Duration::from_secs(1_000);
        let balancers: Vec<Balancer> = (0..size.peers)
            .map(|id| Balancer::new(id, size.peers, 1_000 + u64::from(id) + (seed << 16), now))
            .collect::<Result<_, _>>()?;
        let document = change(None, config.clone(), 0)?;
        Ok(Fleet {
            balancers,
            frames: VecDeque::new(),
            store: Store::new(document),
            config,
            now,
            change_count: 0,
            tally: Tally::default(),
        })
    }

    /// Adds pins at the two owners of each flow until every balancer holds about the configured number.
    /// Call this after the balancers have joined; before that they would drop the pins.
    pub fn pin(&self, size: &Size, seed: u64) {
        let nodes: Vec<Node> = (0..size.peers)
            .map(|id| Node { id, incarnation: 0 })
            .collect();
        let pin = Pin {
            synced_at: self.now.as_secs() as u32,
            isn: 1,
            server: PINNED_TO,
            phase: Phase::Open,
            short_lived: false,
            queries: 0,
        };
        let flows = u64::from(size.pins) * u64::from(size.peers) / 2;
        for flow in 0..flows {
            let draw = mix(mix(seed) ^ flow);
            let key = Key {
                client: Ipv4Addr::from_bits(0x0a00_0000 | (draw >> 40) as u32),
                service: Ipv4Addr::new(10, 77, 0, (flow % u64::from(size.services)) as u8),
                client_port: 1_024 + (draw as u16 >> 1),
                service_port: 443,
                protocol: Protocol::Tcp,
            };
            for owner in top_two(key.hash(), &nodes).into_iter().flatten() {
                let shards = &self.balancers[usize::from(owner.id)].shards;
                shards.of(key.hash()).store(key, pin);
            }
        }
    }

    /// Limits bulk messages to the byte budget of `acacia_peer`, as in the daemon.
    pub fn enforce_byte_budget(&mut self) {
        let settings = acacia_peer::Settings::new(0, ([127, 0, 0, 1], 0).into(), 0);
        for balancer in &mut self.balancers {
            balancer.bucket = Some(Bucket::new(settings.rate, settings.burst, self.now));
        }
    }

    /// Returns whether the latest change to the server is in force in the tables of every balancer.
    #[must_use]
    pub fn is_in_force(&self) -> bool {
        let wanted = match self.change_count % 2 {
            1 => State::Draining,
            _ => State::Up,
        };
        let state = |view: &View| {
            let mut entries = view.snapshot.services.values();
            let first = entries.find(|entry| entry.service.address.ip == CHANGED_SERVICE);
            first.and_then(|entry| Some(entry.service.servers.get(&PINNED_TO)?.state))
        };
        let mut views = self.balancers.iter().map(|balancer| balancer.view.as_ref());
        views.all(|view| view.and_then(state) == Some(wanted))
    }

    /// Resets the counters.
    pub fn reset(&mut self) {
        self.tally = Tally {
            since: self.now,
            calls: self.store.calls,
            ..Tally::default()
        };
    }

    /// Returns the cost of the control plane since the last reset.
    #[must_use]
    pub fn cost(&self) -> Cost {
        let seconds = (self.now - self.tally.since).as_secs_f64();
        let each = seconds * self.balancers.len() as f64;
        Cost {
            heartbeats: self.tally.heartbeats as f64 / each,
            rest: self.tally.rest as f64 / each,
            acks: (self.tally.segments * HEADERS) as f64 / each,
            micros: self.tally.processor.as_secs_f64() * 1e6 / each,
            calls: (self.store.calls - self.tally.calls) as f64 / seconds,
        }
    }

    /// Stops the first balancer immediately and starts a new process in its place.
    pub fn replace(&mut self) -> anyhow::Result<()> {
        let first = &self.balancers[0];
        let (incarnation, peers) = (first.incarnation + 1_000_000, self.balancers.len() as u16);
        self.balancers[0] = Balancer::new(0, peers, incarnation, self.now)?;
        Ok(())
    }

    /// Returns whether the owner set of every balancer contains all balancers again.
    #[must_use]
    pub fn is_steady(&self) -> bool {
        let views = self
            .balancers
            .iter()
            .filter_map(|balancer| balancer.view.as_ref());
        let steady = views.filter(|view| {
            let snapshot = &view.snapshot;
            snapshot.owner && snapshot.steady && snapshot.settled.len() == self.balancers.len()
        });
        steady.count() == self.balancers.len()
    }

    /// Returns the average number of pins per balancer.
    #[must_use]
    pub fn pins(&self) -> usize {
        let all: usize = self.balancers.iter().map(Balancer::pins).sum();
        all / self.balancers.len().max(1)
    }

    /// Returns the urgent and bulk bytes sent by all balancers since the last reset.
    #[must_use]
    pub fn rest(&self) -> usize {
        self.tally.rest
    }

    /// Returns the number of balancers that are allowed to serve.
    #[must_use]
    pub fn serving(&self) -> usize {
        let serving = self
            .balancers
            .iter()
            .filter(|balancer| balancer.view.is_some());
        serving.count()
    }

    /// Advances the virtual time.
    pub fn run(&mut self, time: Duration, size: &Size) {
        let end = self.now + time;
        let begin = self.now;
        while self.now < end {
            self.now += TICK;
            // The first change comes after half an interval, so that the effects of all are measured.
            let due = |time: Duration| time.as_secs_f64() / 60.0 * f64::from(size.changes) + 0.5;
            if due(self.now - begin).floor() > due(self.now - begin - TICK).floor() {
                self.change();
            }
            self.tick();
        }
    }

    /// Writes a configuration change to the store.
    pub fn change(&mut self) {
        self.change_count += 1;
        if let Ok(document) = change(
            Some(&self.store.config),
            self.config.clone(),
            self.change_count,
        ) {
            self.store.config = document;
        }
    }

    /// Runs one tick of every balancer and delivers all resulting messages and answers.
    fn tick(&mut self) {
        let answers = self.store.answers(self.now);
        let start = cpu::thread();
        for (balancer, event) in answers {
            self.balancers[balancer]
                .core
                .handle_platform_event(self.now, event);
        }
        let mut calls = Vec::new();
        for at in 0..self.balancers.len() {
            let balancer = &mut self.balancers[at];
            let outcome = balancer
                .core
                .tick(self.now, EPOCH + self.now, &balancer.shards);
            balancer.incarnation = outcome.incarnation;
            balancer.view = outcome.view;
            calls.extend(outcome.platform_calls.into_iter().map(|call| (at, call)));
            self.send(at, outcome.outgoing);
        }
        while let Some((to, frame)) = self.frames.pop_front() {
            self.receive(to, &frame);
        }
        self.tally.processor += cpu::thread() - start;
        for (balancer, call) in calls {
            self.store.call(balancer, call, self.now);
        }
    }

    fn send(&mut self, from: usize, messages: Vec<Outgoing>) {
        for outgoing in messages {
            match outgoing.class {
                Class::Bulk => self.balancers[from].waiting.push_back(outgoing),
                _ => self.transmit(from, &outgoing),
            }
        }
        while let Some(outgoing) = self.balancers[from].next_bulk(self.now) {
            self.transmit(from, &outgoing);
        }
    }

    fn transmit(&mut self, from: usize, outgoing: &Outgoing) {
        let balancer = &mut self.balancers[from];
        balancer.sequence += 1;
        let envelope = Envelope {
            sender: from as u16,
            incarnation: balancer.incarnation,
            sequence: balancer.sequence,
        };
        let payload = Payload {
            to: outgoing.to,
            echo: Some(Echo {
                incarnation: balancer.incarnation,
                sequence: balancer.sequence,
            }),
            body: postcard::to_allocvec(&outgoing.message).ok(),
        };
        let frame = seal(&envelope, &payload, &scene::secret());
        let bytes = wire_size(frame.len());
        if let Some(bucket) = &mut balancer.bucket {
            bucket.charge(frame.len() + LENGTH);
        }
        match outgoing.class {
            Class::Heartbeat => self.tally.heartbeats += bytes,
            _ => self.tally.rest += bytes,
        }
        self.tally.segments += (frame.len() + LENGTH).div_ceil(SEGMENT_PAYLOAD);
        self.frames.push_back((usize::from(outgoing.to), frame));
    }

    fn receive(&mut self, to: usize, frame: &[u8]) {
        let Ok((envelope, payload)) = open::<Payload>(frame, &scene::secret()) else {
            return;
        };
        let body = payload.body.unwrap_or_default();
        let Ok(message) = postcard::from_bytes::<Message>(&body) else {
            return;
        };
        let balancer = &mut self.balancers[to];
        let answers = balancer
            .core
            .receive(self.now, &envelope, message, &balancer.shards);
        self.send(to, answers.unwrap_or_default());
    }
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fleet({})", self.balancers.len())
    }
}
