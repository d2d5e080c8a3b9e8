//! What routers, peers and scrapers are answered over TCP.

use std::sync::Arc;

use acacia_adapter::ready;
use acacia_kernel::BoxError;
use acacia_platform::server;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::{control::Control, exchange, scrape};

/// Connections at a time, of routers or of peers. Load: routers ask twice a second, and peers fetch
/// differences together when a large configuration comes. Harm: each takes memory and a descriptor.
const CONNECTIONS: usize = 64;

/// Answers the routers' checks until told to stop.
///
/// # Errors
/// None; it has the form of the other tasks.
pub async fn routers(
    control: Arc<Control>,
    listener: TcpListener,
    stop: CancellationToken,
) -> Result<(), BoxError> {
    server::listen(listener, stop, CONNECTIONS, move |stream| {
        let control = Arc::clone(&control);
        async move { ready::serve(stream, || control.is_ready()).await }
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
    server::listen(listener, stop, CONNECTIONS, move |stream| {
        let control = Arc::clone(&control);
        exchange::serve(stream, move |revision| {
            control.core(|core, now| core.difference(revision, now))
        })
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
    server::listen(listener, stop, CONNECTIONS, move |stream| {
        let control = Arc::clone(&control);
        async move { scrape::serve(stream, || control.text()).await }
    })
    .await;
    Ok(())
}
