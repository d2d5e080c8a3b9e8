//! Graceful shutdown on a signal.

use std::sync::Arc;

use acacia_code::Code;
use acacia_kernel::{BoxError, Stopper};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::oneshot,
    time,
};

use super::{
    control::{Control, lock},
    rotation::Phase,
};
use crate::{clock, journal};

/// Waits for a termination signal, makes the routers' checks fail, tells the peers, and stops the process
/// once the routers have reacted. A second signal stops it at once.
///
/// # Errors
/// If a signal handler can't be installed, or the process can't be stopped.
pub async fn run(
    control: Arc<Control>,
    stopper: oneshot::Receiver<Stopper>,
) -> Result<(), BoxError> {
    let mut terms = signal(SignalKind::terminate())?;
    let mut interrupts = signal(SignalKind::interrupt())?;
    let cause = tokio::select! {
        _ = terms.recv() => "terminate",
        _ = interrupts.recv() => "interrupt",
    };
    let phase = Phase::Leaving {
        since: clock::now(),
    };
    *lock(&control.phase) = phase;
    let (outgoing, summary) = control.core(|core, now| (core.leave(now), core.summary(now)));
    let (version, revision, peers) = (summary.version, summary.revision, summary.peers);
    log::info!("event=leaving signal={cause} version={version} revision={revision} peers={peers}");
    control.send(outgoing).await;
    let grace = lock(&control.settings).grace;
    let end = phase.end(grace).unwrap_or_default();
    tokio::select! {
        () = time::sleep(end.saturating_sub(clock::now())) => stopper.await?.stop(),
        _ = terms.recv() => force_exit(),
        _ = interrupts.recv() => force_exit(),
    }
    Ok(())
}

fn force_exit() {
    log::error!("event=forced code={}", Code::Forced);
    journal::exit(Code::Forced.exit_status());
}
