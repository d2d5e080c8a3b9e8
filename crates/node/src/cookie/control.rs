//! The control thread's state, shared by its tasks.

use std::{
    net::UdpSocket,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Duration,
};

use acacia_kernel::BoxError;
use tokio::sync::Notify;

use super::{
    answer::Limiters,
    checks::Checks,
    core::{Core, Outcome},
    exchange,
    message::Outgoing,
    meters::Meters,
    rotation::Phase,
    settings::Settings,
    traffic::Published,
};
use crate::{clock, counter::Counter};

/// What the tasks of the control thread share.
pub struct Control {
    core: Mutex<Core>,
    pub(super) phase: Mutex<Phase>,
    checks: Mutex<Checks>,
    pub(super) settings: Mutex<Settings>,
    pub(super) socket: tokio::net::UdpSocket,
    pub(super) published: Published,
    pub(super) counter: Arc<Counter>,
    /// Metrics.
    pub meters: Arc<Meters>,
    pub(super) limiters: Limiters,
    pub(super) fetching: Arc<AtomicBool>,
    /// Wakes the task that follows the store.
    pub wake: Notify,
    /// Wakes the task that publishes.
    pub(super) changed: Notify,
    /// Wakes the task that probes.
    pub(super) doubt: Notify,
}

impl Control {
    /// The state of a balancer that has just started.
    ///
    /// # Errors
    /// When its control address is taken.
    pub fn new(
        settings: Settings,
        published: Published,
        counter: Arc<Counter>,
        meters: Arc<Meters>,
    ) -> Result<Self, BoxError> {
        let incarnation = clock::time_of_day().as_millis() as u64;
        let socket = UdpSocket::bind(settings.control)?;
        socket.set_nonblocking(true)?;
        Ok(Control {
            core: Mutex::new(Core::new(&settings, incarnation, clock::now())),
            phase: Mutex::new(Phase::Starting),
            checks: Mutex::default(),
            settings: Mutex::new(settings),
            socket: tokio::net::UdpSocket::from_std(socket)?,
            published,
            counter,
            meters,
            limiters: Limiters::default(),
            fetching: Arc::default(),
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
        self.send(outcome.outgoing).await;
    }

    /// All metrics as text.
    pub fn text(&self) -> String {
        let standing = self.core(|core, now| core.summary(now));
        let listeners = self.limiters.all();
        self.meters.text(&self.counter, &standing, &listeners)
    }

    /// Whether the routers should send packets here.
    pub fn is_ready(&self) -> bool {
        lock(&self.phase).is_ready() && !lock(&self.core).is_isolated()
    }

    /// Answers a router's check.
    pub fn check(&self) -> bool {
        if let Some(change) = lock(&self.checks).came(clock::now()) {
            change.log();
        }
        self.is_ready()
    }

    /// Looks whether the routers still ask.
    pub(super) fn look_for_checks(&self) {
        if let Some(change) = lock(&self.checks).look(clock::now()) {
            change.log();
        }
    }

    /// Sends messages to peers.
    pub async fn send(&self, outgoing: Vec<Outgoing>) {
        if outgoing.is_empty() {
            return;
        }
        let secret = lock(&self.settings).secret.clone();
        exchange::send(&self.socket, outgoing, &secret).await;
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
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
