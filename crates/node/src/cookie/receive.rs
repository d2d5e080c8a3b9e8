//! Sends gossip to peers in rounds, and handles the messages received from them.

use std::sync::Arc;

use acacia_catalog::member::ROUND;
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

/// Maximum length of a received message in bytes.
const MAX_MESSAGE_BYTES: usize = 9_000;

/// Sends a gossip round at regular intervals, evaluates the servers' speeds and monitors the routers'
/// checks.
///
/// # Errors
/// Never; the result type is that of the other tasks.
pub async fn gossip(control: Arc<Control>) -> Result<(), BoxError> {
    loop {
        let (outgoing, weights_changed) =
            control.core(|core, now| (core.gossip(now), core.evaluate_speeds(now)));
        control.detect_lost_routers();
        control.publish_demand();
        if weights_changed {
            control.changed.notify_one();
        }
        control.send(outgoing).await;
        time::sleep(ROUND).await;
    }
}

/// Receives messages from peers and fetches the changes that are missing here.
///
/// # Errors
/// If the socket fails.
pub async fn receive(control: Arc<Control>) -> Result<(), BoxError> {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    let mut fetches = JoinSet::new();
    loop {
        let secret = lock(&control.settings).secret.clone();
        let message = match exchange::receive(&control.socket, &mut buffer, &secret).await {
            Ok(Ok(message)) => message,
            Ok(Err(error)) => {
                control.counter.code(control_code(error));
                continue;
            }
            // The port that an earlier datagram was sent to is closed. The socket remains usable.
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => continue,
            Err(error) => return Err(error.into()),
        };
        while let Some(ended) = fetches.try_join_next() {
            log_panic(ended);
        }
        if let Some(fetch) = handle_message(&control, message).await {
            fetches.spawn(fetch);
        }
        control.wake.notify_one();
    }
}

/// Passes a message to the core. Returns a future that fetches the missing changes from the sender, if
/// there are any and no other fetch is under way.
async fn handle_message(
    control: &Arc<Control>,
    message: Message,
) -> Option<impl Future<Output = ()> + use<>> {
    let from = message.from.address;
    let source = control.core(|core, _| core.source(&message));
    let mut missing = false;
    control
        .apply(|core, now| {
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
                    .apply(|core, now| core.apply_fetched(difference, &source, now))
                    .await;
            }
            Err(error) => log::info!("event=fetch-failed peer={from} error=\"{error}\""),
        }
        drop(permit);
        control.wake.notify_one();
    })
}

fn log_panic(ended: Result<(), JoinError>) {
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
