use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinError, JoinSet},
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::{Limiter, Slot, Stats, stats::increment};

/// Pause after a failed `accept`. The usual cause is that the process has run out of file
/// descriptors, which retrying in a tight loop would only make worse.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Shortest time between two log lines of one listener about closed connections.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Accepts connections and runs `serve` on each of them in a task of its own, until `stop` is
/// cancelled. Then aborts the tasks and returns once all of them have ended.
///
/// `serve` receives the connection's [`Slot`] and has to call [`Slot::activate`] on each valid
/// message. Its future is dropped when the connection has to close.
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
            Some(ended) = connections.join_next() => log_panic(&limiter, ended),
            accepted = listener.accept() => match accepted {
                Ok((stream, from)) => {
                    let slot = Arc::new(limiter.admit(from.ip()));
                    let served = serve(stream, Arc::clone(&slot));
                    connections.spawn(until_closed(slot, served));
                }
                Err(error) => pause_after_failure(&limiter, &error).await,
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

fn log_panic(limiter: &Limiter, ended: Result<(), JoinError>) {
    let Err(error) = ended else { return };
    increment(&limiter.counters.panicked);
    let port = limiter.name();
    log::error!("event=connection-panicked port={port} error=\"{error}\"");
}

async fn pause_after_failure(limiter: &Limiter, error: &io::Error) {
    increment(&limiter.counters.failed);
    let port = limiter.name();
    log::debug!("event=accept-failed port={port} error=\"{error}\"");
    time::sleep(ACCEPT_PAUSE).await;
}

/// Logs the counters of closed connections when they change, at most once per [`REPORT_INTERVAL`].
struct Report {
    /// The counters when the last line was logged.
    logged: Stats,
    /// The earliest time of the next line.
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
        self.next = Instant::now() + REPORT_INTERVAL;
    }
}
