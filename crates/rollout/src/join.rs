//! Decides when a balancer that has just started may serve.

use std::time::Duration;

/// How long to listen for peers. Each peer sends several heartbeats in this time.
const LISTEN_TIME: Duration = Duration::from_secs(1);
/// How long to wait for the store, which answers in milliseconds unless it is down.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// What a balancer still has to learn before it may serve.
///
/// A balancer starts without a configuration, and each of its sources may be outdated: the store
/// may return an older value, and the first peer heard may lag behind. With an old configuration,
/// it would send new work to a drained server, or clients of a removed service to the service that
/// replaced it. It therefore waits for both sources and uses the highest version.
#[derive(Debug)]
pub(crate) struct Join {
    started: Duration,
    store_asked: bool,
    ready: bool,
}

impl Join {
    pub(crate) fn new(started: Duration) -> Self {
        Join {
            started,
            store_asked: false,
            ready: false,
        }
    }

    /// Records that the store has answered or failed.
    pub(crate) fn asked_store(&mut self) {
        self.store_asked = true;
    }

    /// Whether the store has yet to be asked for the first time.
    pub(crate) fn needs_store(&self) -> bool {
        !self.store_asked
    }

    /// Whether the balancer has become ready.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether the balancer becomes ready now. `has_highest` is whether it has a configuration and
    /// no live peer has a newer one.
    pub(crate) fn becomes_ready(&mut self, now: Duration, has_highest: bool) -> bool {
        let listened = now >= self.started + LISTEN_TIME;
        let asked = self.store_asked || now >= self.started + STORE_TIMEOUT;
        let becomes = !self.ready && has_highest && listened && asked;
        self.ready |= becomes;
        becomes
    }
}
