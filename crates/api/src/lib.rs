//! The operators' interface of balancers: a tarpc service over TCP.
//!
//! A balancer passes three functions to [`serve`]; operators' programs send requests with [`ask`].
//! The service is read-only: changes are made in the platform's store.

mod ask;
pub mod status;

use std::{sync::Arc, time::Duration};

use acacia_accept::{Limiter, Limits, listen};
use acacia_burn::Ledger;
use acacia_platform::server;
use tarpc::{context::Context, server::Serve as _};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

pub use ask::{Error, ask};
pub use status::Status;

/// Maximum size of a request in bytes, several times that of a valid one.
const MAX_REQUEST_SIZE: usize = 4_096;
/// Maximum number of connections on which a request was sent.
const MAX_ACTIVE: usize = 8;
/// Maximum number of connections on which no request was sent yet.
const MAX_PENDING: usize = 32;
/// Time limit for the first request on a connection.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without a request after which a connection is closed. Without it, a connection whose other
/// end has vanished would use up one of the [`MAX_ACTIVE`] for ever.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time without a request after which a connection may be closed in favour of another operator's.
const STALLED_AFTER: Duration = Duration::from_secs(5);

/// The requests that a balancer answers.
#[tarpc::service]
pub trait Admin {
    /// The state of the balancer.
    async fn status() -> Status;
    /// The document that the balancer has in force, encoded as in the platform's store; `None` if
    /// it has none yet. While the store is down, operators see the configuration in force by this.
    async fn document() -> Option<Arc<str>>;
    /// Counts of how the flows of each service ended on this balancer, for the report on
    /// service-level burn.
    async fn ledger() -> Ledger;
}

/// The limits of operators' connections.
///
/// ```
/// assert_eq!(acacia_api::limiter().name(), "operators");
/// ```
#[must_use]
pub fn limiter() -> Limiter {
    let limits = Limits {
        pending: MAX_PENDING,
        active: MAX_ACTIVE,
        pending_timeout: FIRST_REQUEST_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        stalled_after: STALLED_AFTER,
    };
    Limiter::new("operators", limits)
}

/// Handler operators until `stop` is cancelled, and returns when all of its tasks have ended. The
/// functions return the current answers. They are called on the runtime's threads, so they should
/// read a snapshot and must not block.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// use acacia_api::Status;
/// use tokio_util::sync::CancellationToken;
///
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let address = listener.local_addr()?;
/// let stop = CancellationToken::new();
/// let status = || Status { name: "entry-1".into(), ..Status::default() };
/// let server = tokio::spawn(acacia_api::serve(
///     listener, stop.clone(), acacia_api::limiter().into(), status, || None, Default::default,
/// ));
///
/// let deadline = std::time::Duration::from_secs(5);
/// let status = acacia_api::ask(address, deadline, async |admin, ctx| admin.status(ctx).await).await;
/// assert_eq!(status.map(|status| status.name), Ok("entry-1".into()));
/// stop.cancel();
/// server.await?;
/// # Ok(())
/// # }
/// ```
pub async fn serve<S, D, L>(
    listener: TcpListener,
    stop: CancellationToken,
    limiter: Arc<Limiter>,
    status: S,
    document: D,
    ledger: L,
) where
    S: Fn() -> Status + Clone + Send + Sync + 'static,
    D: Fn() -> Option<Arc<str>> + Clone + Send + Sync + 'static,
    L: Fn() -> Ledger + Clone + Send + Sync + 'static,
{
    listen(listener, stop, limiter, move |stream, slot| {
        let handler = Handler {
            status: status.clone(),
            document: document.clone(),
            ledger: ledger.clone(),
        };
        server::serve_connection(stream, MAX_REQUEST_SIZE, move |ctx, req| {
            slot.activate();
            handler.clone().serve().serve(ctx, req)
        })
    })
    .await;
}

/// Implements the tarpc service by the functions passed to [`serve`].
#[derive(Clone)]
struct Handler<S, D, L> {
    status: S,
    document: D,
    ledger: L,
}

impl<S, D, L> Admin for Handler<S, D, L>
where
    S: Fn() -> Status + Send,
    D: Fn() -> Option<Arc<str>> + Send,
    L: Fn() -> Ledger + Send,
{
    async fn status(self, _: Context) -> Status {
        (self.status)()
    }

    async fn document(self, _: Context) -> Option<Arc<str>> {
        (self.document)()
    }

    async fn ledger(self, _: Context) -> Ledger {
        (self.ledger)()
    }
}
