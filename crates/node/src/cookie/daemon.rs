//! Puts the services of the process together, and ends them in order.

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
    traffic::{self, Published},
};
use crate::{counter::Counter, daemon, journal, ledger::Ledger};

/// Notices of the traffic threads that wait. One a server and 100 ms is made, so this is room for a
/// second of a whole fleet of servers; one that is lost is made again.
const NOTICES: usize = 1_024;

/// What the services of the process share.
struct Shared {
    settings: Settings,
    path: PathBuf,
    published: Published,
    counter: Arc<Counter>,
    meters: Arc<Meters>,
    ledger: Arc<Ledger>,
}

/// Runs the balancer until it is asked to end or a service of it dies. The settings are read again
/// from `path` whenever they change.
///
/// # Errors
/// When a service can't start.
pub fn run(settings: Settings, path: PathBuf) -> anyhow::Result<Code> {
    let _journal = journal::start(settings.log)?;
    log::info!(
        "event=started name={} traffic={} control={}",
        settings.name,
        settings.traffic,
        settings.control
    );
    // Counts are told apart by balancer and start; addresses are unique, numbers are not given.
    let id = acacia_cookie::cookie::hash(&settings.advertised.to_string()) as u16;
    let shared = Arc::new(Shared {
        settings,
        path,
        published: Published::default(),
        counter: Arc::default(),
        meters: Arc::default(),
        ledger: Arc::new(Ledger::new(id)),
    });
    let (hand, stopper) = oneshot::channel();
    let (sender, notices) = mpsc::channel(NOTICES);
    let mut registry = Registry::default();
    registry.add(traffic_service(Arc::clone(&shared), sender));
    registry.add(control_service(Arc::clone(&shared), stopper, notices));
    let kernel = registry.start()?;
    // Refused only if the control thread has died, which the kernel then tells.
    let _ = hand.send(kernel.stopper());
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
            // The client's futures stay on this thread: nothing here gains from others.
            LocalSet::new().block_on(&runtime, serve(&shared, stopper, notices, token))
        })?;
        context.on_stop(move || stop.cancel());
        Ok(())
    })
}

/// The control thread: until it is stopped, or one of its tasks fails.
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
        Arc::clone(&shared.counter),
        Arc::clone(&shared.meters),
    )?);
    let own = || Arc::clone(&control);
    let mut tasks: JoinSet<Result<(), BoxError>> = JoinSet::new();
    let routers = TcpListener::bind(settings.ready).await?;
    tasks.spawn(answer::routers(own(), routers, stop.clone()));
    let peers = TcpListener::bind(settings.control).await?;
    tasks.spawn(answer::peers(own(), peers, stop.clone()));
    if let Some(address) = settings.metrics {
        let scrapers = TcpListener::bind(address).await?;
        tasks.spawn(answer::scrapes(own(), scrapers, stop.clone()));
    }
    if let Some(address) = settings.admin {
        let operators = TcpListener::bind(address).await?;
        let ledger = Arc::clone(&shared.ledger);
        tasks.spawn(answer::operators(
            own(),
            ledger,
            address,
            operators,
            stop.clone(),
        ));
    }
    tasks.spawn_local(follow::run(own(), settings.platform));
    tasks.spawn(receive::gossip(own()));
    tasks.spawn(receive::receive(own()));
    tasks.spawn(publish::run(own()));
    tasks.spawn(examine::examine_servers(own()));
    tasks.spawn(examine::handle_notices(own(), notices));
    tasks.spawn(reload::run(own(), shared.path.clone()));
    tasks.spawn(leave::run(own(), stopper));
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
