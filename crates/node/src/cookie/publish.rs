//! Publication of routes and servers to the traffic threads.

use std::{sync::Arc, time::Duration};

use acacia_kernel::BoxError;
use tokio::time;

use super::control::Control;

/// How long news are gathered before routes and servers are published. Each publication goes through all
/// servers, and hundreds of them report within a second when a deployment starts.
const GATHER: Duration = Duration::from_millis(10);

/// Publishes routes and servers whenever they change, by news or by time.
///
/// # Errors
/// When a socket or a signal fails.
pub async fn run(control: Arc<Control>) -> Result<(), BoxError> {
    /// Where nothing is to change by time.
    const IDLE: Duration = Duration::from_secs(60);
    loop {
        let (snapshot, next) = control.core(|core, now| {
            let (snapshot, next) = core.snapshot(now);
            let next = next.map(|at| at.saturating_sub(now));
            (core.is_informed().then_some(snapshot), next)
        });
        if let Some(snapshot) = snapshot {
            control.published.store(Some(Arc::new(snapshot)));
        }
        tokio::select! {
            () = control.changed.notified() => time::sleep(GATHER).await,
            () = time::sleep(next.unwrap_or(IDLE)) => {}
        }
    }
}
