//! The platform's calls as a tarpc service. Each call counts against the platform's rate limits; a
//! watch counts as one call, however long it waits.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tarpc::{
    client::{self, RpcError},
    context,
    serde_transport::Transport as Framed,
    tokio_serde::formats::Json,
};
use tokio::{net::TcpStream, time::Instant};

use crate::{
    Error,
    machine::Machine,
    store::{Entry, Lease, Outcome, Refusal, Swap},
    transport::{Answer, Call, Connection, Failure, Transport},
};

/// The calls of the platform.
#[tarpc::service]
pub trait Platform {
    /// Reads a key.
    async fn get(key: Arc<str>) -> Entry;
    /// Writes a key if it has the expected revision.
    async fn swap(swap: Swap) -> Result<Outcome, Refusal>;
    /// Waits until the key's revision is above the given one, at most `wait_ms` milliseconds, and
    /// returns the entry.
    async fn watch(key: Arc<str>, above: u64, wait_ms: u64) -> Entry;
    /// Grants a lease that expires unless it is renewed within every `ttl_ms` milliseconds.
    async fn grant(ttl_ms: u64) -> Lease;
    /// Renews a lease.
    async fn keep_alive(lease: Lease) -> Result<(), Refusal>;
    /// Revokes a lease and removes its keys.
    async fn revoke(lease: Lease) -> Result<(), Refusal>;
    /// The list of live and leaving VMs, which is updated with a delay.
    async fn machines() -> Vec<Machine>;
}

/// A transport that makes the calls of [`Platform`] as JSON over TCP.
///
/// ```
/// let transport = acacia_platform::service::transport();
/// assert!(format!("{transport:?}").contains("Transport"));
/// ```
#[must_use]
pub fn transport() -> Transport {
    Transport::new(|address| Box::pin(connect(address)))
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let framed = Framed::from((stream, Json::default()));
    let new = PlatformClient::new(client::Config::default(), framed);
    let (rpc, dispatch) = (new.client, new.dispatch);
    Ok(Connection {
        call: Box::new(move |call, deadline| Box::pin(make_call(rpc.clone(), call, deadline))),
        driver: Box::pin(async move {
            // An error of the connection fails each of its calls, so it is not reported here.
            let _ = dispatch.await;
        }),
    })
}

async fn make_call(rpc: PlatformClient, call: Call, deadline: Instant) -> Result<Answer, Failure> {
    let mut ctx = context::current();
    ctx.deadline = deadline.into_std();
    let answer = match call {
        Call::Get { key } => rpc.get(ctx, key).await.map(Answer::Entry),
        Call::Swap(swap) => rpc.swap(ctx, swap).await.map(Answer::Swapped),
        Call::Watch { key, above, wait } => {
            let watched = rpc.watch(ctx, key, above, millis(wait)).await;
            watched.map(Answer::Entry)
        }
        Call::Grant { ttl } => rpc.grant(ctx, millis(ttl)).await.map(Answer::Granted),
        Call::KeepAlive { lease } => rpc.keep_alive(ctx, lease).await.map(Answer::Done),
        Call::Revoke { lease } => rpc.revoke(ctx, lease).await.map(Answer::Done),
        Call::Machines => rpc.machines(ctx).await.map(Answer::Machines),
        Call::Range { .. } | Call::Changes { .. } => {
            return Err(Failure::Refused(Error::Unsupported));
        }
    };
    answer.map_err(|error| match error {
        RpcError::DeadlineExceeded => Failure::Deadline,
        error => Failure::Broken(error.to_string()),
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
