//! Holds a connection that is opened on demand and discarded when it has broken or gone silent.

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

/// The connection in use, if any, and the tasks that drive connections.
#[derive(Debug, Default)]
pub(super) struct Slot {
    current: Mutex<Option<Arc<Open>>>,
    tasks: TaskTracker,
}

/// An open connection. The task that drives it is stopped when the last user drops it.
pub(super) struct Open {
    call: CallFn,
    liveness: Mutex<Liveness>,
    _stop: DropGuard,
}

impl std::fmt::Debug for Open {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Open")
            .field("link", &self.liveness)
            .finish_non_exhaustive()
    }
}

impl Open {
    /// Makes one call over this connection.
    pub(super) async fn call(&self, call: Call, deadline: Instant) -> Result<Answer, Failure> {
        (self.call)(call, deadline).await
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
    /// Returns the connection in use or opens a new one. If two callers connect at the same time,
    /// the later connection remains in use and the other is closed after its call.
    pub(super) async fn get_or_open(
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
                // An error of the connection fails each of its calls, so it is not reported here.
                () = connection.driver => {}
                () = stopped.cancelled() => {}
            }
        });
        let open = Arc::new(Open {
            call: connection.call,
            liveness: Mutex::new(Liveness::new(start.elapsed())),
            _stop: stop.drop_guard(),
        });
        *self.lock() = Some(Arc::clone(&open));
        Ok(open)
    }

    /// Stops using a connection, unless another one has already replaced it.
    pub(super) fn discard(&self, open: &Arc<Open>) {
        let mut current = self.lock();
        if current.as_ref().is_some_and(|now| Arc::ptr_eq(now, open)) {
            *current = None;
        }
    }

    /// Stops using the connection and waits until the tasks of all connections have ended.
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
