use std::{
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use acacia_flow::{Shards, shard::Limits};
use acacia_node::{
    counter::{Counter, Kind},
    traffic::{
        batch::{Received, SIZE, ToSend},
        worker,
    },
    view::{Published, View},
};
use anyhow::anyhow;

use super::{Options, cpu, median_and_range, scene};

/// Flows whose packets the generator sends in turn.
const FLOWS: usize = 4_096;
/// Size of the receive buffer in bytes, as in the daemon.
const BUFFER: usize = 4 << 20;
/// Longest time that a thread waits for packets.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(20);
/// Warm-up time, so that packets lost by the first batches on cold caches are not measured.
const WARM_UP: Duration = Duration::from_millis(50);

/// Result of one measurement.
#[derive(Debug, Clone, Copy)]
struct Rate {
    packets: u64,
    cpu_time: Duration,
    wall: Duration,
}

impl Rate {
    /// Packets per second of CPU time of the forwarding thread.
    fn per_second(&self) -> f64 {
        self.packets as f64 / self.cpu_time.as_secs_f64()
    }

    fn per_wall_second(&self) -> f64 {
        self.packets as f64 / self.wall.as_secs_f64()
    }
}

/// Runs the selected cases and prints one line for each. Measurements of the worker alternate with
/// those of the minimal forwarder.
pub fn run(options: &Options, seed: u64) -> anyhow::Result<()> {
    for (case, flagged) in [("forward_base", false), ("forward_redirect", true)] {
        if !options.wants(case) {
            continue;
        }
        let keys = scene::keys(seed, FLOWS, false);
        let packets: Vec<Vec<u8>> = keys
            .iter()
            .map(scene::bytes)
            .collect::<anyhow::Result<_>>()?;
        let (mut worker_rates, mut minimal_rates, mut ratios) =
            (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..options.rounds {
            let duration = Duration::from_millis(options.millis);
            let minimal = measure(&packets, duration, &|socket, sink, stop| {
                forward_minimal(socket, sink, stop)
            })?;
            let worker = measure(&packets, duration, &|socket, sink, stop| {
                through_worker(socket, sink, stop, flagged)
            })?;
            ratios.push(worker.per_second() / minimal.per_second());
            worker_rates.push(worker);
            minimal_rates.push(minimal);
        }
        let median = |rates: &[Rate], of: fn(&Rate) -> f64| {
            median_and_range(rates.iter().map(of).collect())[0]
        };
        let [ratio, least, most] = median_and_range(ratios);
        println!(
            "case={case} seed={seed} rounds={} per_second={:.0} echo_per_second={:.0} \
             ratio={ratio:.3} ratio_least={least:.3} ratio_most={most:.3} \
             wall_per_second={:.0} echo_wall_per_second={:.0}",
            options.rounds,
            median(&worker_rates, Rate::per_second),
            median(&minimal_rates, Rate::per_second),
            median(&worker_rates, Rate::per_wall_second),
            median(&minimal_rates, Rate::per_wall_second),
        );
    }
    Ok(())
}

/// Function that forwards datagrams until it is told to stop and returns their number.
type Forwarder<'a> =
    &'a (dyn Fn(&UdpSocket, SocketAddrV4, &AtomicBool) -> std::io::Result<u64> + Sync);

/// Sends packets at the full speed of one thread to a thread that forwards them to a socket without
/// a reader. The kernel drops what exceeds that socket's buffer, equally for the worker and for the
/// minimal forwarder.
fn measure(
    packets: &[Vec<u8>],
    duration: Duration,
    forward: Forwarder<'_>,
) -> anyhow::Result<Rate> {
    let (socket, at) = bind()?;
    let (sink, to) = bind()?;
    let (generating, stop) = (AtomicBool::new(true), AtomicBool::new(false));
    let rate = thread::scope(|scope| {
        let generator = scope.spawn(|| generate(packets, at, &generating));
        sleep(WARM_UP);
        let forwarder = scope.spawn(|| {
            let (start, before) = (Instant::now(), cpu::thread());
            let packets = forward(&socket, to, &stop)?;
            std::io::Result::Ok(Rate {
                packets,
                cpu_time: cpu::thread() - before,
                wall: start.elapsed(),
            })
        });
        sleep(duration);
        stop.store(true, Ordering::Relaxed);
        let rate = forwarder.join();
        generating.store(false, Ordering::Relaxed);
        let generated = generator.join();
        generated.map_err(|_| anyhow!("the generator panicked"))??;
        Ok::<Rate, anyhow::Error>(rate.map_err(|_| anyhow!("the forwarder panicked"))??)
    })?;
    drop(sink);
    anyhow::ensure!(rate.packets > 0, "the forwarder forwarded no packets");
    Ok(rate)
}

fn bind() -> anyhow::Result<(UdpSocket, SocketAddrV4)> {
    let socket = UdpSocket::bind((Ipv4Addr::new(127, 0, 0, 1), 0))?;
    // The kernel may grant a smaller buffer.
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(BUFFER);
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    match socket.local_addr()? {
        std::net::SocketAddr::V4(at) => Ok((socket, at)),
        std::net::SocketAddr::V6(at) => Err(anyhow!("not an IPv4 address: {at}")),
    }
}

fn generate(packets: &[Vec<u8>], to: SocketAddrV4, on: &AtomicBool) -> anyhow::Result<()> {
    let (socket, _) = bind()?;
    let (received, mut batch) = (Received::default(), ToSend::default());
    let mut source = packets.iter().cycle();
    while on.load(Ordering::Relaxed) {
        for packet in source.by_ref().take(SIZE) {
            batch.build(to, |out| out.extend_from_slice(packet));
        }
        batch.flush(&socket, &received);
    }
    Ok(())
}

/// Minimal forwarder: the least work that forwards datagrams with the same system calls.
fn forward_minimal(
    socket: &UdpSocket,
    sink: SocketAddrV4,
    stop: &AtomicBool,
) -> std::io::Result<u64> {
    let (mut received, mut batch) = (Received::default(), ToSend::default());
    let mut packets = 0;
    while !stop.load(Ordering::Relaxed) {
        received.fill(socket)?;
        for index in 0..received.len() {
            batch.forward(sink, index, 0..received.get(index).len());
        }
        packets += received.len() - batch.flush(socket, &received);
    }
    Ok(packets as u64)
}

fn through_worker(
    socket: &UdpSocket,
    sink: SocketAddrV4,
    stop: &AtomicBool,
    flagged: bool,
) -> std::io::Result<u64> {
    let servers = scene::addresses()
        .flat_map(|address| (1..=scene::SERVERS).map(move |server| ((address, server), sink)));
    let view = View {
        snapshot: scene::snapshot(flagged),
        servers: Arc::new(servers.collect()),
        policies: Arc::default(),
        peers: (0..scene::BALANCERS).map(|id| (id, sink)).collect(),
    };
    let published = Published::default();
    published.store(Some(Arc::new(view)));
    let counter = Arc::new(Counter::default());
    // Nothing reads the notices; a full queue drops them, as in the daemon.
    let (notices, _notices_receiver) = crossbeam_channel::bounded(1);
    let (counts, _counts_receiver) = crossbeam_channel::bounded(1);
    let context = worker::Context {
        published,
        shards: Arc::new(Shards::new(16, Limits::default())),
        counter: Arc::clone(&counter),
        notices,
        counts,
        seed: 1,
        secret: scene::secret(),
        gateway: sink,
    };
    worker::run(socket, &context, stop)?;
    let sent = counter.of(Kind::Forwarded) + counter.of(Kind::Redirected);
    Ok(sent - counter.of(Kind::Unsent))
}
