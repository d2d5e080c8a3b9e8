//! The place of a connection: opened on demand, discarded when it is broken or silent.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tarpc::{client, serde_transport::Transport, tokio_serde::formats::Json};
use tokio::{net::TcpStream, time::Instant};
use tokio_util::{
    sync::{CancellationToken, DropGuard},
    task::TaskTracker,
};

use crate::{link::Link, service::PlatformClient};

/// Holds the connection in use, if any, and all tasks that serve connections.
#[derive(Debug, Default)]
pub(super) struct Slot {
    current: Mutex<Option<Arc<Open>>>,
    tasks: TaskTracker,
}

/// An open connection. The task that serves it ends with the last call that uses it.
#[derive(Debug)]
pub(super) struct Open {
    rpc: PlatformClient,
    link: Mutex<Link>,
    _stop: DropGuard,
}

impl Open {
    pub(super) fn rpc(&self) -> &PlatformClient {
        &self.rpc
    }

    pub(super) fn heard(&self, now: Duration) {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        link.heard(now);
    }

    pub(super) fn is_silent(&self, sent: Duration) -> bool {
        let link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        link.is_silent(sent)
    }
}

impl Slot {
    /// The connection in use, or a new one. Two callers at once may both connect; the later one
    /// stays in use, the other lives until its call is over.
    pub(super) async fn open(&self, address: SocketAddr, start: Instant) -> io::Result<Arc<Open>> {
        if let Some(open) = self.current() {
            return Ok(open);
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let transport = Transport::from((stream, Json::default()));
        let new = PlatformClient::new(client::Config::default(), transport);
        let dispatch = new.dispatch;
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                // Its error reaches each caller as the failure of its own call.
                _ = dispatch => {}
                () = stopped.cancelled() => {}
            }
        });
        let open = Arc::new(Open {
            rpc: new.client,
            link: Mutex::new(Link::new(start.elapsed())),
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
