use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use acacia_accept::{Limiter, Limits};
use tokio::sync::Notify;

use crate::Settings;
use crate::state::State;

/// Maximum number of accepted connections that have not carried a valid frame yet.
const MAX_PENDING: usize = 256;
/// Maximum number of accepted connections of peers: several times the largest group.
const MAX_ACTIVE: usize = 512;
/// How long an accepted connection may take to carry its first valid frame, which a peer sends as
/// soon as it is connected.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_secs(2);

/// The state behind its lock, and what the tasks use without the lock.
pub(crate) struct Shared {
    state: Mutex<State>,
    /// Wakes the task that keeps the outgoing connections, after the list of peers has changed.
    pub(crate) peers_changed: Notify,
    /// Limits the accepted connections.
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

    /// Locks the state. Ignores that the lock is poisoned: counters and queues are valid after
    /// every step, so the state stays usable after a panic under the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn limits(settings: &Settings) -> Limits {
    Limits {
        pending: MAX_PENDING,
        active: MAX_ACTIVE,
        pending_timeout: FIRST_FRAME_TIMEOUT,
        idle_timeout: settings.max_silence_timeout,
        stalled_after: settings.silence_timeout(),
    }
}
