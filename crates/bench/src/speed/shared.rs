use std::thread;

use acacia_flow::{Shards, place::by_table, resolve, shard::Limits, verdict::Arrival};
use acacia_node::counter::{Counter, Kind};
use acacia_wire::packet::Packet;
use anyhow::anyhow;

use super::{Options, cpu, median_and_range, scene};

/// Numbers of threads that share the shards and counters.
const THREADS: &[usize] = &[1, 2, 4];
/// Number of shards, as in the daemon.
const SHARDS: usize = 16;
/// Passes over the flows of a thread in one measurement.
const PASSES: usize = 4;

/// Measures the state shared by the traffic threads, without sockets: decisions for flows on their
/// base server, with and without the per-packet counters of the worker.
pub fn run(options: &Options, seed: u64) -> anyhow::Result<()> {
    for (case, counted) in [("shared_decide", false), ("shared_decide_count", true)] {
        if !options.wants(case) {
            continue;
        }
        let keys = scene::keys(seed, options.flows, true);
        let packets: Vec<Packet> = keys.iter().map(scene::middle).collect();
        for &threads in THREADS {
            let measure = |_| measure(&packets, threads, counted);
            let nanos: Vec<f64> = (0..options.rounds)
                .map(measure)
                .collect::<anyhow::Result<_>>()?;
            let [median, least, most] = median_and_range(nanos);
            println!(
                "case={case} seed={seed} threads={threads} flows={} nanos={median:.1} \
                 nanos_least={least:.1} nanos_most={most:.1}",
                packets.len()
            );
        }
    }
    Ok(())
}

/// Nanoseconds of CPU time per packet, over all threads.
fn measure(packets: &[Packet], threads: usize, counted: bool) -> anyhow::Result<f64> {
    let snapshot = scene::snapshot(false);
    let shards = Shards::new(SHARDS, Limits::default());
    let counter = Counter::default();
    let part = packets.len() / threads;
    let pass = |packets: &[Packet]| {
        let start = cpu::thread();
        for packet in packets.iter().cycle().take(PASSES * packets.len()) {
            if counted {
                counter.kind(Kind::Ingress, 1);
            }
            let mut shard = shards.of(packet.key.hash());
            let (now, arrival) = (scene::NOW, Arrival::Ingress);
            let verdict = resolve(&snapshot, &mut shard, now, packet, arrival, &mut by_table);
            drop(shard);
            std::hint::black_box(verdict);
            if counted {
                counter.kind(Kind::Forwarded, 1);
            }
        }
        (cpu::thread() - start).as_nanos() as f64
    };
    let sum = thread::scope(|scope| {
        let pass = &pass;
        let running: Vec<_> = packets
            .chunks(part)
            .take(threads)
            .map(|own| scope.spawn(move || pass(own)))
            .collect();
        let times = running.into_iter().map(thread::ScopedJoinHandle::join);
        times.sum::<Result<f64, _>>()
    });
    let nanos = sum.map_err(|_| anyhow!("a measuring thread panicked"))?;
    Ok(nanos / (PASSES * part * threads) as f64)
}
