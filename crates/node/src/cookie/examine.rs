//! Examination of servers under suspicion.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_adapter::probe;
use acacia_cookie::{
    Notice,
    silence::{APART, Finding, WAIT},
};
use acacia_kernel::BoxError;
use tokio::{sync::mpsc, task::JoinSet, time};

use super::{
    control::Control,
    core::{Core, Examination, Target},
};
use crate::clock;

/// Between two looks for servers to examine where none is due.
const IDLE: Duration = Duration::from_millis(500);
/// Least wait between two looks for servers to examine, against a busy loop.
const SHORTEST: Duration = Duration::from_millis(1);
/// Examinations at a time, of up to [`TOGETHER`](acacia_cookie::silence::TOGETHER) servers each: with
/// two probes a server, 512 descriptors at most.
const EXAMINATIONS: usize = 4;

/// When the control is probed: just after the last probe of the servers, so that whatever held
/// those up holds it up as well.
const CONTROL: Duration = Duration::from_millis(APART.as_millis() as u64 + 5);

/// Examines servers together and gives what was found of each.
pub async fn run(examination: Examination) -> Vec<(Arc<str>, Finding)> {
    let Examination {
        targets,
        silent,
        control,
    } = examination;
    let (mut findings, back) = tokio::join!(examine(targets, control), probe_again(silent));
    findings.extend(back);
    findings
}

/// Probes silent servers once each; gives those that answer. Without an answer they stay silent, and
/// nothing is to be controlled.
async fn probe_again(silent: Vec<Target>) -> Vec<(Arc<str>, Finding)> {
    let mut probes = JoinSet::new();
    for Target { server, address } in silent {
        probes.spawn(async move { (server, probe::reach(address, WAIT).await.is_ok()) });
    }
    let answered = probes.join_all().await.into_iter().filter(|(_, is)| *is);
    answered
        .map(|(server, _)| (server, Finding::Answered))
        .collect()
}

async fn examine(targets: Vec<Target>, control: Option<SocketAddrV4>) -> Vec<(Arc<str>, Finding)> {
    let mut probes: JoinSet<(Arc<str>, bool)> = JoinSet::new();
    for Target { server, address } in targets {
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

/// Tells the core what the traffic threads have noticed and counted.
///
/// # Errors
/// When a socket or a signal fails.
pub async fn take_notices(
    control: Arc<Control>,
    mut notices: mpsc::Receiver<Notice>,
) -> Result<(), BoxError> {
    while let Some(notice) = notices.recv().await {
        match notice {
            Notice::Unanswered(server) => {
                if control.core(|core, now| core.unanswered(&server, now)) {
                    control.doubt.notify_one();
                }
            }
            Notice::Seen(seen) => control.core(|core, _| core.seen(seen)),
        }
    }
    Ok(())
}

/// Examines servers under suspicion, and silent ones until they are back.
///
/// # Errors
/// When a socket or a signal fails.
pub async fn examine_servers(control: Arc<Control>) -> Result<(), BoxError> {
    let mut examinations = JoinSet::new();
    loop {
        while examinations.try_join_next().is_some() {}
        let next = if examinations.len() < EXAMINATIONS {
            let (examination, next) = control.core(Core::examination);
            if !examination.is_empty() {
                let control = Arc::clone(&control);
                examinations.spawn(async move {
                    let findings = run(examination).await;
                    control.take(|core, now| core.examined(findings, now)).await;
                });
            }
            next.map(|at| at.saturating_sub(clock::now()))
        } else {
            None
        };
        tokio::select! {
            () = control.doubt.notified() => {}
            () = time::sleep(next.unwrap_or(IDLE).max(SHORTEST)) => {}
            Some(_) = examinations.join_next() => {}
        }
    }
}
