//! The place of a connection: opened on demand, discarded when it is broken or silent.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::time::Instant;
use tokio_util::{
    sync::{CancellationToken, DropGuard},
    task::TaskTracker,
};

use crate::{
    liveness::Liveness,
    transport::{Answer, Call, CallFn, Failure, Transport},
};

/// Holds the connection in use, if any, and all tasks that serve connections.
#[derive(Debug, Default)]
pub(super) struct Slot {
    current: Mutex<Option<Arc<Open>>>,
    tasks: TaskTracker,
}

/// An open connection. The task that serves it ends with the last call that uses it.
pub(super) struct Open {
    caller: CallFn,
    liveness: Mutex<Liveness>,
    _stop: DropGuard,
}

impl std::fmt::Debug for Open {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Open")
            .field("liveness", &self.liveness)
            .finish_non_exhaustive()
    }
}

impl Open {
    /// Makes one call on this connection.
    pub(super) async fn call(&self, call: Call, deadline: Instant) -> Result<Answer, Failure> {
        (self.caller)(call, deadline).await
    }

    pub(super) fn record_answer(&self, now: Duration) {
        let mut liveness = self.liveness.lock().unwrap_or_else(PoisonError::into_inner);
        liveness.record_answer(now);
    }

    pub(super) fn is_silent(&self, sent: Duration) -> bool {
        let liveness = self.liveness.lock().unwrap_or_else(PoisonError::into_inner);
        liveness.is_silent(sent)
    }
}

impl Slot {
    /// The connection in use, or a new one. Two callers at once may both connect; the later one
    /// stays in use, the other lives until its call is over.
    pub(super) async fn open(
        &self,
        transport: &Transport,
        address: SocketAddr,
        start: Instant,
    ) -> io::Result<Arc<Open>> {
        if let Some(open) = self.current() {
            return Ok(open);
        }
        let connection = transport.open(address).await?;
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                // Its error reaches each caller as the failure of its own call.
                () = connection.driver => {}
                () = stopped.cancelled() => {}
            }
        });
        let open = Arc::new(Open {
            caller: connection.call,
            liveness: Mutex::new(Liveness::new(start.elapsed())),
            _stop: stop.drop_guard(),
        });
        *self.lock() = Some(Arc::clone(&open));
        Ok(open)
    }

    /// Gives up a connection, unless it has been replaced already.
    pub(super) fn discard(&self, open: &Arc<Open>) {
        let mut current = self.lock();
        if current.as_ref().is_some_and(|now| Arc::ptr_eq(now, open)) {
            *current = None;
        }
    }

    /// Gives up the connection and waits for the tasks of all that there were.
    pub(super) async fn close(&self) {
        *self.lock() = None;
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn current(&self) -> Option<Arc<Open>> {
        self.lock().clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<Arc<Open>>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
