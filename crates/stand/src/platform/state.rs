//! State shared by all connections: the store, the faults in force and the call counters.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use acacia_platform::machine::Machine;
use tokio::{sync::watch, time::Instant};

use super::{
    fault::{Counts, Faults},
    store::Store,
};

/// Number of lists of VMs kept, so that [`Faults::machines_late_ms`] can serve an older one.
const MAX_MACHINE_LISTS: usize = 64;

/// The state behind one lock, and a channel that wakes the tasks waiting for a change.
#[derive(Debug)]
pub(super) struct Shared {
    start: Instant,
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
pub(super) struct Inner {
    pub(super) store: Store,
    pub(super) faults: Faults,
    pub(super) counts: Counts,
    /// Number of connections opened so far.
    pub(super) opened: u64,
    /// Connections with a lower number are never answered.
    pub(super) silent_below: u64,
    machine_lists: Vec<(Duration, Vec<Machine>)>,
}

impl Inner {
    pub(super) fn set_machines(&mut self, now: Duration, machines: Vec<Machine>) {
        self.machine_lists.push((now, machines));
        let surplus = self.machine_lists.len().saturating_sub(MAX_MACHINE_LISTS);
        self.machine_lists.drain(..surplus);
    }

    /// Returns the newest list that is at least as old as the injected delay.
    pub(super) fn machines(&self, now: Duration) -> Vec<Machine> {
        let late = Duration::from_millis(self.faults.machines_late_ms);
        let mut known = self.machine_lists.iter().rev();
        known
            .find(|(since, _)| *since + late <= now)
            .map_or_else(Vec::new, |(_, list)| list.clone())
    }
}

impl Shared {
    pub(super) fn new() -> Self {
        Shared {
            start: Instant::now(),
            inner: Mutex::default(),
            changed: watch::Sender::new(0),
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Reads or changes the state under the lock, after expiring the leases that are due.
    pub(super) fn with<T>(&self, access: impl FnOnce(&mut Inner, Duration) -> T) -> T {
        let now = self.now();
        let mut inner = self.lock();
        let expired = inner.store.expire(now);
        let value = access(&mut inner, now);
        drop(inner);
        if expired {
            self.wake();
        }
        value
    }

    /// Wakes all tasks that wait for a change.
    pub(super) fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(super) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
