use std::{collections::BTreeMap, sync::Arc, time::Instant};

use acacia_flow::{
    control::{Stage, Tables},
    place::by_table,
    rank::Node,
    resolve,
    snapshot::{Address, Server, Service, State},
    table::build,
    verdict::{Action, Arrival},
};
use acacia_wire::{
    encap::Redirect,
    flow::{Key, Protocol},
    packet::{Kind, Packet},
};
use anyhow::Context as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Options,
    balancer::{Balancer, Message},
    case::{Case, Change},
    policy::Policy,
    wheel::Wheel,
};

/// Milliseconds between two balancers, and from a server's answer to the caller's next packet.
const DELAY: u64 = 1;
const ANSWER: u64 = 3;
/// Milliseconds between two turns of the control threads.
const TURN: u64 = 100;
/// Milliseconds after which the platform's list shows that a process has ended.
const LISTED: u64 = 6_000;
/// Mean milliseconds between two packets of a feed; a third of all feeds is silent throughout.
const FEED: f64 = 60_000.0;
/// Milliseconds that a short flow is open.
const SHORT: u64 = 2_000;
/// Milliseconds over which the feeds are opened at first.
const RAMP: u64 = 15_000;
/// Resends after which a caller gives up.
const RESENDS: u8 = 9;
/// A server's number that stands for none.
const NONE: u16 = u16::MAX;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Open,
    Acknowledge,
    Send,
    Close,
}

#[derive(Debug, Clone, Copy)]
struct Flow {
    number: u32,
    server: u16,
    step: Step,
    resends: u8,
    feed: bool,
    broken: bool,
}

enum Event {
    Due(u32),
    Packet {
        to: u16,
        from: u16,
        flow: u32,
        step: Step,
        header: Redirect,
    },
    Message {
        to: u16,
        from: Node,
        message: Message,
    },
    Tables {
        to: u16,
        tables: Tables,
    },
}

/// Runs one case and gives its line.
pub fn run(options: &Options, case: Case, policy: Policy, seed: u64) -> anyhow::Result<String> {
    let started = Instant::now();
    let mut fleet = Fleet::new(options, policy, seed)?;
    fleet.ramp();
    fleet.reset_counts();
    let begun = fleet.now;
    let end = begun + 1_000 * options.seconds.max(case.seconds(options.balancers));
    let mut changes = case
        .timeline(options.balancers, options.servers)
        .into_iter()
        .peekable();
    while fleet.now < end {
        while let Some((_, change)) = changes.next_if(|(at, _)| fleet.now >= begun + at * 1_000) {
            fleet.apply(change);
        }
        fleet.tick();
    }
    fleet.finish();
    Ok(fleet.line(case, seed, started.elapsed().as_secs_f64()))
}

struct Fleet<'a> {
    options: &'a Options,
    policy: Policy,
    rng: Pcg64Mcg,
    now: u64,
    counted_since: u64,
    balancers: Vec<Balancer>,
    tables: Tables,
    spread: u64,
    cut: bool,
    ended: Vec<(Node, u64)>,
    replacing: BTreeMap<u16, u64>,
    flows: Vec<Flow>,
    free: Vec<u32>,
    wheel: Wheel<Event>,
    next: u32,
    openings_due: f64,
    packets: u64,
    redirected: u64,
    dropped: u64,
    opened: u64,
    broken: u64,
    given_up: u64,
    peak_state: usize,
    decided: u64,
}

impl<'a> Fleet<'a> {
    fn new(options: &'a Options, policy: Policy, seed: u64) -> anyhow::Result<Self> {
        let now = 1_000_000;
        let tables = tables(options);
        let mut fleet = Fleet {
            options,
            policy,
            rng: Pcg64Mcg::seed_from_u64(seed),
            now,
            counted_since: now,
            balancers: Vec::new(),
            tables: tables.clone(),
            spread: 1_500,
            cut: false,
            ended: Vec::new(),
            replacing: BTreeMap::new(),
            flows: Vec::new(),
            free: Vec::new(),
            wheel: Wheel::new(now),
            next: 0,
            openings_due: 0.0,
            packets: 0,
            redirected: 0,
            dropped: 0,
            opened: 0,
            broken: 0,
            given_up: 0,
            peak_state: 0,
            decided: 0,
        };
        let nodes = (0..options.balancers).map(|id| Node { id, incarnation: 1 });
        let all: Vec<(Node, Stage)> = nodes.map(|node| (node, Stage::Joining)).collect();
        for &(node, _) in &all {
            let others: Vec<_> = all
                .iter()
                .copied()
                .filter(|(other, _)| *other != node)
                .collect();
            fleet
                .balancers
                .push(Balancer::new(node, &tables, &others, now));
        }
        for _ in 0..10_000 {
            fleet.control_tick();
        }
        let ready = |balancer: &Balancer| balancer.control.stage() == Stage::Ready;
        let ready = fleet.balancers.iter().all(ready);
        ready
            .then_some(fleet)
            .context("the balancers did not become ready")
    }

    /// Opens the feeds.
    fn ramp(&mut self) {
        let shorts =
            u64::from(self.options.opens) * u64::from(self.options.balancers) * SHORT / 1_000;
        let feeds = u64::from(self.options.flows).saturating_sub(shorts);
        let mut opened = 0;
        for ms in 1..=RAMP {
            while opened < feeds * ms / RAMP {
                self.start_flow(true);
                opened += 1;
            }
            self.tick();
        }
    }

    fn reset_counts(&mut self) {
        (self.packets, self.redirected, self.dropped) = (0, 0, 0);
        self.counted_since = self.now;
        for balancer in &mut self.balancers {
            (balancer.sent, balancer.second, balancer.peak) = (0, 0, 0);
        }
    }

    /// One millisecond with callers.
    fn tick(&mut self) {
        let opens = f64::from(self.options.opens) * f64::from(self.options.balancers) / 1_000.0;
        self.openings_due += opens;
        while self.openings_due >= 1.0 {
            self.openings_due -= 1.0;
            self.start_flow(false);
        }
        self.control_tick();
    }

    fn control_tick(&mut self) {
        self.now += 1;
        for event in self.wheel.advance() {
            self.handle(event);
        }
        if self.now.is_multiple_of(TURN) {
            self.turn();
        }
        if self.now.is_multiple_of(1_000) {
            self.balancers.iter_mut().for_each(Balancer::end_second);
            let tracked = |balancer: &Balancer| balancer.shards.bytes() + balancer.tracked.bytes();
            let state = self.balancers.iter().map(tracked).sum();
            self.peak_state = self.peak_state.max(state);
        }
    }

    /// Every flow that is still open sends once more, also those idle throughout.
    fn finish(&mut self) {
        let open: Vec<u32> = (0..self.flows.len() as u32)
            .filter(|&at| {
                self.flows[at as usize].feed && self.flows[at as usize].step == Step::Send
            })
            .collect();
        for (count, &at) in open.iter().enumerate() {
            self.due(at);
            if count % 50 == 0 {
                self.control_tick();
            }
        }
        (0..3_000).for_each(|_| self.control_tick());
    }

    fn turn(&mut self) {
        let ended = self.ended.iter().filter(|(_, at)| self.now > at + LISTED);
        let ended: Vec<Node> = ended.map(|(node, _)| *node).collect();
        for at in 0..self.balancers.len() {
            if !self.balancers[at].running {
                continue;
            }
            let from = self.balancers[at].node;
            for (to, message) in self.balancers[at].turn(self.now, &ended) {
                self.post(from, to, message);
            }
        }
        self.go_on_replacing();
    }

    fn post(&mut self, from: Node, to: u16, message: Message) {
        if self.policy != Policy::Ours {
            // The baselines have no control traffic.
            return;
        }
        self.balancers[usize::from(from.id)].count(message.bytes());
        if !self.is_lost(from.id, to) {
            self.wheel.add(DELAY, Event::Message { to, from, message });
        }
    }

    fn is_lost(&mut self, from: u16, to: u16) -> bool {
        let half = self.options.balancers / 2;
        let apart = self.cut && (from < half) != (to < half);
        apart || self.rng.random_bool(self.options.loss)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Due(at) => self.due(at),
            Event::Packet {
                to,
                from,
                flow,
                step,
                header,
            } => {
                if self.balancers[usize::from(to)].running && !self.is_lost(from, to) {
                    self.arrive(to, flow, step, Arrival::Redirected(header));
                } else {
                    self.resend(flow, step);
                }
            }
            Event::Message { to, from, message } => {
                let balancer = &mut self.balancers[usize::from(to)];
                if !balancer.running {
                    return;
                }
                if let Some(answer) = balancer.receive(from, message, self.now) {
                    let sender = balancer.node;
                    self.post(sender, from.id, answer);
                }
            }
            Event::Tables { to, tables } => {
                let balancer = &mut self.balancers[usize::from(to)];
                balancer.control.set_tables(tables.clone(), self.now);
                balancer.tables = tables;
            }
        }
    }

    fn start_flow(&mut self, feed: bool) {
        let flow = Flow {
            number: self.next,
            server: NONE,
            step: Step::Open,
            resends: 0,
            feed,
            broken: false,
        };
        self.next += 1;
        self.opened += 1;
        let at = match self.free.pop() {
            Some(at) => {
                self.flows[at as usize] = flow;
                at
            }
            None => {
                self.flows.push(flow);
                self.flows.len() as u32 - 1
            }
        };
        self.due(at);
    }

    /// The caller of a flow sends its next packet through a balancer that the fabric chooses.
    fn due(&mut self, at: u32) {
        let flow = self.flows[at as usize];
        if flow.broken {
            return;
        }
        self.packets += 1;
        let to = loop {
            let to = self.rng.random_range(0..self.options.balancers);
            if self.balancers[usize::from(to)].running {
                break to;
            }
        };
        self.arrive(to, at, flow.step, Arrival::Ingress);
    }

    fn arrive(&mut self, to: u16, at: u32, step: Step, arrival: Arrival) {
        let packet = packet(self.flows[at as usize].number, step);
        let balancer = &mut self.balancers[usize::from(to)];
        self.decided += 1;
        if self.policy != Policy::Ours {
            let service = &balancer.tables.services[0];
            let hashed = service.next[service.bucket(packet.key.hash())];
            let server = match self.policy {
                Policy::Track => balancer.tracked.resolve(&packet.key, packet.kind, hashed),
                _ => hashed,
            };
            return self.deliver(at, step, server);
        }
        let hash = packet.key.hash();
        let mut shard = balancer.shards.of(hash);
        let snapshot = &balancer.snapshot;
        let verdict = resolve(
            snapshot,
            &mut shard,
            self.now,
            &packet,
            arrival,
            &mut by_table,
        );
        drop(shard);
        if let Some((peer, notice)) = verdict.notice {
            let from = balancer.node;
            self.post(from, peer, Message::Notice(notice));
        }
        match verdict.action {
            Action::Forward { server } => self.deliver(at, step, server),
            Action::Redirect { to: next, header } => {
                self.redirected += u64::from(arrival == Arrival::Ingress);
                let event = Event::Packet {
                    to: next,
                    from: to,
                    flow: at,
                    step,
                    header,
                };
                self.wheel.add(DELAY, event);
            }
            _ => self.resend(at, step),
        }
    }

    /// A packet reaches a server, which answers; the caller goes on.
    fn deliver(&mut self, at: u32, step: Step, server: u16) {
        let flow = &mut self.flows[at as usize];
        if step == Step::Open {
            flow.server = server;
        } else if flow.server != server {
            flow.broken = true;
            self.broken += 1;
            if !flow.feed {
                self.free.push(at);
            }
            return;
        }
        flow.resends = 0;
        let feed = flow.feed;
        let (next, delay) = match step {
            Step::Open => (Step::Acknowledge, ANSWER),
            Step::Acknowledge if feed => return self.wait_for_news(at),
            Step::Acknowledge => (Step::Send, ANSWER),
            Step::Send if feed => return self.wait_for_news(at),
            Step::Send => (Step::Close, SHORT),
            Step::Close => return self.free.push(at),
        };
        flow.step = next;
        self.wheel.add(delay, Event::Due(at));
    }

    fn wait_for_news(&mut self, at: u32) {
        let flow = &mut self.flows[at as usize];
        flow.step = Step::Send;
        if !flow.number.is_multiple_of(3) {
            let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
            self.wheel
                .add((-unit.ln() * FEED) as u64 + 1, Event::Due(at));
        }
    }

    /// A packet was dropped: the caller's transport sends it again, with growing pauses.
    fn resend(&mut self, at: u32, step: Step) {
        self.dropped += 1;
        let flow = &mut self.flows[at as usize];
        flow.resends += 1;
        if flow.resends > RESENDS {
            flow.broken = true;
            self.given_up += 1;
            if !flow.feed {
                self.free.push(at);
            }
            return;
        }
        let first = if step == Step::Open { 1_000 } else { 200 };
        self.wheel.add(first << (flow.resends - 1), Event::Due(at));
    }

    fn apply(&mut self, change: Change) {
        let id = |id: u16| usize::from(id);
        match change {
            Change::Drain(server) => self.publish(|service| {
                if let Some(entry) = service.servers.get_mut(&server) {
                    entry.state = State::Draining;
                }
            }),
            Change::Add(server) => self.publish(|service| {
                service.servers.insert(
                    server,
                    Server {
                        state: State::Up,
                        weight: 100,
                    },
                );
            }),
            Change::Reweight => self.publish(|service| {
                for (id, server) in &mut service.servers {
                    server.weight = match id % 3 {
                        0 => server.weight / 2,
                        1 => server.weight * 2,
                        _ => server.weight,
                    };
                }
            }),
            Change::Replace(at) => {
                self.balancers[id(at)].control.leave();
                self.replacing.insert(at, u64::MAX);
            }
            Change::Crash(at) => self.end(at),
            Change::Start(at) => self.start(at),
            Change::Cut => self.cut = true,
            Change::Heal => self.cut = false,
            Change::StoreDown => self.spread = 8_000,
        }
    }

    fn publish(&mut self, edit: impl FnOnce(&mut Service)) {
        self.tables.version += 1;
        let service = Arc::make_mut(&mut self.tables.services[0]);
        edit(service);
        let eligible = service
            .servers
            .iter()
            .filter(|(_, server)| server.is_eligible());
        let weights: Vec<_> = eligible.map(|(&id, server)| (id, server.weight)).collect();
        service.next = build(service.base.len(), &weights, &service.next).into();
        for to in 0..self.options.balancers {
            let delay = self.rng.random_range(1..=self.spread);
            self.wheel.add(
                delay,
                Event::Tables {
                    to,
                    tables: self.tables.clone(),
                },
            );
        }
    }

    fn end(&mut self, at: u16) {
        let balancer = &mut self.balancers[usize::from(at)];
        balancer.running = false;
        self.ended.push((balancer.node, self.now));
    }

    fn start(&mut self, at: u16) {
        let others = self.balancers.iter().filter(|other| other.running);
        let others: Vec<_> = others.map(|b| (b.node, b.control.stage())).collect();
        let old = &self.balancers[usize::from(at)];
        let node = Node {
            incarnation: old.node.incarnation + 1,
            ..old.node
        };
        let (sent, peak) = (old.sent, old.peak);
        let mut balancer = Balancer::new(node, &self.tables, &others, self.now);
        (balancer.sent, balancer.peak) = (sent, peak);
        self.balancers[usize::from(at)] = balancer;
    }

    /// A leaving balancer says goodbye once it may, serves the latecomers for a second, and ends.
    fn go_on_replacing(&mut self) {
        for (at, until) in self.replacing.clone() {
            let balancer = &self.balancers[usize::from(at)];
            let node = balancer.node;
            let may_leave = balancer.control.may_leave() || self.policy != Policy::Ours;
            if until == u64::MAX && may_leave {
                self.balancers[usize::from(at)].control.depart();
                let others = 0..self.options.balancers;
                others
                    .filter(|&to| to != at)
                    .for_each(|to| self.post(node, to, Message::Bye));
                self.replacing.insert(at, self.now + 1_000);
            } else if self.now >= until {
                self.replacing.remove(&at);
                self.end(at);
                self.start(at);
            }
        }
    }

    fn line(&self, case: Case, seed: u64, took: f64) -> String {
        let seconds = (self.now - self.counted_since) as f64 / 1_000.0;
        let sent = self
            .balancers
            .iter()
            .map(|balancer| balancer.sent as f64 / seconds);
        let mean = sent.clone().sum::<f64>() / self.balancers.len() as f64;
        let busiest = sent.fold(0.0, f64::max);
        let peak = self
            .balancers
            .iter()
            .map(|balancer| balancer.peak)
            .max()
            .unwrap_or(0);
        let stages = self
            .balancers
            .iter()
            .filter(|b| b.control.stage() == Stage::Ready)
            .count();
        let case = clap::ValueEnum::to_possible_value(&case);
        let case = case
            .map(|value| value.get_name().to_owned())
            .unwrap_or_default();
        format!(
            "case={case} policy={} seed={seed} broken={} given_up={} flows={} opened={} \
             balancers={} ready={stages} packets={} redirected={:.4} dropped={} \
             control_bps_mean={mean:.0} control_bps_busiest={busiest:.0} control_bps_peak={peak} \
             state_bytes={} state_bytes_per_flow={:.1} took_s={took:.1}",
            self.policy,
            self.broken,
            self.given_up,
            self.options.flows,
            self.opened,
            self.options.balancers,
            self.packets,
            self.redirected as f64 / self.packets.max(1) as f64,
            self.dropped,
            self.peak_state,
            self.peak_state as f64 / f64::from(self.options.flows),
        )
    }
}

fn tables(options: &Options) -> Tables {
    let weights: Vec<_> = (0..options.servers).map(|id| (id, 100)).collect();
    let table: Arc<[u16]> = build(options.buckets, &weights, &[]).into();
    let server = |id| {
        (
            id,
            Server {
                state: State::Up,
                weight: 100,
            },
        )
    };
    let service = Service {
        address: Address {
            ip: [198, 51, 100, 1].into(),
            port: 443,
            protocol: Protocol::Tcp,
        },
        since: 1,
        strict: false,
        base: Arc::clone(&table),
        next: table,
        servers: (0..options.servers).map(server).collect(),
    };
    Tables {
        version: 1,
        services: vec![Arc::new(service)],
    }
}

fn packet(number: u32, step: Step) -> Packet {
    let key = Key {
        client: (0x0a00_0000 + (number >> 15)).into(),
        service: [198, 51, 100, 1].into(),
        client_port: 16_384 + (number & 0x7fff) as u16,
        service_port: 443,
        protocol: Protocol::Tcp,
    };
    let (kind, payload) = match step {
        Step::Open => (Kind::Opening { isn: number }, 0),
        Step::Acknowledge => (Kind::Middle, 0),
        Step::Send => (Kind::Middle, 200),
        Step::Close => (Kind::Closing, 0),
    };
    Packet {
        key,
        kind,
        payload,
        sequence: number,
        acknowledgement: 1,
    }
}
