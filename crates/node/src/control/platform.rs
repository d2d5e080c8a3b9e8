//! The thread that calls the platform, and tells the control thread what it hears.

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
use acacia_rollout::Answer;
use acacia_tables::writer;
use crossbeam_channel::{Sender, TrySendError};
use tokio::{
    sync::mpsc::Receiver,
    task::{self, AbortHandle, JoinError, JoinSet, LocalSet},
};
use tokio_util::task::AbortOnDropHandle;

use super::agreement::{Entry, PlatformCall};
use crate::settings::Settings;

/// Between two looks at the list of VMs. It lags by more than that anyway, and 8 balancers make
/// 1.6 calls a second of the platform's two thousand.
const MACHINES: Duration = Duration::from_secs(5);
/// Between two looks whether to stop.
const LOOK: Duration = Duration::from_millis(50);

/// What the platform said.
#[derive(Debug, Clone, PartialEq)]
pub enum PlatformEvent {
    /// The end of a watch of the configuration.
    Config(Option<Answer>),
    /// The end of a watch of the tables.
    Tables(Option<Entry>),
    /// The end of a read of the tables.
    ReadTables(Option<Entry>),
    /// The end of a write of the tables.
    WroteTables(writer::Answer),
    /// The list of VMs.
    Machines(Vec<Machine>),
}

impl PlatformEvent {
    /// How an order ends that was not carried out.
    ///
    /// ```
    /// use acacia_node::control::{agreement::PlatformCall, platform::PlatformEvent};
    /// assert!(!PlatformEvent::failed(&PlatformCall::ReadTables).is_answer());
    /// ```
    #[must_use]
    pub fn failed(order: &PlatformCall) -> PlatformEvent {
        match order {
            PlatformCall::WatchConfig { .. } => PlatformEvent::Config(None),
            PlatformCall::WatchTables { .. } => PlatformEvent::Tables(None),
            PlatformCall::ReadTables => PlatformEvent::ReadTables(None),
            // It may have been made in part: the next read tells.
            PlatformCall::WriteTables { .. } => PlatformEvent::WroteTables(writer::Answer::Lost),
        }
    }

    /// Whether the platform's store has answered.
    #[must_use]
    pub fn is_answer(&self) -> bool {
        match self {
            PlatformEvent::Config(answer) => answer.is_some(),
            PlatformEvent::Tables(entry) | PlatformEvent::ReadTables(entry) => entry.is_some(),
            PlatformEvent::WroteTables(answer) => {
                matches!(
                    answer,
                    writer::Answer::Written { .. } | writer::Answer::Conflict
                )
            }
            PlatformEvent::Machines(_) => false,
        }
    }
}

/// Carries out orders until `stop` is raised.
pub fn run(
    settings: &Settings,
    orders: &mut Receiver<PlatformCall>,
    news: &Sender<PlatformEvent>,
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
    // The client's futures stay on this thread: nothing here gains from others.
    LocalSet::new().block_on(&runtime, async {
        let mut calls = Calls {
            client,
            news: news.clone(),
            tasks: JoinSet::new(),
        };
        // A part of this task, so that a panic in it ends the service and doesn't go unnoticed.
        let mut machines = pin!(follow_machines(Arc::clone(&calls.client), news.clone()));
        let mut watching = [None, None];
        loop {
            tokio::select! {
                () = stopped(stop) => break,
                never = &mut machines => never,
                order = orders.recv() => match order {
                    Some(order) => calls.begin(order, &mut watching),
                    None => break,
                },
                Some(ended) = calls.tasks.join_next() => note_end(ended),
            }
        }
        calls.tasks.shutdown().await;
    });
    Ok(())
}

async fn stopped(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(LOOK).await;
    }
}

struct Calls {
    client: Arc<Client>,
    news: Sender<PlatformEvent>,
    tasks: JoinSet<()>,
}

impl Calls {
    /// Begins a call; a watch takes the place of the one on the same key that still waits.
    fn begin(&mut self, order: PlatformCall, watching: &mut [Option<AbortHandle>; 2]) {
        let slot = match order {
            PlatformCall::WatchConfig { .. } => Some(0),
            PlatformCall::WatchTables { .. } => Some(1),
            PlatformCall::ReadTables | PlatformCall::WriteTables { .. } => None,
        };
        let (client, news) = (Arc::clone(&self.client), self.news.clone());
        let task = self.tasks.spawn_local(async move {
            let failed = PlatformEvent::failed(&order);
            let answer = AbortOnDropHandle::new(task::spawn_local(call(client, order)));
            let answer = answer.await.unwrap_or_else(|error| {
                log::error!("event=platform-call-panicked error=\"{error}\"");
                failed
            });
            tell(&news, answer).await;
        });
        if let Some(slot) = slot
            && let Some(before) = watching[slot].replace(task)
        {
            before.abort();
        }
    }
}

async fn call(client: Arc<Client>, order: PlatformCall) -> PlatformEvent {
    let (config, tables): (Arc<str>, Arc<str>) = (document::KEY.into(), acacia_tables::KEY.into());
    match order {
        PlatformCall::WatchConfig { above } => {
            let entry = client.watch(&config, above).await;
            PlatformEvent::Config(note(entry).map(|entry| Answer {
                revision: entry.revision,
                document: entry.value.and_then(|value| decode(&value)),
            }))
        }
        PlatformCall::WatchTables { above } => {
            let entry = client.watch(&tables, above).await;
            PlatformEvent::Tables(note(entry).map(|e| Entry {
                revision: e.revision,
                value: e.value,
            }))
        }
        PlatformCall::ReadTables => {
            let entry = client.get(&tables).await;
            PlatformEvent::ReadTables(note(entry).map(|e| Entry {
                revision: e.revision,
                value: e.value,
            }))
        }
        PlatformCall::WriteTables { expected, text } => {
            let swap = Swap {
                key: tables,
                expected,
                value: Some(text),
                lease: None,
            };
            PlatformEvent::WroteTables(match client.swap(swap).await {
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

fn note<T>(result: Result<T, Error>) -> Option<T> {
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

/// Tells the control thread, as soon as its queue has room. Its asker makes no other call before the
/// answer has come: one that was dropped would be the last.
async fn tell(news: &Sender<PlatformEvent>, mut told: PlatformEvent) {
    let mut waits = false;
    while let Err(TrySendError::Full(unsent)) = news.try_send(told) {
        if !waits {
            log::warn!("event=platform-news-waits news={unsent:?}");
        }
        (told, waits) = (unsent, true);
        tokio::time::sleep(LOOK).await;
    }
}

/// A task that ends by a fault has told nothing; a watch that was replaced was told to end.
fn note_end(ended: Result<(), JoinError>) {
    let Err(error) = ended else { return };
    if !error.is_cancelled() {
        log::error!("event=platform-task-panicked error=\"{error}\"");
    }
}

async fn follow_machines(client: Arc<Client>, news: Sender<PlatformEvent>) -> ! {
    loop {
        if let Some(machines) = note(client.machines().await) {
            tell(&news, PlatformEvent::Machines(machines)).await;
        }
        tokio::time::sleep(MACHINES).await;
    }
}
