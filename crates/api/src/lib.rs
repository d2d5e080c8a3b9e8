//! What balancers answer operators: a tarpc service over TCP.
//!
//! A balancer hands three functions to [`serve`]; operators' programs ask with [`ask`]. The service
//! only reads: changes go through the platform's store.

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

/// Longest question in bytes, several times a legal one.
const LONGEST_QUESTION: usize = 4_096;
/// Connections of operators that ask, at a time.
const ACTIVE: usize = 8;
/// Connections on which nothing was asked yet, at a time.
const PENDING: usize = 32;
/// How long one has to ask something.
const FIRST_QUESTION: Duration = Duration::from_secs(10);
/// How long a connection may stay without a question. One whose other end has gone without a word
/// would keep its place for good.
const IDLE: Duration = Duration::from_secs(60);
/// After this long without a question, a connection makes room for another operator's.
const STALLED: Duration = Duration::from_secs(5);

/// The questions that a balancer answers.
#[tarpc::service]
pub trait Admin {
    /// How the balancer is.
    async fn status() -> Status;
    /// The document that it has in force, encoded as in the platform's store; none if it has none
    /// yet. With the store down this is how operators see what is in force.
    async fn document() -> Option<Arc<str>>;
    /// How the flows of each service ended here, for the report on service-level burn.
    async fn ledger() -> Ledger;
}

/// The limits on operators' connections.
///
/// ```
/// assert_eq!(acacia_api::limiter().name(), "operators");
/// ```
#[must_use]
pub fn limiter() -> Limiter {
    let limits = Limits {
        pending: PENDING,
        active: ACTIVE,
        pending_timeout: FIRST_QUESTION,
        idle_timeout: IDLE,
        stalled_after: STALLED,
    };
    Limiter::new("operators", limits)
}

/// Answers operators until told to stop, and returns once nothing of it runs any more. The
/// functions give the current answers; they are called on the runtime's threads, so they should
/// read a snapshot and not wait.
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
        let answers = Answers {
            status: status.clone(),
            document: document.clone(),
            ledger: ledger.clone(),
        };
        server::serve_connection(stream, LONGEST_QUESTION, move |ctx, req| {
            slot.activate();
            answers.clone().serve().serve(ctx, req)
        })
    })
    .await;
}

/// The answers as a tarpc service.
#[derive(Clone)]
struct Answers<S, D, L> {
    status: S,
    document: D,
    ledger: L,
}

impl<S, D, L> Admin for Answers<S, D, L>
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
