//! What routers, peers and scrapers are answered over TCP.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_accept::{Limiter, Limits, listen};
use acacia_adapter::ready;
use acacia_kernel::BoxError;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{control::Control, exchange, scrape, status};
use crate::ledger::Ledger;

/// Connections of routers or scrapers that ask. They keep theirs open between two requests.
const CLIENTS: usize = 64;
/// How long a router or scraper may go without a request. Who asks more rarely connects anew.
const CLIENT_IDLE: Duration = Duration::from_secs(10);
/// After this long without a request, a client makes room for another.
const CLIENT_STALLED: Duration = Duration::from_secs(2);
/// Differences that are being sent at a time; each is in memory until it is.
const DIFFERENCES: usize = 32;
/// After this long, a difference that a peer doesn't take makes room for another.
const DIFFERENCE_STALLED: Duration = Duration::from_millis(500);
/// Connections on which nothing valid has been asked yet, at a time.
const PENDING: usize = 256;
/// How long one has to ask something.
const FIRST_REQUEST: Duration = Duration::from_secs(2);

/// The limits of the listeners.
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
            pending: PENDING,
            active: CLIENTS,
            pending_for: FIRST_REQUEST,
            active_for: CLIENT_IDLE,
            stalled: CLIENT_STALLED,
        };
        let peers = Limits {
            pending: PENDING,
            active: DIFFERENCES,
            pending_for: FIRST_REQUEST,
            active_for: exchange::FETCH_TIMEOUT,
            stalled: DIFFERENCE_STALLED,
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
    /// All of them.
    pub fn all(&self) -> [&Limiter; 4] {
        [&self.routers, &self.peers, &self.scrapers, &self.operators]
    }
}

/// Answers the routers' checks until told to stop.
///
/// # Errors
/// None; it has the form of the other tasks.
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

/// Answers peers until told to stop.
///
/// # Errors
/// None; it has the form of the other tasks.
pub async fn peers(
    control: Arc<Control>,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    let limiter = Arc::clone(&control.limiters.peers);
    listen(listener, stop, limiter, |stream, slot| {
        let control = Arc::clone(&control);
        let asked = Arc::clone(&slot);
        let difference = move |revision| {
            asked.activate();
            control.core(|core, now| core.difference(revision, now))
        };
        exchange::serve(stream, difference, move || slot.finish())
    })
    .await;
    Ok(())
}

/// Answers scrapers until told to stop.
///
/// # Errors
/// None; it has the form of the other tasks.
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

/// Answers operators at `address` until told to stop. There is no document to show: the operators
/// write the configuration to the platform themselves, in its form.
///
/// # Errors
/// None; it has the form of the other tasks.
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
