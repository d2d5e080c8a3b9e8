//! Reading of the store, when the core says so.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use acacia_adapter::{entry, store};
use acacia_catalog::{Change, spread};
use acacia_kernel::BoxError;
use acacia_platform::{Client, Error, Options, transport::Consistency};
use tokio::time;

use super::{control::Control, meters::Call};
use crate::clock;

/// How long a watch waits that is only to answer at once. The store takes whole milliseconds.
const AT_ONCE: Duration = Duration::from_millis(1);

/// Follows the store at `address` until the task is dropped.
///
/// # Errors
/// None; it has the form of the other tasks.
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
    let mut whole = false;
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
            spread::Action::Poll => AT_ONCE,
        };
        let sent = clock::now();
        whole |= control.core(|core, _| core.revision()) == 0;
        let done = match whole {
            true => read(control, client, sent).await,
            false => watch(control, client, wait, sent).await,
        };
        let kind = if whole { Call::Range } else { Call::Watch };
        control.meters.called(kind, done.as_ref().err());
        match done {
            Ok(()) => whole = false,
            Err(Error::HistoryGone) => {
                log::info!(
                    "event=store-history-gone code={}",
                    Error::HistoryGone.code()
                );
                whole = true;
            }
            Err(error) => control.core(|core, now| core.record_store_failure(&error, now)),
        }
    }
}

/// Reads the store once with what it can give at a fraction of the cost. A fleet that starts at once reads
/// the whole store with every member; peers confirm or complete it within a round of gossip.
async fn prime(control: &Control, client: &Client) {
    let prefix: Arc<str> = entry::PREFIX.into();
    let read = client.range(&prefix, Consistency::Serializable).await;
    control.meters.called(Call::Range, read.as_ref().err());
    match read {
        Ok((items, revision)) => {
            let changes: Vec<Change> = items.iter().filter_map(entry::item).collect();
            control
                .take(|core, now| core.prime(changes, revision, now))
                .await;
        }
        Err(error) => control.core(|core, now| core.record_store_failure(&error, now)),
    }
}

async fn read(control: &Control, client: &Client, sent: Duration) -> Result<(), Error> {
    let prefix: Arc<str> = entry::PREFIX.into();
    let (items, revision) = client.range(&prefix, Consistency::Linearizable).await?;
    let changes: Vec<Change> = items.iter().filter_map(entry::item).collect();
    control
        .take(|core, now| core.apply_full_read(changes, revision, sent, now))
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
    // The store answers a watch when it ends or something happens, so its answer is as new as the
    // moment before it came; half the time of a call that is answered at once is on the safe side.
    let fresh = if answer.events.is_empty() {
        sent + wait
    } else {
        sent
    };
    let fresh = fresh.min(clock::now());
    control
        .take(|core, now| core.apply_store_changes(changes, answer.revision, fresh, now))
        .await;
    Ok(())
}
