use std::{net::SocketAddr, time::Duration};

use acacia_platform::answer;
use tarpc::{
    client::{self, RpcError},
    context::{self, Context},
    serde_transport::Transport,
    tokio_serde::formats::Json,
};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{self, Instant},
};

use crate::AdminClient;

/// Why a balancer did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// No connection could be opened in time.
    #[error("no connection")]
    Unreachable,
    /// The balancer did not answer in time, or the connection failed.
    #[error("no answer")]
    Silent,
}

/// Sends a request to the balancer at `address` over a new connection, which is closed after the
/// answer. See [`serve`](crate::serve) for an example.
///
/// # Errors
/// If there is no answer before the deadline.
pub async fn ask<T>(
    address: SocketAddr,
    deadline: Duration,
    request: impl AsyncFnOnce(&AdminClient, Context) -> Result<T, RpcError>,
) -> Result<T, Error> {
    let deadline = Instant::now() + deadline;
    let stream = time::timeout_at(deadline, TcpStream::connect(address))
        .await
        .map_err(|_| Error::Unreachable)?
        .map_err(|_| Error::Unreachable)?;
    let transport = Transport::from((stream, Json::default()));
    let new = AdminClient::new(client::Config::default(), transport);
    let mut ctx = context::current();
    ctx.deadline = deadline.into_std();
    let admin = new.client;
    // The connection is driven here and not in a task of its own, so that it is closed when this
    // call returns.
    let call = time::timeout_at(deadline, request(&admin, ctx));
    match answer::wait_for(call, new.dispatch).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(_)) | Err(_) => Err(Error::Silent),
    }
}
