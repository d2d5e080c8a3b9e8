//! What operators are answered. The control thread shows an account of the balancer about once a
//! second; a thread of its own gives it out and never waits for control.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::{Duration, Instant},
};

use acacia_api::Status;
use acacia_flow::Shards;
use acacia_kernel::BoxError;
use arc_swap::ArcSwap;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    control::core::{Core, ServingState},
    ledger::Ledger,
    metrics::{Meter, Traffic},
};

/// Between two accounts. Ages go on while an account is given out, so that a control thread that
/// hangs is seen by its ages.
const PAUSE: Duration = Duration::from_secs(1);
/// How long the listener is tried for: a process before this one may just be ending.
const BINDING: Duration = Duration::from_secs(2);
/// Between two tries.
const RETRY: Duration = Duration::from_millis(50);

/// What the control thread shows.
#[derive(Debug, Clone, Default)]
pub struct StatusSnapshot {
    /// When it was made, by [`clock::now`].
    pub at: Duration,
    /// How the balancer is.
    pub status: Status,
    /// The document in force, encoded.
    pub document: Option<Arc<str>>,
    /// Bytes of control messages since the start.
    pub traffic: Traffic,
    /// Counts of the control messages and connections.
    pub mesh: acacia_peer::Stats,
}

/// The latest account.
pub type Published = Arc<ArcSwap<StatusSnapshot>>;

/// The control thread's side: when to show what.
#[derive(Debug)]
pub struct StatusPublisher {
    published: Published,
    meter: Meter,
    last: Option<(Duration, ServingState)>,
}

impl StatusPublisher {
    /// Shows through `published`.
    #[must_use]
    pub fn new(published: Published) -> Self {
        StatusPublisher {
            published,
            meter: Meter::default(),
            last: None,
        }
    }

    /// Shows a new account if it is time, or if something changed that operators wait for.
    pub fn tick(
        &mut self,
        now: Duration,
        core: &mut Core,
        shards: &Shards,
        stats: impl FnOnce() -> acacia_peer::Stats,
    ) {
        let state = core.serving_state();
        let is_due = self
            .last
            .is_none_or(|(at, before)| before != state || now.saturating_sub(at) >= PAUSE);
        if !is_due {
            return;
        }
        self.last = Some((now, state));
        let before = self.published.load();
        let status = core.status(now, clock::time_of_day(), shards);
        // The document changes with its revision and change only; encoding it takes milliseconds.
        let version = |status: &Status| (status.revision, status.change);
        let is_same = before.document.is_some() && version(&before.status) == version(&status);
        let document = if is_same {
            before.document.clone()
        } else {
            core.document()
        };
        let stats = stats();
        self.published.store(Arc::new(StatusSnapshot {
            at: now,
            status,
            document,
            traffic: self.meter.read(&stats),
            mesh: stats,
        }));
    }

    /// Bytes of control messages, as last shown.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        self.published.load().traffic
    }
}

/// Listens for operators. Tries again for a moment if the address is still taken.
pub fn listen(address: SocketAddrV4) -> std::io::Result<std::net::TcpListener> {
    let deadline = Instant::now() + BINDING;
    loop {
        match std::net::TcpListener::bind(address) {
            Ok(listener) => {
                listener.set_nonblocking(true)?;
                return Ok(listener);
            }
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => std::thread::sleep(RETRY),
        }
    }
}

/// Answers operators until told to stop.
pub fn run(
    listener: std::net::TcpListener,
    stop: CancellationToken,
    published: &Published,
    ledger: &Arc<Ledger>,
) -> Result<(), BoxError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (one, two) = (Arc::clone(published), Arc::clone(published));
    let status = move || {
        let snapshot = one.load();
        let age = clock::now().saturating_sub(snapshot.at);
        snapshot.status.clone().aged(age.as_millis() as u64)
    };
    let document = move || two.load().document.clone();
    let ledger = Arc::clone(ledger);
    let ledger = move || ledger.snapshot();
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let limiter = acacia_api::limiter().into();
        acacia_api::serve(listener, stop, limiter, status, document, ledger).await;
        Ok(())
    })
}
