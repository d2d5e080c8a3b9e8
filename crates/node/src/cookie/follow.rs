//! Reads and watches the store at the times that the core chooses.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_adapter::{entry, store};
use acacia_catalog::{Change, spread};
use acacia_kernel::BoxError;
use acacia_platform::{Client, Error, Options, store::Events, transport::Consistency};
use tokio::time;

use super::{control::Control, core::Page, meters::Call};
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
    loop {
        let action = control.core(|core, now| core.next_store_action(now));
        let result = match action {
            spread::Action::Wait(wait) => {
                tokio::select! {
                    () = time::sleep(wait) => {}
                    () = control.wake.notified() => {}
                }
                continue;
            }
            spread::Action::Watch => {
                let wait = control.core(|core, _| core.timing().watch_timeout);
                watch(control, client, wait).await
            }
            spread::Action::Poll => watch(control, client, POLL_TIMEOUT).await,
            spread::Action::CatchUp => catch_up(control, client).await,
            spread::Action::ReadAll => read_all(control, client).await,
            spread::Action::ReadOperators => read_operators(control, client).await,
            spread::Action::ReadServers => read_servers(control, client).await,
        };
        match result {
            Ok(()) => {}
            Err(Error::HistoryGone) => {
                log::info!(
                    "event=store-history-gone code={}",
                    Error::HistoryGone.code()
                );
                control.core(|core, _| core.record_history_gone());
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
        Ok(range) => {
            let changes: Vec<Change> = range.items.iter().filter_map(entry::item).collect();
            let revision = range.complete_to();
            control
                .apply(|core, now| core.prime(changes, revision, now))
                .await;
        }
        Err(error) => control.core(|core, now| core.record_store_failure(&error, now)),
    }
}

async fn read_all(control: &Control, client: &Client) -> Result<(), Error> {
    let sent = clock::now();
    let (changes, revision) = range(control, client, entry::PREFIX).await?;
    control
        .apply(|core, now| core.apply_full_read(changes, revision, sent, now))
        .await;
    Ok(())
}

async fn read_operators(control: &Control, client: &Client) -> Result<(), Error> {
    let sent = clock::now();
    let (changes, revision) = range(control, client, entry::OPERATORS).await?;
    control
        .apply(|core, now| core.begin_rebuild(changes, revision, sent, now))
        .await;
    Ok(())
}

/// Reads the changes of servers, and then the operators' entries as they are. Together these are all changes up
/// to the revision of the first call, whatever the number and the size of the configurations in between.
async fn catch_up(control: &Control, client: &Client) -> Result<(), Error> {
    let after = control.core(|core, _| core.followed());
    let sent = clock::now();
    let servers = changes(control, client, entry::SERVERS, after, POLL_TIMEOUT).await;
    let servers = servers.map_err(|error| match error {
        // The servers' entries are read page by page then.
        Error::TooLong { .. } => Error::HistoryGone,
        error => error,
    })?;
    let revision = servers.revision;
    let servers = decode(&servers);
    let (operators, operators_revision) = range(control, client, entry::OPERATORS).await?;
    control
        .apply(|core, now| {
            core.apply_catch_up(servers, revision, operators, operators_revision, sent, now)
        })
        .await;
    Ok(())
}

/// Makes a linearizable read of all entries whose keys begin with `prefix`. Also returns the revision up
/// to which they are complete.
async fn range(
    control: &Control,
    client: &Client,
    prefix: &str,
) -> Result<(Vec<Change>, u64), Error> {
    let read = client
        .range(&prefix.into(), Consistency::Linearizable)
        .await;
    control.meters.record_call(Call::Range, read.as_ref().err());
    let range = read?;
    let changes = range.items.iter().filter_map(entry::item).collect();
    Ok((changes, range.complete_to()))
}

/// Reads the servers' entries page by page, and follows the store's changes until that has ended.
async fn read_servers(control: &Control, client: &Client) -> Result<(), Error> {
    let ended = AtomicBool::new(false);
    let read = async {
        let result = read_pages(control, client).await;
        ended.store(true, Ordering::Relaxed);
        result
    };
    let (pages, changes) = tokio::join!(read, follow_changes(control, client, &ended));
    pages.and(changes)
}

async fn read_pages(control: &Control, client: &Client) -> Result<(), Error> {
    let prefix: Arc<str> = entry::SERVERS.into();
    while let Some(after) = control.core(|core, _| core.next_page()) {
        let read = client.page(&prefix, after, Consistency::Linearizable).await;
        control.meters.record_call(Call::Range, read.as_ref().err());
        let read = read?;
        let last = read.items.last().map(|item| Arc::clone(&item.key));
        let page = Page {
            entries: read.items.iter().filter_map(entry::item).collect(),
            next: last.filter(|_| read.more),
        };
        control.apply(|core, now| core.apply_page(page, now)).await;
    }
    Ok(())
}

/// Watches until `ended` is set.
async fn follow_changes(
    control: &Control,
    client: &Client,
    ended: &AtomicBool,
) -> Result<(), Error> {
    let timing = control.core(|core, _| core.timing());
    while !ended.load(Ordering::Relaxed) && !control.core(|core, _| core.catches_up()) {
        watch(control, client, timing.watch_timeout).await?;
        time::sleep(timing.pause).await;
    }
    Ok(())
}

async fn watch(control: &Control, client: &Client, wait: Duration) -> Result<(), Error> {
    let after = control.core(|core, _| core.followed());
    let sent = clock::now();
    let answer = match changes(control, client, entry::PREFIX, after, wait).await {
        Err(Error::TooLong { limit }) => {
            control.core(|core, now| core.record_overlong(limit, now));
            return Ok(());
        }
        answer => answer?,
    };
    let changes = decode(&answer);
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

/// Waits for changes of keys that begin with `prefix`.
async fn changes(
    control: &Control,
    client: &Client,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> Result<Events, Error> {
    let answer = client.changes(&prefix.into(), after, wait).await;
    control
        .meters
        .record_call(Call::Watch, answer.as_ref().err());
    answer
}

fn decode(answer: &Events) -> Vec<Change> {
    answer.events.iter().filter_map(entry::event).collect()
}
