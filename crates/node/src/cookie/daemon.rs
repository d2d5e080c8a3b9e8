//! Starts the services of the process and stops them in order.

use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use acacia_code::Code;
use acacia_cookie::Notice;
use acacia_kernel::{BoxError, Registry, Service, Stopper};
use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    task::{JoinSet, LocalSet},
};
use tokio_util::sync::CancellationToken;

use super::{
    answer,
    control::Control,
    examine, follow, leave,
    meters::Meters,
    publish, receive, reload,
    settings::Settings,
    traffic::{self, Demand, Published},
};
use crate::{counter::Counter, daemon, journal, ledger::Ledger};

/// Capacity of the queue of notices from the traffic threads. One notice is created per server every
/// 100 ms, so the queue holds those of a whole fleet of servers for a second. A notice that is lost
/// is created again later.
const NOTICE_QUEUE_CAPACITY: usize = 1_024;

/// State shared by the services of the process.
struct Shared {
    settings: Settings,
    path: PathBuf,
    published: Published,
    demand: Demand,
    counter: Arc<Counter>,
    meters: Arc<Meters>,
    ledger: Arc<Ledger>,
}

/// Runs the balancer until it is asked to stop or one of its services fails. The settings are
/// reloaded from `path` when the file changes.
///
/// # Errors
/// If a service can't start.
pub fn run(settings: Settings, path: PathBuf) -> anyhow::Result<Code> {
    let _journal = journal::start(settings.log)?;
    log::info!(
        "event=started name={} traffic={} control={}",
        settings.name,
        settings.traffic,
        settings.control
    );
    // The ledger's counts are identified by balancer and start time. These balancers have no configured
    // number, so the id is a hash of the advertised address, which is
    // unique.
    let id = acacia_cookie::cookie::hash(&settings.advertised.to_string()) as u16;
    let shared = Arc::new(Shared {
        settings,
        path,
        published: Published::default(),
        demand: Demand::default(),
        counter: Arc::default(),
        meters: Arc::default(),
        ledger: Arc::new(Ledger::new(id)),
    });
    let (stopper_sender, stopper) = oneshot::channel();
    let (sender, notices) = mpsc::channel(NOTICE_QUEUE_CAPACITY);
    let mut registry = Registry::default();
    registry.add(traffic_service(Arc::clone(&shared), sender));
    registry.add(control_service(Arc::clone(&shared), stopper, notices));
    let kernel = registry.start()?;
    // Fails only if the control thread has died, which the kernel reports.
    let _ = stopper_sender.send(kernel.stopper());
    let outcome = kernel.wait();
    let counts = shared.counter.line();
    log::info!("event=ended name={} {counts}", shared.settings.name);
    Ok(outcome.code())
}

fn traffic_service(shared: Arc<Shared>, notices: mpsc::Sender<Notice>) -> Service {
    Service::new("traffic", [], move |context| {
        let stop = Arc::new(AtomicBool::new(false));
        let socket = daemon::bind(shared.settings.traffic)?;
        let traffic = traffic::Context {
            published: Arc::clone(&shared.published),
            demand: Arc::clone(&shared.demand),
            counter: Arc::clone(&shared.counter),
            meters: Arc::clone(&shared.meters),
            ledger: Arc::clone(&shared.ledger),
            port: shared.settings.traffic.port(),
            notices,
        };
        let flag = Arc::clone(&stop);
        context.spawn(move || Ok(traffic::run(&socket, &traffic, &flag)?))?;
        context.on_stop(move || stop.store(true, Ordering::Relaxed));
        Ok(())
    })
}

fn control_service(
    shared: Arc<Shared>,
    stopper: oneshot::Receiver<Stopper>,
    notices: mpsc::Receiver<Notice>,
) -> Service {
    Service::new("control", ["traffic"], move |context| {
        let stop = CancellationToken::new();
        let token = stop.clone();
        context.spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            // The store client's futures stay on this thread: more threads would gain nothing.
            LocalSet::new().block_on(&runtime, serve(&shared, stopper, notices, token))
        })?;
        context.on_stop(move || stop.cancel());
        Ok(())
    })
}

/// Runs the tasks of the control thread until `stop` is cancelled or one of them fails.
async fn serve(
    shared: &Shared,
    stopper: oneshot::Receiver<Stopper>,
    notices: mpsc::Receiver<Notice>,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    let settings = &shared.settings;
    let control = Arc::new(Control::new(
        settings.clone(),
        Arc::clone(&shared.published),
        Arc::clone(&shared.demand),
        Arc::clone(&shared.counter),
        Arc::clone(&shared.meters),
    )?);
    let shared_control = || Arc::clone(&control);
    let mut tasks: JoinSet<Result<(), BoxError>> = JoinSet::new();
    let routers = TcpListener::bind(settings.ready).await?;
    tasks.spawn(answer::routers(shared_control(), routers, stop.clone()));
    let peers = TcpListener::bind(settings.control).await?;
    tasks.spawn(answer::peers(shared_control(), peers, stop.clone()));
    if let Some(address) = settings.metrics {
        let scrapers = TcpListener::bind(address).await?;
        tasks.spawn(answer::scrapes(shared_control(), scrapers, stop.clone()));
    }
    if let Some(address) = settings.admin {
        let operators = TcpListener::bind(address).await?;
        let ledger = Arc::clone(&shared.ledger);
        tasks.spawn(answer::operators(
            shared_control(),
            ledger,
            address,
            operators,
            stop.clone(),
        ));
    }
    tasks.spawn_local(follow::run(shared_control(), settings.platform));
    tasks.spawn(receive::gossip(shared_control()));
    tasks.spawn(receive::receive(shared_control()));
    tasks.spawn(publish::run(shared_control()));
    tasks.spawn(examine::examine_servers(shared_control()));
    tasks.spawn(examine::handle_notices(shared_control(), notices));
    tasks.spawn(reload::run(shared_control(), shared.path.clone()));
    tasks.spawn(leave::run(shared_control(), stopper));
    let ended = loop {
        tokio::select! {
            () = stop.cancelled() => break Ok(()),
            Some(ended) = tasks.join_next() => match ended {
                Ok(Ok(())) => {}
                Ok(Err(error)) => break Err(error),
                Err(error) => break Err(error.into()),
            }
        }
    };
    tasks.shutdown().await;
    ended
}
