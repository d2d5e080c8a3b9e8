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

/// Why a balancer has not answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Error {
    /// There is no connection to it.
    #[error("no connection")]
    Unreachable,
    /// It did not answer in time, or broke off.
    #[error("no answer")]
    Silent,
}

/// Asks the balancer at `address` over a connection of its own, which ends with the answer. See
/// [`serve`](crate::serve) for an example.
///
/// # Errors
/// When there is no answer within the deadline.
pub async fn ask<T>(
    address: SocketAddr,
    deadline: Duration,
    question: impl AsyncFnOnce(&AdminClient, Context) -> Result<T, RpcError>,
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
    // The connection is served here and not by a task of its own: it ends with this call.
    let call = time::timeout_at(deadline, question(&admin, ctx));
    match answer::wait_for(call, new.dispatch).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(_)) | Err(_) => Err(Error::Silent),
    }
}
