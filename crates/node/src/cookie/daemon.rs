//! Puts the services of the process together, and ends them in order.

use std::{
    net::UdpSocket,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_adapter::{ready, store};
use acacia_code::Code;
use acacia_cookie::Notice;
use acacia_kernel::{BoxError, Registry, Service, Stopper};
use acacia_platform::{Client, Options, server};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{Notify, mpsc, oneshot},
    task::{JoinSet, LocalSet},
    time,
};
use tokio_util::sync::CancellationToken;

use super::{
    core::{Core, Outcome},
    examine, exchange, follow,
    message::{Message, Parcel},
    meters::Meters,
    rotation::Phase,
    scrape,
    settings::Settings,
    traffic::{self, Published},
};
use crate::{clock, counter::Counter, daemon, journal};

/// Between two rounds of gossip. 500 ms: a balancer that is lost is noticed within six.
const ROUND: Duration = Duration::from_millis(500);
/// Longest message taken, in bytes.
const LARGEST: usize = 9_000;
/// Connections at a time, of routers or of peers. Load: routers ask twice a second, and peers fetch
/// differences together when a large configuration comes. Harm: each takes memory and a descriptor.
const CONNECTIONS: usize = 64;
/// Notices of the traffic threads that wait. One a server and 100 ms is made, so this is room for a
/// second of a whole fleet of servers; one that is lost is made again.
const NOTICES: usize = 1_024;
/// Least wait between two looks for servers to examine, against a busy loop.
const SHORTEST: Duration = Duration::from_millis(1);
/// Examinations at a time, each of one or more servers. Load: packets to many servers are lost on
/// a bad link. Harm: each probe takes a descriptor.
const EXAMINATIONS: usize = 16;
/// How long news are gathered before routes and servers are published. Load: hundreds of servers
/// report within a second when a deployment starts. Harm: each publication goes through all servers,
/// which takes a small balancer's processor away from packets.
const GATHER: Duration = Duration::from_millis(10);
/// Between two looks at the settings file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// What the services of the process share.
struct Shared {
    settings: Settings,
    path: PathBuf,
    published: Published,
    counter: Arc<Counter>,
    meters: Arc<Meters>,
}

/// The control thread's state, shared by its tasks.
pub struct Control {
    core: Mutex<Core>,
    phase: Mutex<Phase>,
    settings: Mutex<Settings>,
    socket: tokio::net::UdpSocket,
    published: Published,
    counter: Arc<Counter>,
    /// Metrics.
    pub meters: Arc<Meters>,
    fetching: AtomicBool,
    /// Wakes the task that follows the store.
    pub wake: Notify,
    /// Wakes the task that publishes.
    changed: Notify,
    /// Wakes the task that probes.
    doubt: Notify,
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
    let shared = Arc::new(Shared {
        settings,
        path,
        published: Published::default(),
        counter: Arc::default(),
        meters: Arc::default(),
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
    let control = Arc::new(Control::new(shared)?);
    let settings = &shared.settings;
    let ready = TcpListener::bind(settings.ready).await?;
    let peers = TcpListener::bind(settings.control).await?;
    let mut tasks: JoinSet<Result<(), BoxError>> = JoinSet::new();
    let (one, two, three) = (
        Arc::clone(&control),
        Arc::clone(&control),
        Arc::clone(&control),
    );
    tasks.spawn_local(follow_store(one, settings.platform));
    tasks.spawn(gossip(two));
    tasks.spawn(receive(three));
    let (one, two, three) = (
        Arc::clone(&control),
        Arc::clone(&control),
        Arc::clone(&control),
    );
    tasks.spawn(publish(one));
    tasks.spawn(reload(two, shared.path.clone()));
    tasks.spawn(leave(three, stopper));
    tasks.spawn(examine_servers(Arc::clone(&control)));
    tasks.spawn(take_notices(Arc::clone(&control), notices));
    if let Some(address) = settings.metrics {
        let listener = TcpListener::bind(address).await?;
        tasks.spawn(answer_scrapes(Arc::clone(&control), listener, stop.clone()));
    }
    tasks.spawn(answer_routers(Arc::clone(&control), ready, stop.clone()));
    tasks.spawn(answer_peers(control, peers, stop.clone()));
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

impl Control {
    fn new(shared: &Shared) -> Result<Self, BoxError> {
        let settings = shared.settings.clone();
        let incarnation = clock::time_of_day().as_millis() as u64;
        let socket = UdpSocket::bind(settings.control)?;
        socket.set_nonblocking(true)?;
        Ok(Control {
            core: Mutex::new(Core::new(&settings, incarnation)),
            phase: Mutex::new(Phase::Starting),
            settings: Mutex::new(settings),
            socket: tokio::net::UdpSocket::from_std(socket)?,
            published: Arc::clone(&shared.published),
            counter: Arc::clone(&shared.counter),
            meters: Arc::clone(&shared.meters),
            fetching: AtomicBool::new(false),
            wake: Notify::new(),
            changed: Notify::new(),
            doubt: Notify::new(),
        })
    }

    /// Asks or tells the core.
    pub fn core<T>(&self, with: impl FnOnce(&mut Core, Duration) -> T) -> T {
        with(&mut lock(&self.core), clock::now())
    }

    /// Tells the core and does what follows.
    pub async fn take(&self, with: impl FnOnce(&mut Core, Duration) -> Outcome) {
        let outcome = self.core(with);
        if outcome.changed {
            self.changed.notify_one();
        }
        if outcome.examine {
            self.doubt.notify_one();
        }
        self.advance();
        self.send(outcome.parcels).await;
    }

    /// All metrics as text.
    fn text(&self) -> String {
        let standing = self.core(|core, now| core.standing(now));
        self.meters.text(&self.counter, &standing)
    }

    /// Whether the routers should send packets here.
    fn is_ready(&self) -> bool {
        lock(&self.phase).is_ready() && !lock(&self.core).is_isolated()
    }

    async fn send(&self, parcels: Vec<Parcel>) {
        if parcels.is_empty() {
            return;
        }
        let secret = lock(&self.settings).secret.clone();
        exchange::send(&self.socket, parcels, &secret).await;
    }

    /// Takes its place in rotation once it knows enough.
    fn advance(&self) {
        let mut phase = lock(&self.phase);
        let core = lock(&self.core);
        if *phase == Phase::Starting && core.is_informed() {
            *phase = Phase::Serving;
            let version = core.version().unwrap_or_default();
            let took = self.meters.became_ready();
            let revision = core.revision();
            log::info!(
                "event=ready revision={revision} version={version} took_ms={}",
                took.as_millis()
            );
            self.changed.notify_one();
        }
    }
}

/// A poisoned lock is taken as it is: each change under it is a single step.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn follow_store(
    control: Arc<Control>,
    address: std::net::SocketAddrV4,
) -> Result<(), BoxError> {
    let options = Options {
        seed: control.core(|core, _| core.own().incarnation),
        ..Options::default()
    };
    let client = Client::with_transport(address.into(), options, store::transport());
    follow::run(&control, &client).await;
    Ok(())
}

async fn gossip(control: Arc<Control>) -> Result<(), BoxError> {
    loop {
        let parcels = control.core(Core::gossip);
        control.send(parcels).await;
        time::sleep(ROUND).await;
    }
}

async fn receive(control: Arc<Control>) -> Result<(), BoxError> {
    let mut buffer = vec![0; LARGEST];
    let mut fetches = JoinSet::new();
    loop {
        let secret = lock(&control.settings).secret.clone();
        let message = match exchange::receive(&control.socket, &mut buffer, &secret).await {
            Ok(Ok(message)) => message,
            Ok(Err(error)) => {
                control.counter.code(control_code(error));
                continue;
            }
            // An earlier datagram met a closed port; the socket is as good as before.
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => continue,
            Err(error) => return Err(error.into()),
        };
        while fetches.try_join_next().is_some() {}
        if let Some(fetch) = hear(&control, message).await {
            fetches.spawn(fetch);
        }
        control.wake.notify_one();
    }
}

/// Takes a message in; gives the fetch of what is missing here, unless one is under way.
async fn hear(
    control: &Arc<Control>,
    message: Message,
) -> Option<impl Future<Output = ()> + use<>> {
    let from = message.from.address;
    let source = control.core(|core, _| core.source(&message));
    let mut missing = false;
    control
        .take(|core, now| {
            let outcome = core.hear(message, now);
            missing = outcome.fetch;
            outcome
        })
        .await;
    if !missing || control.fetching.swap(true, Ordering::Relaxed) {
        return None;
    }
    let control = Arc::clone(control);
    Some(async move {
        let revision = control.core(|core, _| core.wanted());
        match exchange::fetch(from, revision).await {
            Ok(difference) => {
                control
                    .take(|core, now| core.fetched(difference, &source, now))
                    .await;
            }
            Err(error) => log::info!("event=fetch-failed peer={from} error=\"{error}\""),
        }
        control.fetching.store(false, Ordering::Relaxed);
        control.wake.notify_one();
    })
}

const fn control_code(error: acacia_wire::control::Error) -> Code {
    use acacia_wire::control::Error;
    match error {
        Error::Truncated => Code::ControlTruncated,
        Error::Oversized => Code::ControlOversized,
        Error::Forged => Code::ControlForged,
        Error::Undecodable => Code::ControlUndecodable,
    }
}

/// Publishes routes and servers whenever they change, by news or by time.
async fn publish(control: Arc<Control>) -> Result<(), BoxError> {
    /// Where nothing is to change by time.
    const IDLE: Duration = Duration::from_secs(60);
    loop {
        let (snapshot, next) = control.core(|core, now| {
            let (snapshot, next) = core.snapshot(now);
            let next = next.map(|at| at.saturating_sub(now));
            (core.is_informed().then_some(snapshot), next)
        });
        if let Some(snapshot) = snapshot {
            control.published.store(Some(Arc::new(snapshot)));
        }
        tokio::select! {
            () = control.changed.notified() => time::sleep(GATHER).await,
            () = time::sleep(next.unwrap_or(IDLE)) => {}
        }
    }
}

/// Tells the core what the traffic threads have noticed.
async fn take_notices(
    control: Arc<Control>,
    mut notices: mpsc::Receiver<Notice>,
) -> Result<(), BoxError> {
    while let Some(Notice::Unanswered(server)) = notices.recv().await {
        if control.core(|core, now| core.unanswered(&server, now)) {
            control.doubt.notify_one();
        }
    }
    Ok(())
}

/// Examines servers under suspicion, and silent ones until they are back.
async fn examine_servers(control: Arc<Control>) -> Result<(), BoxError> {
    let mut examinations = JoinSet::new();
    loop {
        while examinations.try_join_next().is_some() {}
        let next = if examinations.len() < EXAMINATIONS {
            let (examination, next) = control.core(Core::examination);
            if !examination.targets.is_empty() {
                let control = Arc::clone(&control);
                examinations.spawn(async move {
                    let findings = examine::run(examination).await;
                    control.take(|core, now| core.examined(findings, now)).await;
                });
            }
            next.map(|at| at.saturating_sub(clock::now()))
        } else {
            None
        };
        tokio::select! {
            () = control.doubt.notified() => {}
            () = time::sleep(next.unwrap_or(ROUND).max(SHORTEST)) => {}
            Some(_) = examinations.join_next() => {}
        }
    }
}

/// Rereads the settings when they change, with a signal or without.
async fn reload(control: Arc<Control>, path: PathBuf) -> Result<(), BoxError> {
    let mut hangups = signal(SignalKind::hangup())?;
    let mut before = std::fs::read_to_string(&path).ok();
    loop {
        tokio::select! {
            _ = hangups.recv() => log::info!("event=hangup"),
            () = time::sleep(LOOK) => {}
        }
        let text = read(&path);
        if text.is_none() || text == before {
            continue;
        }
        before = text;
        match Settings::parse(before.as_deref().unwrap_or_default()) {
            Ok(settings) => {
                control.core(|core, _| core.renew(&settings));
                *lock(&control.settings) = settings;
                log::info!("event=settings-reloaded");
            }
            Err(error) => {
                log::error!(
                    "event=settings-refused code={} error=\"{error}\"",
                    error.code
                );
            }
        }
    }
}

fn read(path: &Path) -> Option<String> {
    let code = Code::SettingsUnreadable;
    std::fs::read_to_string(path)
        .inspect_err(|error| log::warn!("event=settings-unreadable code={code} error=\"{error}\""))
        .ok()
}

async fn answer_routers(
    control: Arc<Control>,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    server::listen(listener, stop, CONNECTIONS, move |stream| {
        let control = Arc::clone(&control);
        async move { ready::serve(stream, || control.is_ready()).await }
    })
    .await;
    Ok(())
}

async fn answer_peers(
    control: Arc<Control>,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    server::listen(listener, stop, CONNECTIONS, move |stream| {
        let control = Arc::clone(&control);
        exchange::serve(stream, move |revision| {
            control.core(|core, now| core.difference(revision, now))
        })
    })
    .await;
    Ok(())
}

async fn answer_scrapes(
    control: Arc<Control>,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    server::listen(listener, stop, CONNECTIONS, move |stream| {
        let control = Arc::clone(&control);
        async move { scrape::serve(stream, || control.text()).await }
    })
    .await;
    Ok(())
}

/// Waits for the request to end, leaves the rotation, and stops the process once the routers have
/// noticed. A second request ends it at once.
async fn leave(control: Arc<Control>, stopper: oneshot::Receiver<Stopper>) -> Result<(), BoxError> {
    let mut terms = signal(SignalKind::terminate())?;
    let mut interrupts = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terms.recv() => {}
        _ = interrupts.recv() => {}
    }
    let phase = Phase::Leaving {
        since: clock::now(),
    };
    *lock(&control.phase) = phase;
    log::info!("event=leaving");
    let parcels = control.core(Core::leave);
    control.send(parcels).await;
    let grace = lock(&control.settings).grace;
    let end = phase.end(grace).unwrap_or_default();
    tokio::select! {
        () = time::sleep(end.saturating_sub(clock::now())) => stopper.await?.stop(),
        _ = terms.recv() => force(),
        _ = interrupts.recv() => force(),
    }
    Ok(())
}

fn force() {
    log::error!("event=forced code={}", Code::Forced);
    std::process::exit(i32::from(Code::Forced.exit_status()));
}
