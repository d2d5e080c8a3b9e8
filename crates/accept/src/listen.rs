use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinError, JoinSet},
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::{Limiter, Slot, Stats, stats::count};

/// Pause after a connection that could not be accepted, mostly as descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Shortest time between two log lines of one listener.
const REPORT: Duration = Duration::from_secs(1);

/// Accepts connections and serves each with `serve`, until told to stop. Returns once all of them
/// have ended: a server leaves no task behind.
///
/// `serve` gets the connection's [`Slot`] and calls [`Slot::activate`] on each valid message. Its
/// future is dropped when the connection has to close.
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> std::io::Result<()> {
/// use std::{sync::Arc, time::Duration};
/// use acacia_accept::{Limiter, Limits, listen};
/// use tokio_util::sync::CancellationToken;
/// let second = Duration::from_secs(1);
/// let limits = Limits {
///     pending: 8, active: 8, pending_timeout: second, idle_timeout: second, stalled_after: second,
/// };
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
/// let stop = CancellationToken::new();
/// stop.cancel();
/// listen(listener, stop, Arc::new(Limiter::new("peers", limits)), |_stream, slot| async move {
///     slot.activate();
/// })
/// .await;
/// # Ok(())
/// # }
/// ```
pub async fn listen<F>(
    listener: TcpListener,
    stop: CancellationToken,
    limiter: Arc<Limiter>,
    serve: impl Fn(TcpStream, Arc<Slot>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut report = Report::default();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(ended) = connections.join_next() => note_end(&limiter, ended),
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    let slot = Arc::new(limiter.admit(from.ip()));
                    let served = serve(stream, Arc::clone(&slot));
                    connections.spawn(until_closed(slot, served));
                }
                Err(error) => pause(&limiter, &error).await,
            },
            () = time::sleep_until(report.next), if report.is_due(&limiter) => report.log(&limiter),
        }
    }
    connections.shutdown().await;
}

async fn until_closed(slot: Arc<Slot>, served: impl Future<Output = ()>) {
    tokio::select! {
        biased;
        () = slot.closed() => {}
        () = served => {}
    }
}

fn note_end(limiter: &Limiter, ended: Result<(), JoinError>) {
    let Err(error) = ended else { return };
    count(&limiter.counters.panicked);
    let port = limiter.name();
    log::error!("event=connection-panicked port={port} error=\"{error}\"");
}

/// A tight loop would make a lack of descriptors only worse.
async fn pause(limiter: &Limiter, error: &io::Error) {
    count(&limiter.counters.failed);
    let port = limiter.name();
    log::debug!("event=accept-failed port={port} error=\"{error}\"");
    time::sleep(ACCEPT_PAUSE).await;
}

/// What was logged last, and when the next line may be written.
struct Report {
    logged: Stats,
    next: Instant,
}

impl Default for Report {
    fn default() -> Self {
        Report {
            logged: Stats::default(),
            next: Instant::now(),
        }
    }
}

impl Report {
    fn is_due(&self, limiter: &Limiter) -> bool {
        limiter.stats().closed() != self.logged.closed()
    }

    fn log(&mut self, limiter: &Limiter) {
        let stats = limiter.stats();
        let (pending, active) = limiter.open_connections();
        let since = stats.closed().into_iter().zip(self.logged.closed());
        let counts: String = since
            .map(|((name, now), (_, before))| format!(" {name}={}", now - before))
            .collect();
        let port = limiter.name();
        log::warn!(
            "event=connections-closed port={port} pending={pending} active={active}{counts}"
        );
        self.logged = stats;
        self.next = Instant::now() + REPORT;
    }
}
