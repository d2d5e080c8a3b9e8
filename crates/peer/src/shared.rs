use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

use crate::state::State;

/// The state, its lock, and what wakes the task that keeps the connections.
pub(crate) struct Shared {
    state: Mutex<State>,
    /// The list of peers has changed.
    pub(crate) peers_changed: Notify,
}

impl Shared {
    pub(crate) fn new(state: State) -> Self {
        Shared {
            state: Mutex::new(state),
            peers_changed: Notify::new(),
        }
    }

    /// The state. A thread that panicked while it held the lock can't have left it half changed
    /// in a way that matters: counters and queues are valid after every step.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
