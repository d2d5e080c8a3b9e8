//! Publishes snapshots of routes and servers to the traffic threads.

use std::{sync::Arc, time::Duration};

use acacia_kernel::BoxError;
use tokio::time;

use super::control::Control;

/// How long changes are collected before a snapshot is published. Building one iterates over all
/// servers, and hundreds of servers change within a second when a deployment starts.
const DEBOUNCE: Duration = Duration::from_millis(10);

/// Publishes a snapshot whenever the control thread signals a change, and when the last one
/// expires.
///
/// # Errors
/// Never fails; the signature is that of the other tasks.
pub async fn run(control: Arc<Control>) -> Result<(), BoxError> {
    /// How long to wait for a change if the last snapshot doesn't expire.
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
            () = control.changed.notified() => time::sleep(DEBOUNCE).await,
            () = time::sleep(next.unwrap_or(IDLE)) => {}
        }
    }
}
