use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use acacia_wire::collections::Map;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::{
    Activation, ConnectionTable, Limits, Stats,
    stats::{Counters, count},
};

/// The limits of one listener, and its connections.
#[derive(Debug)]
pub struct Limiter {
    name: &'static str,
    state: Mutex<State>,
    pub(crate) counters: Counters,
    start: Instant,
}

#[derive(Debug)]
struct State {
    table: ConnectionTable,
    /// What ends each connection.
    ends: Map<u64, CancellationToken>,
}

impl Limiter {
    /// The limiter of a listener that is logged by `name`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_accept::{Limiter, Limits, Stats};
    /// let second = Duration::from_secs(1);
    /// let limits = Limits {
    ///     pending: 8, active: 8, pending_timeout: second, idle_timeout: second, stalled_after: second,
    /// };
    /// assert_eq!(Limiter::new("peers", limits).stats(), Stats::default());
    /// ```
    #[must_use]
    pub fn new(name: &'static str, limits: Limits) -> Self {
        Limiter {
            name,
            state: Mutex::new(State {
                table: ConnectionTable::new(limits),
                ends: Map::default(),
            }),
            counters: Counters::default(),
            start: Instant::now(),
        }
    }

    /// What the listener is called in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// What it did since it started.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.counters.read()
    }

    /// Connections that are pending, and those that are active.
    #[must_use]
    pub fn open_connections(&self) -> (usize, usize) {
        let table = &self.lock().table;
        (table.count(false), table.count(true))
    }

    /// Lets a connection in, and closes another for it if there are too many.
    pub(crate) fn admit(self: &Arc<Self>, from: IpAddr) -> Slot {
        let mut state = self.lock();
        let admission = state.table.admit(from, self.now());
        if let Some(displaced) = admission.displaced {
            state.end(displaced);
            count(&self.counters.displaced);
        }
        let ended = CancellationToken::new();
        state.ends.insert(admission.id, ended.clone());
        count(&self.counters.accepted);
        Slot {
            limiter: Arc::clone(self),
            id: admission.id,
            ended,
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// A poisoned lock is taken as it is: each change under it is a single step.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn end(&mut self, id: u64) {
        if let Some(end) = self.ends.remove(&id) {
            end.cancel();
        }
    }
}

/// The place of a connection at its listener; dropping it gives the place back.
#[derive(Debug)]
pub struct Slot {
    limiter: Arc<Limiter>,
    id: u64,
    ended: CancellationToken,
}

impl Slot {
    /// Takes in that a valid message came: the connection is active now, and its deadline starts
    /// anew. False if it has to close, as there is no place for it.
    pub fn activate(&self) -> bool {
        let counters = &self.limiter.counters;
        let mut state = self.limiter.lock();
        match state.table.activate(self.id, self.limiter.now()) {
            Activation::Active => true,
            Activation::Displaced(stalled) => {
                state.end(stalled);
                count(&counters.stalled);
                true
            }
            Activation::Refused => {
                if !self.ended.is_cancelled() {
                    count(&counters.refused);
                }
                state.end(self.id);
                false
            }
        }
    }

    /// Takes in that nothing is under way on the connection any more: it is pending again, and may
    /// make room for others.
    pub fn finish(&self) {
        let now = self.limiter.now();
        self.limiter.lock().table.finish(self.id, now);
    }

    /// Waits until the connection has to close: another needs its place, or its deadline has passed.
    pub(crate) async fn closed(&self) {
        tokio::select! {
            () = self.ended.cancelled() => {}
            () = self.expired() => count(&self.limiter.counters.expired),
        }
    }

    async fn expired(&self) {
        loop {
            let deadline = self.limiter.lock().table.deadline(self.id);
            let Some(deadline) = deadline else {
                // Displaced: the other branch ends it.
                return std::future::pending().await;
            };
            if deadline <= self.limiter.now() {
                return;
            }
            sleep_until(self.limiter.start + deadline).await;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        state.table.remove(self.id);
        state.ends.remove(&self.id);
    }
}
