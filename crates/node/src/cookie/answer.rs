//! TCP listeners for routers, peers, scrapers and operators, and their connection limits.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_accept::{Limiter, Limits, listen};
use acacia_adapter::ready;
use acacia_kernel::BoxError;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{control::Control, exchange, scrape, status};
use crate::ledger::Ledger;

/// Maximum number of active connections of routers, and of scrapers. They keep a connection open
/// between requests.
const MAX_CLIENTS: usize = 64;
/// Idle time after which the connection of a router or scraper is closed. A client with longer
/// intervals between its requests reconnects for each.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle time after which the connection of a router or scraper may be closed in favour of another
/// one, if [`MAX_CLIENTS`] are active.
const CLIENT_STALL_TIME: Duration = Duration::from_secs(2);
/// Maximum number of differences sent to peers at the same time. Each is held in memory until it
/// has been sent.
const MAX_DIFFERENCES: usize = 32;
/// Time after which an unfinished transfer of a difference may be aborted in favour of another one, if
/// [`MAX_DIFFERENCES`] are under way. Its peer may have stopped reading.
const DIFFERENCE_STALL_TIME: Duration = Duration::from_millis(500);
/// Maximum number of connections per listener that have not carried a valid request yet.
const MAX_PENDING: usize = 256;
/// Time within which a new connection must carry a valid request.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// The connection limiter of each listener.
#[derive(Debug)]
pub struct Limiters {
    routers: Arc<Limiter>,
    peers: Arc<Limiter>,
    scrapers: Arc<Limiter>,
    operators: Arc<Limiter>,
}

impl Default for Limiters {
    fn default() -> Self {
        let clients = Limits {
            pending: MAX_PENDING,
            active: MAX_CLIENTS,
            pending_timeout: FIRST_REQUEST_TIMEOUT,
            idle_timeout: CLIENT_IDLE_TIMEOUT,
            stalled_after: CLIENT_STALL_TIME,
        };
        let peers = Limits {
            pending: MAX_PENDING,
            active: MAX_DIFFERENCES,
            pending_timeout: FIRST_REQUEST_TIMEOUT,
            idle_timeout: exchange::FETCH_TIMEOUT,
            stalled_after: DIFFERENCE_STALL_TIME,
        };
        Limiters {
            routers: Arc::new(Limiter::new("routers", clients)),
            peers: Arc::new(Limiter::new("peers", peers)),
            scrapers: Arc::new(Limiter::new("scrapers", clients)),
            operators: Arc::new(acacia_api::limiter()),
        }
    }
}

impl Limiters {
    /// Returns all limiters, for the metrics.
    pub fn all(&self) -> [&Limiter; 4] {
        [&self.routers, &self.peers, &self.scrapers, &self.operators]
    }
}

/// Answers the routers' readiness checks until `stop` is cancelled.
///
/// # Errors
/// Never; the result type is that of the other tasks.
pub async fn routers(
    control: Arc<Control>,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    let limiter = Arc::clone(&control.limiters.routers);
    listen(listener, stop, limiter, |stream, slot| {
        let control = Arc::clone(&control);
        let check = move || {
            slot.activate();
            control.check()
        };
        async move { ready::serve(stream, check).await }
    })
    .await;
    Ok(())
}

/// Answers peers' requests for differences until `stop` is cancelled.
///
/// # Errors
/// Never; the result type is that of the other tasks.
pub async fn peers(
    control: Arc<Control>,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    let limiter = Arc::clone(&control.limiters.peers);
    listen(listener, stop, limiter, |stream, slot| {
        let control = Arc::clone(&control);
        let peer_slot = Arc::clone(&slot);
        let difference = move |revision| {
            peer_slot.activate();
            control.core(|core, now| core.difference(revision, now))
        };
        exchange::serve(stream, difference, move || slot.finish())
    })
    .await;
    Ok(())
}

/// Serves metrics to scrapers until `stop` is cancelled.
///
/// # Errors
/// Never; the result type is that of the other tasks.
pub async fn scrapes(
    control: Arc<Control>,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    let limiter = Arc::clone(&control.limiters.scrapers);
    listen(listener, stop, limiter, |stream, slot| {
        let control = Arc::clone(&control);
        let text = move || {
            slot.activate();
            control.text()
        };
        async move { scrape::serve(stream, text).await }
    })
    .await;
    Ok(())
}

/// Answers operators at `address` until `stop` is cancelled. There is no configuration document to
/// return: operators write the configuration to the platform's store themselves, in the platform's
/// format.
///
/// # Errors
/// Never; the result type is that of the other tasks.
pub async fn operators(
    control: Arc<Control>,
    ledger: Arc<Ledger>,
    address: SocketAddrV4,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    let limiter = Arc::clone(&control.limiters.operators);
    let status = move || status::status(&control, address);
    let counts = move || ledger.snapshot();
    acacia_api::serve(listener, stop, limiter, status, || None, counts).await;
    Ok(())
}
