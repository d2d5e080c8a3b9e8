//! Gossip and news: what is sent to peers in rounds, and what comes from them.

use std::{sync::Arc, time::Duration};

use acacia_code::Code;
use acacia_kernel::BoxError;
use tokio::{
    task::{JoinError, JoinSet},
    time,
};

use super::{
    control::{Control, lock},
    exchange,
    message::Message,
    permit::Permit,
};

/// Between two rounds of gossip. 500 ms: a balancer that is lost is noticed within six.
const ROUND: Duration = Duration::from_millis(500);
/// Longest message taken, in bytes.
const LARGEST: usize = 9_000;

/// Sends a round of gossip now and then.
///
/// # Errors
/// When a socket or a signal fails.
pub async fn gossip(control: Arc<Control>) -> Result<(), BoxError> {
    loop {
        let (outgoing, weighed) =
            control.core(|core, now| (core.gossip(now), core.evaluate_speeds(now)));
        control.look_for_checks();
        if weighed {
            control.changed.notify_one();
        }
        control.send(outgoing).await;
        time::sleep(ROUND).await;
    }
}

/// Takes in what peers send.
///
/// # Errors
/// When a socket or a signal fails.
pub async fn receive(control: Arc<Control>) -> Result<(), BoxError> {
    let mut buffer = vec![0; LARGEST];
    let mut fetches = JoinSet::new();
    loop {
        let secret = lock(&control.settings).secret.clone();
        let message = match exchange::receive(&control.socket, &mut buffer, &secret).await {
            Ok(Ok(message)) => message,
            Ok(Err(error)) => {
                control.counter.code(control_code(error));
                continue;
            }
            // An earlier datagram met a closed port; the socket is as good as before.
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => continue,
            Err(error) => return Err(error.into()),
        };
        while let Some(ended) = fetches.try_join_next() {
            note_end(ended);
        }
        if let Some(fetch) = hear(&control, message).await {
            fetches.spawn(fetch);
        }
        control.wake.notify_one();
    }
}

/// Takes a message in; gives the fetch of what is missing here, unless one is under way.
async fn hear(
    control: &Arc<Control>,
    message: Message,
) -> Option<impl Future<Output = ()> + use<>> {
    let from = message.from.address;
    let source = control.core(|core, _| core.source(&message));
    let mut missing = false;
    control
        .take(|core, now| {
            let outcome = core.receive(message, now);
            missing = outcome.fetch;
            outcome
        })
        .await;
    if !missing {
        return None;
    }
    let permit = Permit::try_acquire(&control.fetching)?;
    let control = Arc::clone(control);
    Some(async move {
        let revision = control.core(|core, _| core.fetch_base());
        match exchange::fetch(from, revision).await {
            Ok(difference) => {
                control
                    .take(|core, now| core.apply_fetched(difference, &source, now))
                    .await;
            }
            Err(error) => log::info!("event=fetch-failed peer={from} error=\"{error}\""),
        }
        drop(permit);
        control.wake.notify_one();
    })
}

fn note_end(ended: Result<(), JoinError>) {
    if let Err(error) = ended {
        log::error!("event=fetch-panicked error=\"{error}\"");
    }
}

const fn control_code(error: acacia_wire::control::Error) -> Code {
    use acacia_wire::control::Error;
    match error {
        Error::Truncated => Code::ControlTruncated,
        Error::Oversized => Code::ControlOversized,
        Error::Forged => Code::ControlForged,
        Error::Undecodable => Code::ControlUndecodable,
    }
}
