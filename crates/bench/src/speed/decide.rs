use std::hint::black_box;

use acacia_flow::{
    Shards, Snapshot,
    place::by_table,
    resolve,
    shard::Limits,
    verdict::{Action, Arrival},
};
use acacia_wire::{
    control::Secret,
    encap::{self, Frame, NO_SERVER, Notified, Purpose, Redirect},
    flow::Key,
    packet::{self, Packet},
};
use anyhow::Context as _;

use super::{Options, cpu, median_and_range, scene};

/// Number of shards, as in the daemon.
const SHARDS: usize = 16;
/// New flows in one measurement. Stays below the number of opening flows that all shards together
/// can hold.
const NEW_FLOWS: usize = 100_000;
/// Packets in the cases that encode or decode bytes. Few enough for their buffers to stay in the
/// CPU caches, as the buffers of a receive batch do.
const PACKETS: usize = 4_096;

/// Counts of the decisions in one measurement, by action.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    forwarded: u64,
    redirected: u64,
    other: u64,
}

impl Tally {
    fn add(&mut self, action: &Action) {
        match action {
            Action::Forward { .. } => self.forwarded += 1,
            Action::Redirect { .. } => self.redirected += 1,
            _ => self.other += 1,
        }
    }
}

/// State of one balancer.
struct Node {
    snapshot: Snapshot,
    shards: Shards,
}

impl Node {
    fn new(flagged: bool) -> Self {
        Node {
            snapshot: scene::snapshot(flagged),
            shards: Shards::new(SHARDS, Limits::default()),
        }
    }

    fn decide(&self, packet: &Packet, arrival: Arrival) -> Action {
        let mut shard = self.shards.of(packet.key.hash());
        let (snapshot, place) = (&self.snapshot, &mut by_table);
        resolve(snapshot, &mut shard, scene::NOW, packet, arrival, place).action
    }

    fn pass(&self, packets: &[Packet], arrival: Arrival) -> Tally {
        let mut tally = Tally::default();
        for packet in packets {
            tally.add(&self.decide(packet, arrival));
        }
        tally
    }

    fn decode(&self, datagram: &[u8], secret: &Secret) -> anyhow::Result<Action> {
        let (arrival, bytes) = match encap::decode(datagram, secret)? {
            Frame::Plain(bytes) => (Arrival::Ingress, bytes),
            Frame::Redirected(redirect, bytes) => (Arrival::Redirected(redirect), bytes),
        };
        let packet = packet::parse(bytes, encap::PORT)?;
        Ok(self.decide(&packet, arrival))
    }
}

/// Header with which another balancer redirects a packet here for a decision.
fn resolve_request() -> Redirect {
    Redirect {
        purpose: Purpose::Resolve,
        hops: 1,
        sender: 1,
        server: NO_SERVER,
        passed_on: false,
        notified: Notified::default(),
    }
}

/// Creates a balancer that holds a pin for every flow, each past its opening packet.
fn pinned(keys: &[Key]) -> Node {
    let node = Node::new(true);
    let asked = Arrival::Redirected(resolve_request());
    for key in keys {
        node.decide(&scene::opening(key), asked);
        node.decide(&scene::middle(key), asked);
    }
    node
}

/// Runs the selected cases and prints one line for each.
pub fn run(options: &Options, seed: u64) -> anyhow::Result<()> {
    let owned = scene::keys(seed, options.flows, true);
    let others = scene::keys(seed, options.flows, false);
    let asked = Arrival::Redirected(resolve_request());
    let report = Report { options, seed };
    let middle: Vec<Packet> = owned.iter().map(scene::middle).collect();
    let opening: Vec<Packet> = owned.iter().take(NEW_FLOWS).map(scene::opening).collect();
    let foreign: Vec<Packet> = others.iter().map(scene::middle).collect();
    let foreign_opening: Vec<Packet> = others.iter().map(scene::opening).collect();

    let base = Node::new(false);
    report.measure_repeated("warm_base", &base, &middle, Arrival::Ingress)?;
    report.measure_repeated("new_base", &base, &opening, Arrival::Ingress)?;
    if report.wants_any(&["warm_pinned", "decode"]) {
        let owner = pinned(&owned);
        report.measure_repeated("warm_pinned_owner", &owner, &middle, asked)?;
        report.measure_repeated(
            "warm_pinned_owner_ingress",
            &owner,
            &middle,
            Arrival::Ingress,
        )?;
        report.measure_decode("decode_redirected", &owner, &owned, true)?;
    }
    let flagged = Node::new(true);
    report.measure_repeated("warm_pinned_ingress", &flagged, &foreign, Arrival::Ingress)?;
    report.measure_repeated(
        "new_pinned_ingress",
        &flagged,
        &foreign_opening,
        Arrival::Ingress,
    )?;
    report.measure_new_flows("new_pinned_owner", &opening, asked)?;
    report.measure_decode("decode_plain", &base, &owned, false)?;
    report.measure_encode(&owned)
}

/// Runs measurements and prints their results.
struct Report<'a> {
    options: &'a Options,
    seed: u64,
}

impl Report<'_> {
    fn wants_any(&self, names: &[&str]) -> bool {
        let cases = &self.options.cases;
        cases.is_empty()
            || cases
                .iter()
                .any(|case| names.iter().any(|n| case.starts_with(n)))
    }

    fn print(&self, case: &str, flows: usize, nanos: Vec<f64>, state: f64, tally: Tally) {
        let [median, least, most] = median_and_range(nanos);
        println!(
            "case={case} seed={} flows={flows} nanos={median:.1} nanos_least={least:.1} \
             nanos_most={most:.1} per_second={:.0} state_bytes_per_flow={state:.1} \
             forwarded={} redirected={}",
            self.seed,
            1e9 / median,
            tally.forwarded,
            tally.redirected
        );
    }

    /// Measures repeated decisions on the same packets, after a first pass that is not measured.
    fn measure_repeated(
        &self,
        case: &str,
        node: &Node,
        packets: &[Packet],
        arrival: Arrival,
    ) -> anyhow::Result<()> {
        if !self.options.wants(case) {
            return Ok(());
        }
        // The first pass warms up the CPU caches, as far as the state fits into them.
        let tally = node.pass(packets, arrival);
        anyhow::ensure!(tally.other == 0, "{case}: {} packets dropped", tally.other);
        let measure = |_| {
            let start = cpu::thread();
            black_box(node.pass(packets, arrival));
            nanos(start, packets.len())
        };
        let nanos = (0..self.options.rounds).map(measure).collect();
        let state = node.shards.bytes() as f64 / packets.len() as f64;
        self.print(case, packets.len(), nanos, state, tally);
        Ok(())
    }

    /// Measures the opening packets of new flows at an owner that has no state for them.
    fn measure_new_flows(
        &self,
        case: &str,
        packets: &[Packet],
        arrival: Arrival,
    ) -> anyhow::Result<()> {
        if !self.options.wants(case) {
            return Ok(());
        }
        let (mut times, mut tally, mut state) = (Vec::new(), Tally::default(), 0.0);
        for _ in 0..self.options.rounds {
            let node = Node::new(true);
            let start = cpu::thread();
            tally = node.pass(packets, arrival);
            times.push(nanos(start, packets.len()));
            state = node.shards.bytes() as f64 / packets.len() as f64;
        }
        anyhow::ensure!(tally.other == 0, "{case}: {} packets dropped", tally.other);
        self.print(case, packets.len(), times, state, tally);
        Ok(())
    }

    /// Measures decoding a datagram and deciding on its packet.
    fn measure_decode(
        &self,
        case: &str,
        node: &Node,
        keys: &[Key],
        redirected: bool,
    ) -> anyhow::Result<()> {
        if !self.options.wants(case) {
            return Ok(());
        }
        let secret = scene::secret();
        let mut datagrams = Vec::new();
        for key in keys.iter().take(PACKETS) {
            let bytes = scene::bytes(key)?;
            let mut datagram = Vec::new();
            match redirected {
                true => encap::encode(&resolve_request(), &bytes, &secret, &mut datagram),
                false => datagram = bytes,
            }
            datagrams.push(datagram);
        }
        let (mut times, mut tally) = (Vec::new(), Tally::default());
        for _ in 0..self.options.rounds {
            tally = Tally::default();
            let start = cpu::thread();
            for datagram in &datagrams {
                tally.add(&node.decode(datagram, &secret).context("decoding")?);
            }
            times.push(nanos(start, datagrams.len()));
        }
        anyhow::ensure!(tally.other == 0, "{case}: {} packets dropped", tally.other);
        self.print(case, datagrams.len(), times, 0.0, tally);
        Ok(())
    }

    /// Measures encoding a redirect header and a packet into a reused buffer.
    fn measure_encode(&self, keys: &[Key]) -> anyhow::Result<()> {
        let case = "encode_redirect";
        if !self.options.wants(case) {
            return Ok(());
        }
        let (secret, mut out) = (scene::secret(), Vec::new());
        let packets: Vec<Vec<u8>> = keys
            .iter()
            .take(PACKETS)
            .map(scene::bytes)
            .collect::<anyhow::Result<_>>()?;
        let measure = |_| {
            let start = cpu::thread();
            for packet in &packets {
                encap::encode(&resolve_request(), packet, &secret, &mut out);
                black_box(&out);
            }
            nanos(start, packets.len())
        };
        let times = (0..self.options.rounds).map(measure).collect();
        let tally = Tally {
            redirected: packets.len() as u64,
            ..Tally::default()
        };
        self.print(case, packets.len(), times, 0.0, tally);
        Ok(())
    }
}

/// Nanoseconds of CPU time of this thread since `start`, per each of `count` steps.
fn nanos(start: std::time::Duration, count: usize) -> f64 {
    (cpu::thread() - start).as_nanos() as f64 / count as f64
}
