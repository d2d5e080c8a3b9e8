//! Examination of servers under suspicion.

use std::{io::ErrorKind, net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_adapter::probe;
use acacia_cookie::{
    Notice,
    probe::{Answer, Probe, Sequence, WAIT},
    silence::Finding,
};
use acacia_kernel::BoxError;
use tokio::{
    sync::mpsc,
    task::{JoinError, JoinSet},
    time,
};

use super::{
    control::Control,
    core::{Core, Examination, Target},
};
use crate::clock;

/// Between two looks for servers to examine where none is due.
const IDLE: Duration = Duration::from_millis(500);
/// Least wait between two looks for servers to examine, against a busy loop.
const SHORTEST: Duration = Duration::from_millis(1);
/// Examinations at a time, of up to [`MAX_EXAMINED`](acacia_cookie::silence::MAX_EXAMINED) servers
/// each: with at most six probes a server and four of the control under way, 1,552 descriptors, half
/// of what a small VM has.
const EXAMINATIONS: usize = 4;

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
    let begun = clock::now();
    let mut sequence = Sequence::new(targets.len(), control.is_some(), begun);
    // Probes that the outcome no longer waits for end with this set.
    let mut probes = JoinSet::new();
    while !sequence.is_over() {
        for probe in sequence.due(clock::now()) {
            let address = match probe {
                Probe::Server(index) => Some(targets[index].address),
                Probe::Control => control,
            };
            probes.spawn(async move { (probe, ask(address).await) });
        }
        let next = sequence
            .next_due()
            .map(|at| at.saturating_sub(clock::now()));
        tokio::select! {
            () = time::sleep(next.unwrap_or(WAIT)) => {}
            Some(joined) = probes.join_next() => match joined {
                Ok((probe, answer)) => sequence.record(probe, answer),
                Err(error) => {
                    // Without this probe's end the sequence would wait for ever.
                    log::error!("event=examination-failed error=\"{error}\"");
                    break;
                }
            },
        }
    }
    let findings = sequence.findings();
    log_doubtful(&findings, clock::now().saturating_sub(begun));
    let servers = targets.into_iter().map(|target| target.server);
    servers.zip(findings).collect()
}

/// Tells of an examination that did not find all servers alive: with it goes the question, after a
/// verdict, whether others were in doubt at the same time.
fn log_doubtful(findings: &[Finding], took: Duration) {
    let count = |wanted: Finding| findings.iter().filter(|found| **found == wanted).count();
    let (silent, unknown) = (count(Finding::Silent), count(Finding::Unknown));
    if silent + unknown > 0 {
        let (servers, took_ms) = (findings.len(), took.as_millis());
        log::info!(
            "event=examined servers={servers} silent={silent} unknown={unknown} took_ms={took_ms}"
        );
    }
}

/// How a probe of `address` ends.
async fn ask(address: Option<SocketAddrV4>) -> Answer {
    let Some(address) = address else {
        return Answer::Missing;
    };
    match probe::reach(address, WAIT).await {
        Ok(()) => Answer::Accepted,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Answer::Refused,
        Err(_) => Answer::Missing,
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
                if control.core(|core, now| core.record_unanswered(&server, now)) {
                    control.doubt.notify_one();
                }
            }
            Notice::Seen(seen) => {
                control
                    .take(|core, now| core.record_counts(seen, now))
                    .await
            }
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
        while let Some(ended) = examinations.try_join_next() {
            note_end(ended);
        }
        let next = if examinations.len() < EXAMINATIONS {
            let (examination, next) = control.core(Core::examination);
            if !examination.is_empty() {
                let control = Arc::clone(&control);
                examinations.spawn(async move {
                    let findings = run(examination).await;
                    control
                        .take(|core, now| core.record_findings(findings, now))
                        .await;
                });
            }
            next.map(|at| at.saturating_sub(clock::now()))
        } else {
            None
        };
        tokio::select! {
            () = control.doubt.notified() => {}
            () = time::sleep(next.unwrap_or(IDLE).max(SHORTEST)) => {}
            Some(ended) = examinations.join_next() => note_end(ended),
        }
    }
}

/// The servers of an examination without an end may be suspected again after a while.
fn note_end(ended: Result<(), JoinError>) {
    if let Err(error) = ended {
        log::error!("event=examination-panicked error=\"{error}\"");
    }
}
