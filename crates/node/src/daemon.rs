//! Starts the services of the process, and stops them in order of their dependencies.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_code::Code;
use acacia_flow::{Shards, shard::Limits, verdict::Notice};
use acacia_kernel::{Registry, Service};
use crossbeam_channel::{Receiver, Sender, bounded};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::{
    admin,
    control::{self, agreement, platform},
    counter::Counter,
    journal,
    ledger::Ledger,
    load::Counts,
    metrics,
    settings::Settings,
    traffic::worker,
    view::Published,
};

/// Read timeout of a traffic socket: how often an idle traffic thread checks whether to stop.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// Receive buffer of a traffic socket, in bytes: holds a burst of some 3,000 full-sized packets.
const RECEIVE_BUFFER: usize = 4 << 20;

/// Number of shards that pins and caches are spread over, each behind its own lock. A traffic
/// thread holds one lock while it decides on a packet, the control thread while it sweeps one
/// shard.
const SHARDS: usize = 16;
/// Capacity of the channels to and from the control thread. The hint budget keeps the traffic
/// threads below this between two iterations of the control thread.
const QUEUE: usize = 1_024;
/// Interval at which signals and the progress of a graceful shutdown are polled.
const SIGNAL_POLL: Duration = Duration::from_millis(20);

/// State shared by the services of the process.
struct Shared {
    settings: Arc<Settings>,
    published: Published,
    shards: Arc<Shards>,
    counter: Arc<Counter>,
    status: admin::Published,
    ledger: Arc<Ledger>,
    leave: Arc<AtomicBool>,
    left: Arc<AtomicBool>,
}

/// The platform thread's ends of its channels.
struct Platform {
    events: Receiver<platform::Event>,
    calls: mpsc::Sender<agreement::Call>,
}

/// The control thread's ends of its channels.
struct Control {
    notices: Sender<(u16, Notice)>,
    counts: Sender<Counts>,
}

/// Runs the balancer until it is told to stop by a signal or one of its services dies.
///
/// The first signal starts a graceful shutdown, a second one forces the exit.
pub fn run(settings: Settings) -> anyhow::Result<Code> {
    let _journal = journal::start(settings.log)?;
    let shared = Arc::new(Shared {
        ledger: Arc::new(Ledger::new(settings.id)),
        settings: Arc::new(settings),
        status: admin::Published::default(),
        published: Published::default(),
        shards: Arc::new(Shards::new(SHARDS, Limits::default())),
        counter: Arc::default(),
        leave: Arc::default(),
        left: Arc::default(),
    });
    let mut registry = Registry::default();
    registry.add(platform_service(Arc::clone(&shared)));
    registry.add(control_service(Arc::clone(&shared)));
    registry.add(traffic_service(Arc::clone(&shared)));
    registry.add(admin_service(Arc::clone(&shared)));
    registry.add(metrics_service(Arc::clone(&shared)));
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let kernel = registry.start()?;
    let stopper = kernel.stopper();
    let handle = signals.handle();
    let settings = &shared.settings;
    log::info!(
        "event=started id={} traffic={}",
        settings.id,
        settings.traffic
    );
    let signalled = Arc::clone(&shared);
    let waiter = std::thread::spawn(move || {
        let mut received = 0;
        while !handle.is_closed() {
            received += signals.pending().count();
            match received {
                0 => {}
                1 => signalled.leave.store(true, Ordering::Relaxed),
                _ => {
                    log::error!("event=forced code={}", Code::Forced);
                    journal::exit(Code::Forced.exit_status());
                }
            }
            if signalled.left.load(Ordering::Relaxed) {
                stopper.stop();
                return;
            }
            std::thread::sleep(SIGNAL_POLL);
        }
    });
    let outcome = kernel.wait();
    // If a service died without a signal, the waiting thread still runs. This ends its loop.
    shared.left.store(true, Ordering::Relaxed);
    waiter
        .join()
        .map_err(|_| anyhow::anyhow!("the signal thread panicked"))?;
    log::info!("event=ended id={} {}", settings.id, shared.counter.line());
    if let Some(exit) = &outcome.exit {
        log::error!(
            "event=service-died service={} reason=\"{}\"",
            exit.service,
            exit.reason
        );
    }
    Ok(outcome.code())
}

fn platform_service(shared: Arc<Shared>) -> Service {
    Service::new("platform", [], move |context| {
        let (sender, events) = bounded::<platform::Event>(QUEUE);
        let (calls, mut received) = mpsc::channel::<agreement::Call>(QUEUE);
        let stop = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&stop);
        context.spawn(move || {
            Ok(platform::run(
                &shared.settings,
                &mut received,
                &sender,
                &flag,
            )?)
        })?;
        context.on_stop(move || stop.store(true, Ordering::Relaxed));
        Ok(Platform { events, calls })
    })
}

fn control_service(shared: Arc<Shared>) -> Service {
    Service::new("control", ["platform"], move |context| {
        let platform = context.find::<Platform>("platform")?;
        let (notice_sender, notices) = bounded::<(u16, Notice)>(QUEUE);
        let (count_sender, counts) = bounded::<Counts>(QUEUE);
        let stop = Arc::new(AtomicBool::new(false));
        let control = control::service::Context {
            settings: Arc::clone(&shared.settings),
            platform_events: platform.events.clone(),
            platform_calls: platform.calls.clone(),
            notices,
            counts,
            status: Arc::clone(&shared.status),
            ledger: Arc::clone(&shared.ledger),
            published: Arc::clone(&shared.published),
            shards: Arc::clone(&shared.shards),
            counter: Arc::clone(&shared.counter),
            leave: Arc::clone(&shared.leave),
            left: Arc::clone(&shared.left),
            stop: Arc::clone(&stop),
        };
        context.spawn(move || Ok(control::service::run(&control)?))?;
        context.on_stop(move || stop.store(true, Ordering::Relaxed));
        Ok(Control {
            notices: notice_sender,
            counts: count_sender,
        })
    })
}

fn traffic_service(shared: Arc<Shared>) -> Service {
    Service::new("traffic", ["control"], move |context| {
        let control = context.find::<Control>("control")?;
        let stop = Arc::new(AtomicBool::new(false));
        for thread in 0..shared.settings.threads as u64 {
            let socket = bind(shared.settings.traffic)?;
            let traffic = worker::Context {
                published: Arc::clone(&shared.published),
                shards: Arc::clone(&shared.shards),
                counter: Arc::clone(&shared.counter),
                notices: control.notices.clone(),
                counts: control.counts.clone(),
                secret: shared.settings.secret.clone(),
                gateway: shared.settings.gateway,
                seed: u64::from(shared.settings.id) << 32 | thread,
            };
            let stop = Arc::clone(&stop);
            context.spawn(move || Ok(worker::run(&socket, &traffic, &stop)?))?;
        }
        context.on_stop(move || stop.store(true, Ordering::Relaxed));
        Ok(())
    })
}

fn admin_service(shared: Arc<Shared>) -> Service {
    Service::new("admin", ["control"], move |context| {
        let listener = admin::listen(shared.settings.admin)?;
        let stop = CancellationToken::new();
        let token = stop.clone();
        context.spawn(move || admin::run(listener, token, &shared.status, &shared.ledger))?;
        context.on_stop(move || stop.cancel());
        Ok(())
    })
}

fn metrics_service(shared: Arc<Shared>) -> Service {
    Service::new("metrics", ["control"], move |context| {
        let Some(to) = shared.settings.metrics else {
            return Ok(());
        };
        let (running, stop) = bounded::<()>(0);
        context.spawn(move || {
            let (id, status) = (shared.settings.id, &shared.status);
            metrics::run(to, id, status, &shared.counter, &stop)
        })?;
        context.on_stop(move || drop(running));
        Ok(())
    })
}

/// Binds the socket of one traffic thread. All traffic threads bind the same address with
/// `SO_REUSEPORT`, and the kernel distributes datagrams among them by their outer addresses.
pub(crate) fn bind(address: SocketAddrV4) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    // The kernel may grant less; then shorter bursts already lose packets.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    socket.bind(&address.into())?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(socket.into())
}
