use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use acacia_accept::{Limiter, Limits};
use tokio::sync::Notify;

use crate::Settings;
use crate::state::State;

/// Connections that have not carried a valid frame yet, at a time.
const PENDING: usize = 256;
/// Connections of peers at a time, several times the largest group.
const ACTIVE: usize = 512;
/// How long a connection has to carry its first valid frame, which a peer sends as it connects.
const FIRST_FRAME: Duration = Duration::from_secs(2);

/// The state, its lock, and what wakes the task that keeps the connections.
pub(crate) struct Shared {
    state: Mutex<State>,
    /// The list of peers has changed.
    pub(crate) peers_changed: Notify,
    /// Bounds the connections that are accepted.
    pub(crate) limiter: Arc<Limiter>,
}

impl Shared {
    pub(crate) fn new(state: State) -> Self {
        let limits = limits(&state.settings);
        Shared {
            state: Mutex::new(state),
            peers_changed: Notify::new(),
            limiter: Arc::new(Limiter::new("control", limits)),
        }
    }

    /// The state. A thread that panicked while it held the lock can't have left it half changed
    /// in a way that matters: counters and queues are valid after every step.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        pending: PENDING,
        active: ACTIVE,
        pending_timeout: FIRST_FRAME,
        idle_timeout: settings.max_silence_timeout,
        stalled_after: settings.silence_timeout(),
    }
}
