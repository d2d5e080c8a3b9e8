//! When a balancer that has just started may serve.

use std::time::Duration;

/// How long to listen for peers. All of them send heartbeats several times in it.
const LISTEN: Duration = Duration::from_secs(1);
/// How long to wait for the store. It answers in milliseconds or is down.
const PATIENCE: Duration = Duration::from_secs(3);

/// What a balancer still has to learn before it serves.
///
/// It starts with nothing, and both of its sources may mislead it: the store may answer an older
/// value, and the first peer that it hears may lag. Serving by either would send a drained
/// server new work, or a removed service's callers to its successor. Hence it hears both, and
/// then holds the highest.
#[derive(Debug)]
pub(crate) struct Join {
    born: Duration,
    store: bool,
    ready: bool,
}

impl Join {
    pub(crate) fn new(born: Duration) -> Self {
        Join {
            born,
            store: false,
            ready: false,
        }
    }

    /// The store has answered or failed.
    pub(crate) fn asked_store(&mut self) {
        self.store = true;
    }

    /// Whether the store has yet to be asked for the first time.
    pub(crate) fn needs_store(&self) -> bool {
        !self.store
    }

    /// Whether it is ready already.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether it becomes ready now. `highest` says that it holds a configuration and that no
    /// live peer has a newer one.
    pub(crate) fn becomes_ready(&mut self, now: Duration, highest: bool) -> bool {
        let listened = now >= self.born + LISTEN;
        let asked = self.store || now >= self.born + PATIENCE;
        let becomes = !self.ready && highest && listened && asked;
        self.ready |= becomes;
        becomes
    }
}
