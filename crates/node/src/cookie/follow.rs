//! Reads and watches the store at the times that the core chooses.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_adapter::{entry, store};
use acacia_catalog::{Change, spread};
use acacia_kernel::BoxError;
use acacia_platform::{Client, Error, Options, transport::Consistency};
use tokio::time;

use super::{control::Control, meters::Call};
use crate::clock;

/// Timeout of a watch that serves as a poll and is to return at once. The store accepts whole
/// milliseconds only.
const POLL_TIMEOUT: Duration = Duration::from_millis(1);

/// Keeps the core up to date with the store at `address` until the task is dropped.
///
/// # Errors
/// Never; the result type is that of the other tasks.
pub async fn run(control: Arc<Control>, address: SocketAddrV4) -> Result<(), BoxError> {
    let options = Options {
        seed: control.core(|core, _| core.own().incarnation),
        ..Options::default()
    };
    let client = Client::with_transport(address.into(), options, store::transport());
    follow(&control, &client).await;
    Ok(())
}

async fn follow(control: &Control, client: &Client) {
    prime(control, client).await;
    let mut needs_full_read = false;
    loop {
        let turn = control.core(|core, now| core.next_store_action(now));
        let wait = match turn {
            spread::Action::Wait(wait) => {
                tokio::select! {
                    () = time::sleep(wait) => {}
                    () = control.wake.notified() => {}
                }
                continue;
            }
            spread::Action::Watch => control.core(|core, _| core.timing().watch_timeout),
            spread::Action::Poll => POLL_TIMEOUT,
        };
        let sent = clock::now();
        needs_full_read |= control.core(|core, _| core.revision()) == 0;
        let result = match needs_full_read {
            true => read_all(control, client, sent).await,
            false => watch(control, client, wait, sent).await,
        };
        let kind = if needs_full_read {
            Call::Range
        } else {
            Call::Watch
        };
        control.meters.record_call(kind, result.as_ref().err());
        match result {
            Ok(()) => needs_full_read = false,
            Err(Error::HistoryGone) => {
                log::info!(
                    "event=store-history-gone code={}",
                    Error::HistoryGone.code()
                );
                needs_full_read = true;
            }
            Err(error) => control.core(|core, now| core.record_store_failure(&error, now)),
        }
    }
}

/// Reads the store once with a serializable read, which costs the store a fraction of a linearizable
/// one but may return old data. If a whole fleet starts at the same time, every balancer reads the whole
/// store; peers confirm or complete the result within a gossip round.
async fn prime(control: &Control, client: &Client) {
    let prefix: Arc<str> = entry::PREFIX.into();
    let read = client.range(&prefix, Consistency::Serializable).await;
    control.meters.record_call(Call::Range, read.as_ref().err());
    match read {
        Ok((items, revision)) => {
            let changes: Vec<Change> = items.iter().filter_map(entry::item).collect();
            control
                .apply(|core, now| core.prime(changes, revision, now))
                .await;
        }
        Err(error) => control.core(|core, now| core.record_store_failure(&error, now)),
    }
}

async fn read_all(control: &Control, client: &Client, sent: Duration) -> Result<(), Error> {
    let prefix: Arc<str> = entry::PREFIX.into();
    let (items, revision) = client.range(&prefix, Consistency::Linearizable).await?;
    let changes: Vec<Change> = items.iter().filter_map(entry::item).collect();
    control
        .apply(|core, now| core.apply_full_read(changes, revision, sent, now))
        .await;
    Ok(())
}

async fn watch(
    control: &Control,
    client: &Client,
    wait: Duration,
    sent: Duration,
) -> Result<(), Error> {
    let prefix: Arc<str> = entry::PREFIX.into();
    let after = control.core(|core, _| core.revision());
    let answer = client.changes(&prefix, after, wait).await?;
    let changes: Vec<Change> = answer.events.iter().filter_map(entry::event).collect();
    // The store answers a watch at its timeout or at an event, so the answer was current just before it
    // was sent. Without events that was at `sent + wait` plus the time that the request took to arrive;
    // leaving that time out errs on the safe side.
    let fresh = if answer.events.is_empty() {
        sent + wait
    } else {
        sent
    };
    let fresh = fresh.min(clock::now());
    control
        .apply(|core, now| core.apply_store_changes(changes, answer.revision, fresh, now))
        .await;
    Ok(())
}
