//! The admin endpoint. The control thread publishes a snapshot of the balancer's status about once
//! a second; the admin thread serves the latest one and never waits for the control thread.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use acacia_flow::Shards;
use acacia_kernel::BoxError;
use arc_swap::ArcSwap;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    control::core::{Core, Progress},
    ledger::Ledger,
    metrics::{Meter, Traffic},
};

/// Interval between snapshots. The ages in a snapshot are advanced to the time at which it is
/// served, so a control thread that hangs shows up as ages that keep growing.
const INTERVAL: Duration = Duration::from_secs(1);
/// How long binding the listener is retried: the previous process may still be exiting.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two attempts to bind.
const BIND_RETRY: Duration = Duration::from_millis(50);

/// The status of the balancer at one moment, as published by the control thread.
#[derive(Debug, Clone, Default)]
pub struct Status {
    /// When the snapshot was taken, by [`clock::now`].
    pub at: Duration,
    /// The balancer's status, with ages as of [`Status::at`].
    pub status: acacia_api::Status,
    /// The configuration document in force, encoded.
    pub document: Option<Arc<str>>,
    /// Bytes of control messages since the process started.
    pub traffic: Traffic,
    /// Statistics of control messages and connections.
    pub mesh: acacia_peer::Stats,
}

/// The latest snapshot, shared between threads.
pub type Published = Arc<ArcSwap<Status>>;

/// Decides when the control thread publishes a new snapshot.
#[derive(Debug)]
pub struct Publisher {
    published: Published,
    meter: Meter,
    last: Option<(Duration, Progress)>,
}

impl Publisher {
    /// Creates a publisher that stores snapshots in `published`.
    #[must_use]
    pub fn new(published: Published) -> Self {
        Publisher {
            published,
            meter: Meter::default(),
            last: None,
        }
    }

    /// Publishes a new snapshot once a second, or at once if the progress has changed.
    pub fn tick(
        &mut self,
        now: Duration,
        core: &mut Core,
        shards: &Shards,
        stats: impl FnOnce() -> acacia_peer::Stats,
    ) {
        let progress = core.progress();
        let is_due = self
            .last
            .is_none_or(|(at, before)| before != progress || now.saturating_sub(at) >= INTERVAL);
        if !is_due {
            return;
        }
        self.last = Some((now, progress));
        let before = self.published.load();
        let status = core.status(now, clock::time_of_day(), shards);
        // Encoding the document takes milliseconds, and it is the same while its revision and
        // change are.
        let version = |status: &acacia_api::Status| (status.revision, status.change);
        let is_same = before.document.is_some() && version(&before.status) == version(&status);
        let document = if is_same {
            before.document.clone()
        } else {
            core.document()
        };
        let stats = stats();
        self.published.store(Arc::new(Status {
            at: now,
            status,
            document,
            traffic: self.meter.read(&stats),
            mesh: stats,
        }));
    }

    /// Bytes of control messages, as of the latest snapshot.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.published.load().traffic
    }
}

/// Binds the admin listener. Retries for two seconds, as the address may still be in use.
pub fn listen(address: SocketAddrV4) -> std::io::Result<std::net::TcpListener> {
    let deadline = Instant::now() + BIND_TIMEOUT;
    loop {
        match std::net::TcpListener::bind(address) {
            Ok(listener) => {
                listener.set_nonblocking(true)?;
                return Ok(listener);
            }
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => std::thread::sleep(BIND_RETRY),
        }
    }
}

/// Serves requests of operators until `stop` is cancelled.
pub fn run(
    listener: std::net::TcpListener,
    stop: CancellationToken,
    published: &Published,
    ledger: &Arc<Ledger>,
) -> Result<(), BoxError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (for_status, for_document) = (Arc::clone(published), Arc::clone(published));
    let status = move || {
        let snapshot = for_status.load();
        let age = clock::now().saturating_sub(snapshot.at);
        snapshot.status.clone().aged(age.as_millis() as u64)
    };
    let document = move || for_document.load().document.clone();
    let ledger = Arc::clone(ledger);
    let ledger = move || ledger.snapshot();
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let limiter = acacia_api::limiter().into();
        acacia_api::serve(listener, stop, limiter, status, document, ledger).await;
        Ok(())
    })
}
