//! State shared by the tasks of the control thread.

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
    traffic::{Demand, Published},
};
use crate::{clock, counter::Counter};

/// State shared by the tasks of the control thread.
pub struct Control {
    core: Mutex<Core>,
    pub(super) phase: Mutex<Phase>,
    checks: Mutex<Checks>,
    pub(super) settings: Mutex<Settings>,
    pub(super) socket: tokio::net::UdpSocket,
    pub(super) published: Published,
    demand: Demand,
    pub(super) counter: Arc<Counter>,
    /// Metrics.
    pub meters: Arc<Meters>,
    pub(super) limiters: Limiters,
    pub(super) fetching: Arc<AtomicBool>,
    /// Wakes the task that reads and watches the store.
    pub wake: Notify,
    /// Wakes the task that publishes snapshots to the traffic threads.
    pub(super) changed: Notify,
    /// Wakes the task that examines servers.
    pub(super) examination_due: Notify,
}

impl Control {
    /// Creates the state of a balancer that has just started, and binds its control socket.
    ///
    /// # Errors
    /// If the control address can't be bound.
    pub fn new(
        settings: Settings,
        published: Published,
        demand: Demand,
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
            demand,
            counter,
            meters,
            limiters: Limiters::default(),
            fetching: Arc::default(),
            wake: Notify::new(),
            changed: Notify::new(),
            examination_due: Notify::new(),
        })
    }

    /// Calls `with` on the locked core, with the current time.
    pub fn core<T>(&self, with: impl FnOnce(&mut Core, Duration) -> T) -> T {
        with(&mut lock(&self.core), clock::now())
    }

    /// Calls `with` on the core and carries out the outcome: wakes the tasks concerned and sends the
    /// messages.
    pub async fn apply(&self, with: impl FnOnce(&mut Core, Duration) -> Outcome) {
        let outcome = self.core(with);
        if outcome.changed {
            self.changed.notify_one();
        }
        if outcome.examine {
            self.examination_due.notify_one();
        }
        self.advance_phase();
        self.publish_demand();
        self.send(outcome.outgoing).await;
    }

    /// Passes the demand for services to the traffic threads, if it is due.
    pub(super) fn publish_demand(&self) {
        if let Some(view) = self.core(Core::demand_view) {
            self.demand.store(Arc::new(view));
        }
    }

    /// Returns all metrics in the exposition format.
    pub fn text(&self) -> String {
        let summary = self.core(|core, now| core.summary(now));
        let listeners = self.limiters.all();
        self.meters.text(&self.counter, &summary, &listeners)
    }

    /// Whether the routers should send packets to this balancer.
    pub fn is_ready(&self) -> bool {
        lock(&self.phase).is_ready() && !lock(&self.core).is_isolated()
    }

    /// Records a router's check and returns whether this balancer is ready.
    pub fn check(&self) -> bool {
        if let Some(change) = lock(&self.checks).record(clock::now()) {
            change.log();
        }
        self.is_ready()
    }

    /// Logs if the routers have stopped checking this balancer.
    pub(super) fn detect_lost_routers(&self) {
        if let Some(change) = lock(&self.checks).detect_loss(clock::now()) {
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

    /// Enters the serving phase once the core knows enough to serve.
    fn advance_phase(&self) {
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

/// Locks `mutex` even if it is poisoned: each change under it is a single step, so a panic leaves no
/// change half done.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
