//! The thread that makes calls to the platform and passes the results to the control thread.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_config::document::{self, Document};
use acacia_platform::{
    Client, Error, Options,
    machine::Machine,
    store::{Outcome, Swap},
};
use acacia_tables::writer;
use crossbeam_channel::{Sender, TrySendError};
use tokio::{
    sync::mpsc::Receiver,
    task::{self, AbortHandle, JoinError, JoinSet, LocalSet},
};
use tokio_util::task::AbortOnDropHandle;

use super::agreement::{self, Call};
use crate::settings::Settings;

/// Interval between reads of the list of VMs. The list lags by more than that anyway, and 8
/// balancers make 1.6 calls per second of the platform's limit of two thousand.
const MACHINES_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which the stop flag and a full queue are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a call to the platform, or its list of VMs.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The result of [`Call::WatchConfig`]; `None` if the call failed.
    Config(Option<acacia_rollout::Entry>),
    /// The result of [`Call::WatchTables`]; `None` if the call failed.
    Tables(Option<agreement::Entry>),
    /// The result of [`Call::ReadTables`]; `None` if the call failed.
    ReadTables(Option<agreement::Entry>),
    /// The result of [`Call::WriteTables`].
    WroteTables(writer::Answer),
    /// The platform's list of VMs.
    Machines(Vec<Machine>),
}

impl Event {
    /// Returns the result of a call that was not completed.
    ///
    /// ```
    /// use acacia_node::control::{agreement::Call, platform::Event};
    /// assert!(!Event::failed(&Call::ReadTables).is_answer());
    /// ```
    #[must_use]
    pub fn failed(call: &Call) -> Event {
        match call {
            Call::WatchConfig { .. } => Event::Config(None),
            Call::WatchTables { .. } => Event::Tables(None),
            Call::ReadTables => Event::ReadTables(None),
            // The write may have taken effect; the next read shows whether it has.
            Call::WriteTables { .. } => Event::WroteTables(writer::Answer::Lost),
        }
    }

    /// Returns whether the platform's store answered the call.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        match self {
            Event::Config(answer) => answer.is_some(),
            Event::Tables(entry) | Event::ReadTables(entry) => entry.is_some(),
            Event::WroteTables(answer) => {
                matches!(
                    answer,
                    writer::Answer::Written { .. } | writer::Answer::Conflict
                )
            }
            Event::Machines(_) => false,
        }
    }
}

/// Makes calls to the platform until `stop` is set.
pub fn run(
    settings: &Settings,
    platform_calls: &mut Receiver<Call>,
    events: &Sender<Event>,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let options = Options {
        seed: u64::from(settings.id),
        ..Options::default()
    };
    let client = Arc::new(Client::new(SocketAddr::V4(settings.platform), options));
    // The client's futures run on this thread; a multi-threaded runtime would gain nothing here.
    LocalSet::new().block_on(&runtime, async {
        let mut calls = Calls {
            client,
            events: events.clone(),
            tasks: JoinSet::new(),
        };
        // Polled in this task rather than spawned, so that a panic ends the service and doesn't go
        // unnoticed.
        let mut machines = pin!(follow_machines(Arc::clone(&calls.client), events.clone()));
        let mut watching = [None, None];
        loop {
            tokio::select! {
                () = wait_for_stop(stop) => break,
                never = &mut machines => never,
                call = platform_calls.recv() => match call {
                    Some(call) => calls.start(call, &mut watching),
                    None => break,
                },
                Some(result) = calls.tasks.join_next() => log_task_failure(result),
            }
        }
        calls.tasks.shutdown().await;
    });
    Ok(())
}

async fn wait_for_stop(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

struct Calls {
    client: Arc<Client>,
    events: Sender<Event>,
    tasks: JoinSet<()>,
}

impl Calls {
    /// Starts a call. A watch replaces a pending watch of the same key.
    fn start(&mut self, call: Call, watching: &mut [Option<AbortHandle>; 2]) {
        let slot = match call {
            Call::WatchConfig { .. } => Some(0),
            Call::WatchTables { .. } => Some(1),
            Call::ReadTables | Call::WriteTables { .. } => None,
        };
        let (client, events) = (Arc::clone(&self.client), self.events.clone());
        let task = self.tasks.spawn_local(async move {
            let failed = Event::failed(&call);
            let event = AbortOnDropHandle::new(task::spawn_local(make_call(client, call)));
            let event = event.await.unwrap_or_else(|error| {
                log::error!("event=platform-call-panicked error=\"{error}\"");
                failed
            });
            send_event(&events, event).await;
        });
        if let Some(slot) = slot
            && let Some(before) = watching[slot].replace(task)
        {
            before.abort();
        }
    }
}

async fn make_call(client: Arc<Client>, call: Call) -> Event {
    let (config, tables): (Arc<str>, Arc<str>) = (document::KEY.into(), acacia_tables::KEY.into());
    match call {
        Call::WatchConfig { above } => {
            let entry = client.watch(&config, above).await;
            Event::Config(log_failure(entry).map(|entry| acacia_rollout::Entry {
                revision: entry.revision,
                document: entry.value.and_then(|value| decode(&value)),
            }))
        }
        Call::WatchTables { above } => {
            let entry = client.watch(&tables, above).await;
            Event::Tables(log_failure(entry).map(|e| agreement::Entry {
                revision: e.revision,
                value: e.value,
            }))
        }
        Call::ReadTables => {
            let entry = client.get(&tables).await;
            Event::ReadTables(log_failure(entry).map(|e| agreement::Entry {
                revision: e.revision,
                value: e.value,
            }))
        }
        Call::WriteTables { expected, text } => {
            let swap = Swap {
                key: tables,
                expected,
                value: Some(text),
                lease: None,
            };
            Event::WroteTables(match client.swap(swap).await {
                Ok(Outcome::Written { revision }) => writer::Answer::Written { revision },
                Ok(Outcome::Conflict { .. }) => writer::Answer::Conflict,
                Err(Error::Unknown) => writer::Answer::Lost,
                Err(error) => {
                    log::warn!("event=platform-unanswered call=swap error=\"{error}\"");
                    writer::Answer::Unreached
                }
            })
        }
    }
}

fn log_failure<T>(result: Result<T, Error>) -> Option<T> {
    result
        .inspect_err(|error| log::warn!("event=platform-unanswered error=\"{error}\""))
        .ok()
}

fn decode(value: &str) -> Option<Arc<Document>> {
    match Document::decode(value) {
        Ok(document) => Some(Arc::new(document)),
        Err(error) => {
            log::error!(
                "event=document-unreadable code={} error=\"{error}\"",
                error.code()
            );
            None
        }
    }
}

/// Sends an event to the control thread, waiting until its queue has room. The part of the control
/// thread that made a call makes no other before it has the result, so it would never call again if
/// the result were dropped.
async fn send_event(events: &Sender<Event>, mut event: Event) {
    let mut is_logged = false;
    while let Err(TrySendError::Full(unsent)) = events.try_send(event) {
        if !is_logged {
            log::warn!("event=platform-news-waits news={unsent:?}");
        }
        (event, is_logged) = (unsent, true);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Logs a task that panicked, which has sent no event. Watches that were replaced are cancelled,
/// which is not a fault.
fn log_task_failure(result: Result<(), JoinError>) {
    let Err(error) = result else { return };
    if !error.is_cancelled() {
        log::error!("event=platform-task-panicked error=\"{error}\"");
    }
}

async fn follow_machines(client: Arc<Client>, events: Sender<Event>) -> ! {
    loop {
        if let Some(machines) = log_failure(client.machines().await) {
            send_event(&events, Event::Machines(machines)).await;
        }
        tokio::time::sleep(MACHINES_INTERVAL).await;
    }
}
