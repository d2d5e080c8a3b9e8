//! Probes of servers under suspicion.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_adapter::probe;
use acacia_cookie::silence::{APART, Finding, WAIT};
use tokio::{task::JoinSet, time};

use super::core::{Examination, Target};

/// When the control is probed: just after the last probe of the servers, so that whatever held
/// those up holds it up as well.
const CONTROL: Duration = Duration::from_millis(APART.as_millis() as u64 + 5);

/// Examines servers together and gives what was found of each.
pub async fn run(examination: Examination) -> Vec<(Arc<str>, Finding)> {
    let control = examination.control;
    let mut probes: JoinSet<(Arc<str>, bool)> = JoinSet::new();
    for Target { server, address } in examination.targets {
        probes.spawn(async move { (server, answers(address).await) });
    }
    let mut results = Vec::with_capacity(probes.len());
    let first = time::sleep(CONTROL);
    tokio::pin!(first);
    // Most servers live and answer at once; then there is nothing to control.
    loop {
        tokio::select! {
            () = &mut first => break,
            joined = probes.join_next() => match joined {
                Some(Ok(result)) => results.push(result),
                // A probe that panicked shows nothing.
                Some(Err(_)) => {}
                None => break,
            }
        }
    }
    // A server that refuses connections has been found out by now, one that says nothing not yet.
    let failed = results.iter().any(|(_, answered)| !answered);
    let controlled = (failed || !probes.is_empty()) && is_reached(control).await;
    while let Some(joined) = probes.join_next().await {
        results.extend(joined.ok());
    }
    let finding = |(server, answered)| match (answered, controlled) {
        (true, _) => (server, Finding::Answered),
        (false, true) => (server, Finding::Silent),
        (false, false) => (server, Finding::Unknown),
    };
    results.into_iter().map(finding).collect()
}

/// Whether one of two probes a moment apart is answered.
async fn answers(address: SocketAddrV4) -> bool {
    let first = probe::reach(address, WAIT);
    let second = async {
        time::sleep(APART).await;
        probe::reach(address, WAIT).await
    };
    tokio::pin!(first, second);
    tokio::select! {
        answer = &mut first => answer.is_ok() || second.await.is_ok(),
        answer = &mut second => answer.is_ok() || first.await.is_ok(),
    }
}

async fn is_reached(control: Option<SocketAddrV4>) -> bool {
    match control {
        Some(address) => probe::reach(address, WAIT).await.is_ok(),
        None => false,
    }
}
