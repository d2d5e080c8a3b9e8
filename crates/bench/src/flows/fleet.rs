use std::{collections::BTreeMap, time::Instant};

use acacia_flow::{
    control::{Stage, Tables},
    rank::Node,
    verdict::Arrival,
};
use acacia_wire::encap::Redirect;
use anyhow::Context as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    Options,
    balancer::{Balancer, Message},
    case::Case,
    change::tables,
    policy::Policy,
    wheel::Wheel,
};

/// One-way delay between two balancers, in milliseconds.
pub(super) const PEER_DELAY_MS: u64 = 1;
/// Time from a packet's arrival at a server to the caller's next packet, in milliseconds.
pub(super) const ANSWER_DELAY_MS: u64 = 3;
/// Interval between iterations of the control threads, in milliseconds.
const CONTROL_INTERVAL_MS: u64 = 100;
/// Time until a process that has exited disappears from the platform's member list, in
/// milliseconds.
const PLATFORM_LIST_DELAY_MS: u64 = 6_000;
/// Mean interval between packets of a feed, in milliseconds. A third of all feeds stays idle.
pub(super) const FEED_INTERVAL_MS: f64 = 60_000.0;
/// Time from the data packet of a short flow to its close, in milliseconds.
pub(super) const SHORT_FLOW_MS: u64 = 2_000;
/// Period over which the initial feeds are opened, in milliseconds.
const RAMP_MS: u64 = 15_000;
/// Number of retransmissions after which a caller gives up.
pub(super) const MAX_RETRANSMISSIONS: u8 = 9;
/// Server number of a flow that no server has accepted yet.
pub(super) const NO_SERVER: u16 = u16::MAX;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    Open,
    Acknowledge,
    Send,
    Close,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Flow {
    pub(super) number: u32,
    pub(super) server: u16,
    pub(super) step: Step,
    pub(super) resends: u8,
    pub(super) feed: bool,
    pub(super) broken: bool,
}

pub(super) enum Event {
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

/// Runs one case and returns its result line.
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

pub(super) struct Fleet<'a> {
    pub(super) options: &'a Options,
    pub(super) policy: Policy,
    pub(super) rng: Pcg64Mcg,
    /// Virtual time in milliseconds.
    pub(super) now: u64,
    /// Virtual time at which the counters were last reset.
    pub(super) counted_since: u64,
    pub(super) balancers: Vec<Balancer>,
    pub(super) tables: Tables,
    /// Maximum delay of a new table on its way to a balancer, in milliseconds.
    pub(super) spread: u64,
    /// Whether a network partition separates the two halves of the balancers.
    pub(super) cut: bool,
    /// Processes that have exited, with the time of their exit.
    pub(super) ended: Vec<(Node, u64)>,
    /// Balancers under replacement, with the time of their exit; `u64::MAX` until they may leave.
    pub(super) replacing: BTreeMap<u16, u64>,
    pub(super) flows: Vec<Flow>,
    /// Unused indices of `flows`.
    pub(super) free: Vec<u32>,
    pub(super) wheel: Wheel<Event>,
    pub(super) next: u32,
    pub(super) openings_due: f64,
    pub(super) packets: u64,
    pub(super) redirected: u64,
    pub(super) dropped: u64,
    pub(super) opened: u64,
    pub(super) broken: u64,
    pub(super) given_up: u64,
    pub(super) peak_state: usize,
    pub(super) decided: u64,
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

    /// Opens the initial feeds at a constant rate.
    fn ramp(&mut self) {
        let shorts =
            u64::from(self.options.opens) * u64::from(self.options.balancers) * SHORT_FLOW_MS
                / 1_000;
        let feeds = u64::from(self.options.flows).saturating_sub(shorts);
        let mut opened = 0;
        for ms in 1..=RAMP_MS {
            while opened < feeds * ms / RAMP_MS {
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

    /// Simulates one millisecond, with new flows.
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
        if self.now.is_multiple_of(CONTROL_INTERVAL_MS) {
            self.turn();
        }
        if self.now.is_multiple_of(1_000) {
            self.balancers.iter_mut().for_each(Balancer::end_second);
            let ours = self.policy == Policy::Ours;
            let tracked = |balancer: &Balancer| match ours {
                true => balancer.shards.bytes(),
                false => balancer.tracked.bytes(),
            };
            let state = self.balancers.iter().map(tracked).sum();
            self.peak_state = self.peak_state.max(state);
        }
    }

    /// Sends one more packet on every feed that is still open, so that idle feeds are checked too.
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
        let ended = self
            .ended
            .iter()
            .filter(|(_, at)| self.now > at + PLATFORM_LIST_DELAY_MS);
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
        self.advance_replacements();
    }

    pub(super) fn post(&mut self, from: Node, to: u16, message: Message) {
        if self.policy != Policy::Ours {
            // The baselines have no control traffic.
            return;
        }
        self.balancers[usize::from(from.id)].count(message.bytes());
        if !self.is_lost(from.id, to) {
            self.wheel
                .schedule(PEER_DELAY_MS, Event::Message { to, from, message });
        }
    }

    pub(super) fn is_lost(&mut self, from: u16, to: u16) -> bool {
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
