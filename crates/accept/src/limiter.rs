use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use acacia_wire::collections::Map;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::{
    Activation, Limits, Stats, Table,
    stats::{Counters, increment},
};

/// The limits of one listener and the connections it has open.
#[derive(Debug)]
pub struct Limiter {
    name: &'static str,
    state: Mutex<State>,
    pub(crate) counters: Counters,
    start: Instant,
}

#[derive(Debug)]
struct State {
    table: Table,
    /// The token that closes each connection, by the connection's id.
    cancellations: Map<u64, CancellationToken>,
}

impl Limiter {
    /// Creates the limiter of a listener; `name` identifies it in logs and metrics.
    ///
    /// ```
    /// use std::time::Duration;
    /// use acacia_accept::{Limiter, Limits, Stats};
    /// let second = Duration::from_secs(1);
    /// let limits = Limits {
    ///     pending: 8, active: 8,
    ///     pending_timeout: second, idle_timeout: second, stalled_after: second,
    /// };
    /// assert_eq!(Limiter::new("peers", limits).stats(), Stats::default());
    /// ```
    #[must_use]
    pub fn new(name: &'static str, limits: Limits) -> Self {
        Limiter {
            name,
            state: Mutex::new(State {
                table: Table::new(limits),
                cancellations: Map::default(),
            }),
            counters: Counters::default(),
            start: Instant::now(),
        }
    }

    /// The listener's name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.name
    }

    /// The listener's counters since it started.
    #[must_use]
    pub fn stats(&self) -> Stats {
        self.counters.snapshot()
    }

    /// The numbers of pending and of active connections.
    #[must_use]
    pub fn open_connections(&self) -> (usize, usize) {
        let table = &self.lock().table;
        (table.count(false), table.count(true))
    }

    /// Registers an accepted connection and closes a pending one if there are too many.
    pub(crate) fn admit(self: &Arc<Self>, from: IpAddr) -> Slot {
        let mut state = self.lock();
        let admission = state.table.admit(from, self.now());
        if let Some(displaced) = admission.displaced {
            state.close(displaced);
            increment(&self.counters.displaced);
        }
        let cancellation = CancellationToken::new();
        state
            .cancellations
            .insert(admission.id, cancellation.clone());
        increment(&self.counters.accepted);
        Slot {
            limiter: Arc::clone(self),
            id: admission.id,
            cancellation,
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Ignores that the lock is poisoned: each change under it is a single step, so a panic can't
    /// leave the state half changed.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close(&mut self, id: u64) {
        if let Some(cancellation) = self.cancellations.remove(&id) {
            cancellation.cancel();
        }
    }
}

/// The entry of a connection in its listener's table. Dropping it removes the connection from the
/// table.
#[derive(Debug)]
pub struct Slot {
    limiter: Arc<Limiter>,
    id: u64,
    cancellation: CancellationToken,
}

impl Slot {
    /// Records that a valid message arrived: the connection becomes active and its deadline is
    /// extended. Returns false if the connection has to close, because it was displaced before or
    /// there are too many active ones.
    pub fn activate(&self) -> bool {
        let counters = &self.limiter.counters;
        let mut state = self.limiter.lock();
        match state.table.activate(self.id, self.limiter.now()) {
            Activation::Active => true,
            Activation::Displaced(stalled) => {
                state.close(stalled);
                increment(&counters.stalled);
                true
            }
            Activation::Refused => {
                if !self.cancellation.is_cancelled() {
                    increment(&counters.refused);
                }
                state.close(self.id);
                false
            }
        }
    }

    /// Records that no request is in progress on the connection any more: it becomes pending again
    /// and can be displaced by others.
    pub fn finish(&self) {
        let now = self.limiter.now();
        self.limiter.lock().table.finish(self.id, now);
    }

    /// Waits until the connection has to close, because the limiter closes it or its deadline
    /// passes.
    pub(crate) async fn closed(&self) {
        tokio::select! {
            () = self.cancellation.cancelled() => {}
            () = self.expired() => increment(&self.limiter.counters.expired),
        }
    }

    async fn expired(&self) {
        loop {
            let deadline = self.limiter.lock().table.deadline(self.id);
            let Some(deadline) = deadline else {
                // The connection was displaced; its cancellation ends the wait in `closed`.
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
        state.cancellations.remove(&self.id);
    }
}
