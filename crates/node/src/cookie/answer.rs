//! What routers, peers and scrapers are answered over TCP.

use std::{net::SocketAddrV4, sync::Arc};

use acacia_adapter::ready;
use acacia_kernel::BoxError;
use acacia_platform::server;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::{control::Control, exchange, scrape, status};
use crate::ledger::Ledger;

/// Connections of routers or scrapers at a time; each takes memory and a descriptor.
const CONNECTIONS: usize = 16;
/// Connections of peers at a time; more wait in the backlog. Each answer is in memory until it is sent.
const PEERS: usize = 8;

/// Answers the routers' checks until told to stop.
///
/// # Errors
/// None; it has the form of the other tasks.
pub async fn routers(
    control: Arc<Control>,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    listen(listener, stop, CONNECTIONS, |stream| {
        let control = Arc::clone(&control);
        async move { ready::serve(stream, || control.check()).await }
    })
    .await
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
    listen(listener, stop, PEERS, |stream| {
        let control = Arc::clone(&control);
        exchange::serve(stream, move |revision| {
            control.core(|core, now| core.difference(revision, now))
        })
    })
    .await
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
    listen(listener, stop, CONNECTIONS, |stream| {
        let control = Arc::clone(&control);
        async move { scrape::serve(stream, || control.text()).await }
    })
    .await
}

/// Serves each connection, up to `most` at a time, until told to stop.
async fn listen<F>(
    listener: TcpListener,
    stop: CancellationToken,
    most: usize,
    serve: impl Fn(TcpStream) -> F,
) -> Result<(), BoxError>
where
    F: Future<Output = ()> + Send + 'static,
{
    server::listen(listener, stop, most, serve).await;
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
    let status = move || status::status(&control, address);
    let counts = move || ledger.snapshot();
    acacia_api::serve(listener, stop, status, || None, counts).await;
    Ok(())
}
