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

/// Between two ticks, as in the daemon.
const TICK: Duration = Duration::from_millis(50);
/// Bytes of the length before a frame on TCP.
pub const LENGTH: usize = 8;
/// Bytes of TCP and IP headers of a segment: 20 (RFC 9293) + 12 of timestamps (RFC 7323) + 20
/// (RFC 791).
pub const HEADERS: usize = 52;
/// Bytes of payload in a segment on Ethernet: 1,500 less the headers.
const SEGMENT: usize = 1_448;
/// Unix time at the start.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Numbers of servers count from 1 in the order of the configuration: a server other than the
/// base of most buckets.
const PINNED_TO: u16 = 1;
/// The address of the service whose first server the changes drain and put back.
const CHANGED: Ipv4Addr = Ipv4Addr::new(10, 77, 0, 0);

/// Bytes on the network of a frame, its headers included.
///
/// ```
/// use acacia_bench::control::fleet::wire;
/// assert_eq!(wire(100), 100 + 8 + 52);
/// assert_eq!(wire(2_000), 2_000 + 8 + 2 * 52);
/// ```
#[must_use]
pub fn wire(frame: usize) -> usize {
    let payload = frame + LENGTH;
    payload + payload.div_ceil(SEGMENT) * HEADERS
}

/// What control costs one balancer, on average.
#[derive(Debug, Clone, Copy, Default)]
pub struct Cost {
    /// Heartbeats sent, in bytes a second, headers included.
    pub heartbeats: f64,
    /// Urgent and bulk messages sent, in bytes a second, headers included.
    pub rest: f64,
    /// TCP acknowledgements of what it receives, in bytes a second: at most one for each segment.
    pub acks: f64,
    /// Processor time, in microseconds a second.
    pub micros: f64,
    /// Calls to the platform's store, by all balancers together, a second.
    pub calls: f64,
}

impl Cost {
    /// All messages sent.
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

/// Counts since the last reset, over all balancers.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    since: Duration,
    heartbeats: usize,
    rest: usize,
    segments: usize,
    calls: u64,
    processor: Duration,
}

/// Balancers joined by queues.
pub struct Fleet {
    balancers: Vec<Balancer>,
    frames: VecDeque<(usize, Vec<u8>)>,
    store: Store,
    config: Config,
    now: Duration,
    changed: u64,
    tally: Tally,
}

impl Fleet {
    /// Balancers that have just started.
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
            changed: 0,
            tally: Tally::default(),
        })
    }

    /// Gives each flow's two owners its pin, until each has about as many as wanted. Balancers that
    /// have not joined yet would drop them again.
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

    /// Lets bulk messages wait for the byte budget of `acacia_peer`, as in the daemon.
    pub fn keep_budget(&mut self) {
        let settings = acacia_peer::Settings::new(0, ([127, 0, 0, 1], 0).into(), 0);
        for own in &mut self.balancers {
            own.bucket = Some(Bucket::new(settings.rate, settings.burst, self.now));
        }
    }

    /// Whether every balancer has tables in force in which the changed server is as the latest
    /// change wants it.
    #[must_use]
    pub fn is_in_force(&self) -> bool {
        let wanted = match self.changed % 2 {
            1 => State::Draining,
            _ => State::Up,
        };
        let state = |view: &View| {
            let mut entries = view.snapshot.services.values();
            let first = entries.find(|entry| entry.service.address.ip == CHANGED);
            first.and_then(|entry| Some(entry.service.servers.get(&PINNED_TO)?.state))
        };
        let mut views = self.balancers.iter().map(|own| own.view.as_ref());
        views.all(|view| view.and_then(state) == Some(wanted))
    }

    /// Forgets what was counted.
    pub fn reset(&mut self) {
        self.tally = Tally {
            since: self.now,
            calls: self.store.calls,
            ..Tally::default()
        };
    }

    /// What control has cost since the last reset.
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

    /// Puts a new process in the place of the first balancer, which ends at once.
    pub fn replace(&mut self) -> anyhow::Result<()> {
        let first = &self.balancers[0];
        let (incarnation, peers) = (first.incarnation + 1_000_000, self.balancers.len() as u16);
        self.balancers[0] = Balancer::new(0, peers, incarnation, self.now)?;
        Ok(())
    }

    /// Whether the owners' set is that of all balancers again, at every one of them.
    #[must_use]
    pub fn is_steady(&self) -> bool {
        let views = self.balancers.iter().filter_map(|own| own.view.as_ref());
        let steady = views.filter(|view| {
            let snapshot = &view.snapshot;
            snapshot.owner && snapshot.steady && snapshot.settled.len() == self.balancers.len()
        });
        steady.count() == self.balancers.len()
    }

    /// Pins that a balancer holds, on average.
    #[must_use]
    pub fn pins(&self) -> usize {
        let all: usize = self.balancers.iter().map(Balancer::pins).sum();
        all / self.balancers.len().max(1)
    }

    /// Urgent and bulk bytes that all balancers together have sent since the last reset.
    #[must_use]
    pub fn rest(&self) -> usize {
        self.tally.rest
    }

    /// How many balancers may serve.
    #[must_use]
    pub fn serving(&self) -> usize {
        let serving = self.balancers.iter().filter(|own| own.view.is_some());
        serving.count()
    }

    /// Lets time pass.
    pub fn run(&mut self, time: Duration, size: &Size) {
        let end = self.now + time;
        let begin = self.now;
        while self.now < end {
            self.now += TICK;
            // The first after half of the time between two, so that their effects are counted.
            let due = |time: Duration| time.as_secs_f64() / 60.0 * f64::from(size.changes) + 0.5;
            if due(self.now - begin).floor() > due(self.now - begin - TICK).floor() {
                self.change();
            }
            self.turn();
        }
    }

    /// Puts a change into the store.
    pub fn change(&mut self) {
        self.changed += 1;
        if let Ok(document) = change(Some(&self.store.config), self.config.clone(), self.changed) {
            self.store.config = document;
        }
    }

    /// One tick of every balancer, with all messages and answers that come of it.
    fn turn(&mut self) {
        let answers = self.store.answers(self.now);
        let start = cpu::thread();
        for (by, event) in answers {
            self.balancers[by]
                .core
                .handle_platform_event(self.now, event);
        }
        let mut orders = Vec::new();
        for at in 0..self.balancers.len() {
            let own = &mut self.balancers[at];
            let outcome = own.core.tick(self.now, EPOCH + self.now, &own.shards);
            own.incarnation = outcome.incarnation;
            own.view = outcome.view;
            orders.extend(outcome.platform_calls.into_iter().map(|order| (at, order)));
            self.send(at, outcome.outgoing);
        }
        while let Some((to, frame)) = self.frames.pop_front() {
            self.receive(to, &frame);
        }
        self.tally.processor += cpu::thread() - start;
        for (by, order) in orders {
            self.store.call(by, order, self.now);
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
        let own = &mut self.balancers[from];
        own.sequence += 1;
        let envelope = Envelope {
            sender: from as u16,
            incarnation: own.incarnation,
            sequence: own.sequence,
        };
        let payload = Payload {
            to: outgoing.to,
            echo: Some(Echo {
                incarnation: own.incarnation,
                sequence: own.sequence,
            }),
            body: postcard::to_allocvec(&outgoing.message).ok(),
        };
        let frame = seal(&envelope, &payload, &scene::secret());
        let bytes = wire(frame.len());
        if let Some(bucket) = &mut own.bucket {
            bucket.charge(frame.len() + LENGTH);
        }
        match outgoing.class {
            Class::Heartbeat => self.tally.heartbeats += bytes,
            _ => self.tally.rest += bytes,
        }
        self.tally.segments += (frame.len() + LENGTH).div_ceil(SEGMENT);
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
        let own = &mut self.balancers[to];
        let answers = own.core.receive(self.now, &envelope, message, &own.shards);
        self.send(to, answers.unwrap_or_default());
    }
}

impl fmt::Debug for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Fleet({})", self.balancers.len())
    }
}
