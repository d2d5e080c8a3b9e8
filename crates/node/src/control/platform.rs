//! The thread that talks with the platform, and tells the control thread what it hears.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use acacia_config::document::{Document, KEY};
use acacia_platform::{Client, Options, machine::Machine};
use crossbeam_channel::Sender;

use crate::settings::Settings;

/// Between two tries to reach a platform that does not answer. A client's own retries come on top.
const PAUSE: Duration = Duration::from_millis(500);
/// Between two looks at the list of VMs. It lags by more than that anyway, and 8 balancers make
/// 1.6 calls a second of the platform's two thousand.
const MACHINES: Duration = Duration::from_secs(5);
/// Between two looks whether to stop.
const LOOK: Duration = Duration::from_millis(50);

/// What the platform said.
#[derive(Debug, Clone, PartialEq)]
pub enum News {
    /// The configuration in the store.
    Document(Box<Document>),
    /// The list of VMs.
    Machines(Vec<Machine>),
}

/// Follows the platform until `stop` is raised.
pub fn run(settings: &Settings, news: &Sender<News>, stop: &AtomicBool) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let options = Options {
        seed: u64::from(settings.id),
        ..Options::default()
    };
    let client = Client::new(SocketAddr::V4(settings.platform), options);
    runtime.block_on(async {
        tokio::select! {
            () = follow_config(&client, news) => {}
            () = follow_machines(&client, news) => {}
            () = stopped(stop) => {}
        }
    });
    Ok(())
}

async fn stopped(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        tokio::time::sleep(LOOK).await;
    }
}

async fn follow_config(client: &Client, news: &Sender<News>) {
    let key: Arc<str> = KEY.into();
    let mut seen = 0;
    loop {
        match client.watch(&key, seen).await {
            Ok(entry) if entry.revision > seen => {
                seen = entry.revision;
                tell(news, entry.value.as_deref().map(Document::decode));
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!("event=platform-unanswered call=watch error=\"{error}\"");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn tell(news: &Sender<News>, document: Option<Result<Document, acacia_config::document::Error>>) {
    match document {
        // A full queue means that the control thread is stuck; the next change tells it again.
        Some(Ok(document)) => drop(news.try_send(News::Document(Box::new(document)))),
        Some(Err(error)) => {
            log::error!(
                "event=document-unreadable code={} error=\"{error}\"",
                error.code()
            );
        }
        None => {}
    }
}

async fn follow_machines(client: &Client, news: &Sender<News>) {
    loop {
        match client.machines().await {
            Ok(machines) => drop(news.try_send(News::Machines(machines))),
            Err(error) => {
                log::warn!("event=platform-unanswered call=machines error=\"{error}\"");
            }
        }
        tokio::time::sleep(MACHINES).await;
    }
}
