//! What all connections share: the store, the faults in force, the counts.

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

/// How many older lists of VMs are kept for the fault of being late.
const LISTS: usize = 64;

/// The state behind one lock, and what wakes those who wait for a change of it.
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
    /// Connections opened so far.
    pub(super) opened: u64,
    /// Connections with a lower number are silent.
    pub(super) silent_below: u64,
    lists: Vec<(Duration, Vec<Machine>)>,
}

impl Inner {
    pub(super) fn set_machines(&mut self, now: Duration, machines: Vec<Machine>) {
        self.lists.push((now, machines));
        let surplus = self.lists.len().saturating_sub(LISTS);
        self.lists.drain(..surplus);
    }

    /// The newest list that is at least as old as the fault says.
    pub(super) fn machines(&self, now: Duration) -> Vec<Machine> {
        let late = Duration::from_millis(self.faults.machines_late_ms);
        let mut known = self.lists.iter().rev();
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

    /// Looks at the state or changes it, after ending the leases that are over.
    pub(super) fn with<T>(&self, look: impl FnOnce(&mut Inner, Duration) -> T) -> T {
        let now = self.now();
        let mut inner = self.lock();
        let expired = inner.store.expire(now);
        let value = look(&mut inner, now);
        drop(inner);
        if expired {
            self.wake();
        }
        value
    }

    /// Wakes all that wait for a change.
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
