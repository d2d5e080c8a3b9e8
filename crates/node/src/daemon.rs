//! Puts the services of the process together, and ends them in order.

use std::{
    net::{SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_code::Code;
use acacia_kernel::{Registry, Service};
use arc_swap::ArcSwap;
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};
use socket2::{Domain, Protocol, Socket, Type};

use crate::{
    control::{self, Published},
    journal,
    settings::Settings,
    traffic::worker,
};

/// The longest that a traffic thread waits for packets before it looks whether to stop.
const LOOK: Duration = Duration::from_millis(50);
/// Receive buffer of a traffic socket, in bytes: a burst of some 3,000 full packets.
const BUFFER: usize = 4 << 20;

/// Runs the balancer until it is asked to end or a service of it dies.
pub fn run(settings: Settings) -> anyhow::Result<Code> {
    journal::start(settings.log)?;
    let settings = Arc::new(settings);
    let mut registry = Registry::default();
    registry.add(control_service(Arc::clone(&settings)));
    registry.add(traffic_service(Arc::clone(&settings)));
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let kernel = registry.start()?;
    let stopper = kernel.stopper();
    let handle = signals.handle();
    log::info!(
        "event=started id={} traffic={}",
        settings.id,
        settings.traffic
    );
    let waiter = std::thread::spawn(move || {
        if signals.forever().next().is_some() {
            stopper.stop();
        }
        if signals.forever().next().is_some() {
            log::error!("event=forced code={}", Code::Forced);
            std::process::exit(i32::from(Code::Forced.exit_status()));
        }
    });
    let outcome = kernel.wait();
    handle.close();
    waiter
        .join()
        .map_err(|_| anyhow::anyhow!("the signal thread panicked"))?;
    log::info!("event=ended id={}", settings.id);
    Ok(outcome.death.map_or(Code::Success, |death| {
        log::error!(
            "event=service-died service={} reason=\"{}\"",
            death.service,
            death.reason
        );
        Code::ServiceDied
    }))
}

fn control_service(settings: Arc<Settings>) -> Service {
    Service::new("control", [], move |context| {
        let published: Published = Arc::new(ArcSwap::default());
        let stop = Arc::new(AtomicBool::new(false));
        let (out, flag) = (Arc::clone(&published), Arc::clone(&stop));
        context.spawn(move || Ok(control::run(&settings, &out, &flag)?))?;
        context.on_stop(move || stop.store(true, Ordering::Relaxed));
        Ok(published)
    })
}

fn traffic_service(settings: Arc<Settings>) -> Service {
    Service::new("traffic", ["control"], move |context| {
        let published = context.find::<Published>("control")?;
        let stop = Arc::new(AtomicBool::new(false));
        for _ in 0..settings.threads {
            let socket = bind(settings.traffic)?;
            let (settings, published, stop) = (
                Arc::clone(&settings),
                Arc::clone(&published),
                Arc::clone(&stop),
            );
            context
                .spawn(move || Ok(worker::run(&socket, &published, &settings.secret, &stop)?))?;
        }
        context.on_stop(move || stop.store(true, Ordering::Relaxed));
        Ok(())
    })
}

/// A socket of its own for each traffic thread, on one address: the kernel spreads datagrams over
/// them by their outer addresses.
fn bind(address: SocketAddrV4) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_reuse_port(true)?;
    // The system may grant less; then bursts are cut sooner.
    let _ = socket.set_recv_buffer_size(BUFFER);
    socket.bind(&address.into())?;
    socket.set_read_timeout(Some(LOOK))?;
    Ok(socket.into())
}
