//! Examines suspected servers by probing them.

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

/// Interval at which the core is asked for servers to examine if none is due.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum delay before the core is asked again, which prevents a busy loop.
const MIN_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of concurrent examinations, each of up to
/// [`MAX_EXAMINED`](acacia_cookie::silence::MAX_EXAMINED) servers. With at most six probes per server
/// and four of the control in flight, they use 1,552 file descriptors, half of what a small VM has.
const MAX_EXAMINATIONS: usize = 4;

/// Examines suspected servers together, probes silent ones, and returns the findings.
pub async fn run(examination: Examination) -> Vec<(Arc<str>, Finding)> {
    let Examination {
        targets,
        silent,
        control,
    } = examination;
    let (mut findings, returned) = tokio::join!(examine(targets, control), probe_silent(silent));
    findings.extend(returned);
    findings
}

/// Probes each silent server once and returns those that answer. The others stay silent, so no control
/// is needed.
async fn probe_silent(silent: Vec<Target>) -> Vec<(Arc<str>, Finding)> {
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
    // Dropping this set aborts probes that can't change the findings any more.
    let mut probes = JoinSet::new();
    while !sequence.is_over() {
        for probe in sequence.due(clock::now()) {
            let address = match probe {
                Probe::Server(index) => Some(targets[index].address),
                Probe::Control => control,
            };
            probes.spawn(async move { (probe, probe_address(address).await) });
        }
        let next = sequence
            .next_due()
            .map(|at| at.saturating_sub(clock::now()));
        tokio::select! {
            () = time::sleep(next.unwrap_or(WAIT)) => {}
            Some(joined) = probes.join_next() => match joined {
                Ok((probe, answer)) => sequence.record(probe, answer),
                Err(error) => {
                    // Without a result of this probe, the sequence would never be over.
                    log::error!("event=examination-failed error=\"{error}\"");
                    break;
                }
            },
        }
    }
    let findings = sequence.findings();
    log_unless_all_answered(&findings, clock::now().saturating_sub(begun));
    let servers = targets.into_iter().map(|target| target.server);
    servers.zip(findings).collect()
}

/// Logs an examination in which not all servers answered. The line shows whether other servers were
/// suspected at the time of a verdict.
fn log_unless_all_answered(findings: &[Finding], took: Duration) {
    let count = |wanted: Finding| findings.iter().filter(|found| **found == wanted).count();
    let (silent, unknown) = (count(Finding::Silent), count(Finding::Unknown));
    if silent + unknown > 0 {
        let (servers, took_ms) = (findings.len(), took.as_millis());
        log::info!(
            "event=examined servers={servers} silent={silent} unknown={unknown} took_ms={took_ms}"
        );
    }
}

/// Probes `address` and returns the result.
async fn probe_address(address: Option<SocketAddrV4>) -> Answer {
    let Some(address) = address else {
        return Answer::Missing;
    };
    match probe::reach(address, WAIT).await {
        Ok(()) => Answer::Accepted,
        Err(error) if error.kind() == ErrorKind::ConnectionRefused => Answer::Refused,
        Err(_) => Answer::Missing,
    }
}

/// Passes the traffic threads' notices to the core.
///
/// # Errors
/// Never; the result type is that of the other tasks.
pub async fn handle_notices(
    control: Arc<Control>,
    mut notices: mpsc::Receiver<Notice>,
) -> Result<(), BoxError> {
    while let Some(notice) = notices.recv().await {
        match notice {
            Notice::Unanswered(server) => {
                if control.core(|core, now| core.record_unanswered(&server, now)) {
                    control.examination_due.notify_one();
                }
            }
            Notice::Seen(seen) => {
                control
                    .apply(|core, now| core.record_counts(seen, now))
                    .await
            }
            Notice::Rates { rates, changed } => {
                control
                    .apply(|core, now| core.record_rates(rates, changed, now))
                    .await
            }
        }
    }
    Ok(())
}

/// Examines suspected servers, and probes silent ones until they answer again.
///
/// # Errors
/// Never; the result type is that of the other tasks.
pub async fn examine_servers(control: Arc<Control>) -> Result<(), BoxError> {
    let mut examinations = JoinSet::new();
    loop {
        while let Some(ended) = examinations.try_join_next() {
            log_panic(ended);
        }
        let next = if examinations.len() < MAX_EXAMINATIONS {
            let (examination, next) = control.core(Core::examination);
            if !examination.is_empty() {
                let control = Arc::clone(&control);
                examinations.spawn(async move {
                    let findings = run(examination).await;
                    control
                        .apply(|core, now| core.record_findings(findings, now))
                        .await;
                });
            }
            next.map(|at| at.saturating_sub(clock::now()))
        } else {
            None
        };
        tokio::select! {
            () = control.examination_due.notified() => {}
            () = time::sleep(next.unwrap_or(IDLE_INTERVAL).max(MIN_INTERVAL)) => {}
            Some(ended) = examinations.join_next() => log_panic(ended),
        }
    }
}

/// Logs an examination that panicked. Its servers can be suspected again after a timeout.
fn log_panic(ended: Result<(), JoinError>) {
    if let Err(error) = ended {
        log::error!("event=examination-panicked error=\"{error}\"");
    }
}
